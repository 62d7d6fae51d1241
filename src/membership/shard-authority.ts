/** Decides whether a process may act for a shard at present, on its evidence and with a reason. Pure. */

/** Why a process may not act for a shard. The names are part of the answer of `GET /decisions`. */
export type AuthorityRefusal =
  /** The shard's record names another controller, or another life of this one. */
  | "not_owner"
  /** The process has relinquished the shard in order to hand it over. */
  | "passing_on"
  /** Its membership lease can no longer be proven to last. */
  | "lease_over"
  /** Its replica is older than its own member record, and says nothing of what it owns. */
  | "view_before_entry"
  /** A cancellation may have been confirmed that its replica does not show. */
  | "view_too_old"
  /** The shard has had another owner since this term began. */
  | "other_term";

/** How far the membership lease and the replica carry decisions. */
export interface LeaseEvidence {
  /** How long the membership lease can still be proven, in milliseconds; negative once it cannot. */
  leaseLeftMs: number;
  /** For how long the replica may have been incomplete, in milliseconds: the age of the request that it was read with. */
  viewAgeMs: number;
  /** Whether the replica is at least as new as this process's member record. */
  hasViewReachedJoin: boolean;
  /** The age, in milliseconds, from which a replica is too old for the renewal of a worker's lease. */
  maxViewAgeMs: number;
}

/** What a decision on the authority for a shard is based on. */
export interface ShardAuthorityEvidence extends LeaseEvidence {
  /** The version of the shard's record if it names this process, otherwise null. */
  token: number | null;
  /** Whether the process has relinquished the shard in order to hand it over. */
  isHandingOver: boolean;
}

/** The right to act for a shard, or the reason why there is none. */
export type ShardAuthority = { leaseLeftMs: number; viewAgeMs: number } & (
  { held: true; token: number } | { held: false; reason: AuthorityRefusal }
);

/** Why the lease and the replica do not carry any decision; null where they do. */
export function leaseRefusal(evidence: LeaseEvidence): AuthorityRefusal | null {
  if (evidence.leaseLeftMs <= 0) return "lease_over";
  if (!evidence.hasViewReachedJoin) return "view_before_entry";
  // Guards against renewing a worker's lease for a task whose cancellation has not reached this process.
  if (evidence.viewAgeMs >= evidence.maxViewAgeMs) return "view_too_old";
  return null;
}

/** Decides on the right to act for a shard. */
export function decideShardAuthority(evidence: ShardAuthorityEvidence): ShardAuthority {
  const { token, isHandingOver, leaseLeftMs, viewAgeMs } = evidence;
  const refused = (reason: AuthorityRefusal): ShardAuthority => ({
    held: false,
    reason,
    leaseLeftMs,
    viewAgeMs,
  });
  if (token === null) return refused("not_owner");
  if (isHandingOver) return refused("passing_on");
  const reason = leaseRefusal(evidence);
  return reason === null ? { held: true, token, leaseLeftMs, viewAgeMs } : refused(reason);
}
