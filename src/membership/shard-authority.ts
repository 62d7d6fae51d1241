/** Decides whether a process may currently act for a shard, with a reason if it may not. Pure functions. */

/** Why a process may not act for a shard. The names are part of the response of `GET /decisions`. */
export type AuthorityRefusal =
  /** The shard's record names another controller or another incarnation of this one. */
  | "not_owner"
  /** The process has stopped acting for the shard in order to hand it over. */
  | "passing_on"
  /** The membership lease is no longer guaranteed to be valid. */
  | "lease_over"
  /** The replica is older than the process's own member record, and does not show which shards it owns. */
  | "view_before_entry"
  /** The replica is too old: a cancellation that it does not show may have been confirmed to a user. */
  | "view_too_old"
  /** The shard may have had another owner since this term began. */
  | "other_term";

/** The state of the membership lease and of the replica, on which decisions are based. */
export interface LeaseEvidence {
  /**
   * For how long the membership lease is still guaranteed to be valid, in milliseconds; zero or less once it is not.
   */
  leaseLeftMs: number;
  /** The age of the replica, in milliseconds, counted from when the request that last updated it was sent. */
  viewAgeMs: number;
  /** Whether the replica has reached the revision of this process's member record. */
  hasViewReachedJoin: boolean;
  /** The replica age, in milliseconds, from which it is too old for renewing a worker's lease. */
  maxViewAgeMs: number;
}

/** The input of `decideShardAuthority`. */
export interface ShardAuthorityEvidence extends LeaseEvidence {
  /** The shard's fencing token if its record names this process, otherwise null. */
  token: number | null;
  /** Whether the process has stopped acting for the shard in order to hand it over. */
  isHandingOver: boolean;
}

/**
 * The result of `decideShardAuthority`: the shard's fencing token, or the reason why the process may not act for it.
 */
export type ShardAuthority = { leaseLeftMs: number; viewAgeMs: number } & (
  { held: true; token: number } | { held: false; reason: AuthorityRefusal }
);

/** Why the process may not act for any shard, by its lease and its replica alone; null if they do not prevent it. */
export function leaseRefusal(evidence: LeaseEvidence): AuthorityRefusal | null {
  if (evidence.leaseLeftMs <= 0) return "lease_over";
  if (!evidence.hasViewReachedJoin) return "view_before_entry";
  // A worker's lease must not be renewed for a task whose cancellation has not reached this replica yet.
  if (evidence.viewAgeMs >= evidence.maxViewAgeMs) return "view_too_old";
  return null;
}

/** Decides whether the process may act for a shard. */
export function decideShardAuthority(evidence: ShardAuthorityEvidence): ShardAuthority {
  const { token, isHandingOver, leaseLeftMs, viewAgeMs } = evidence;
  const refuse = (reason: AuthorityRefusal): ShardAuthority => ({
    held: false,
    reason,
    leaseLeftMs,
    viewAgeMs,
  });
  if (token === null) return refuse("not_owner");
  if (isHandingOver) return refuse("passing_on");
  const reason = leaseRefusal(evidence);
  return reason === null ? { held: true, token, leaseLeftMs, viewAgeMs } : refuse(reason);
}
