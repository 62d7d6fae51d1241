/** Whether a process may act for a shard right now, decided on its evidence and with a reason. Pure. */

/** Why a process may not act for a shard. */
export type AuthorityRefusal =
  /** The records name another owner, or another life of this controller. */
  | "not_owner"
  /** It has stepped back while it passes the shard on. */
  | "passing_on"
  /** Its membership lease cannot be proven to last any more. */
  | "lease_over"
  /** Its copy of the records is older than its own entry, and says nothing of what it owns. */
  | "view_before_entry"
  /** A cancellation may have been confirmed that its copy of the records does not show. */
  | "view_too_old"
  /** The shard's record has changed hands since this owner began. */
  | "other_term";

/** How far the membership lease and the copy of the records still carry. */
export interface LeaseEvidence {
  leaseLeftMs: number;
  /** Since when the copy of the records is surely complete: the age of the request that it was read with. */
  viewAgeMs: number;
  viewShowsJoin: boolean;
  /** The oldest copy on which a worker's lease may be renewed. */
  staleMs: number;
}

/** What a decision on a shard is made on. */
export interface ShardAuthorityEvidence extends LeaseEvidence {
  /** The version of the shard's record if it names this process. */
  token: number | null;
  handingOver: boolean;
}

/** The right to act for a shard, or the reason why there is none. */
export type ShardAuthority = { leaseLeftMs: number; viewAgeMs: number } & (
  { held: true; token: number } | { held: false; reason: AuthorityRefusal }
);

/** Why the lease and the copy of the records do not carry any decision; null where they do. */
export function leaseRefusal(evidence: LeaseEvidence): AuthorityRefusal | null {
  if (evidence.leaseLeftMs <= 0) return "lease_over";
  if (!evidence.viewShowsJoin) return "view_before_entry";
  // Guards against renewing leases for a task whose cancellation has not reached this process.
  if (evidence.viewAgeMs >= evidence.staleMs) return "view_too_old";
  return null;
}

/** Decides on the right to act for a shard. */
export function decideShardAuthority(evidence: ShardAuthorityEvidence): ShardAuthority {
  const { token, handingOver: passingOn, leaseLeftMs, viewAgeMs } = evidence;
  const refused = (reason: AuthorityRefusal): ShardAuthority => ({
    held: false,
    reason,
    leaseLeftMs,
    viewAgeMs,
  });
  if (token === null) return refused("not_owner");
  if (passingOn) return refused("passing_on");
  const reason = leaseRefusal(evidence);
  return reason === null ? { held: true, token, leaseLeftMs, viewAgeMs } : refused(reason);
}
