/** What the membership actor is told, what it needs of the rest of the process, and the durations it goes by. */

/** Durations that membership goes by, in milliseconds. */
export interface MembershipTimings {
  /** How long the state service keeps this process's records without a renewal. */
  membershipLeaseMs: number;
  /** What is taken off the lease on this side: drift, and time between a check and the act. */
  marginMs: number;
  /** The oldest view of the records on which a worker's lease may still be renewed. */
  staleMs: number;
  shardMovePeriodMs: number;
}

/** What the membership actor is told. */
export type MembershipMessage =
  | { kind: "tick" }
  | { kind: "records_changed" }
  | { kind: "lease_ended" }
  | { kind: "transaction_ended" }
  | { kind: "advance_token"; shard: number }
  | { kind: "hand_over"; shard: number; to: string }
  /** Another controller is better placed to lead. */
  | { kind: "resign" };

/** What membership needs of the rest of the process. */
export interface MembershipCallbacks {
  /** Which shards this process owns may have changed. */
  onOwnershipChanged(): void;
  requestHandOver(owner: string, shard: number, to: string): void;
  /** Whether a controller is known not to be reached by workers. */
  isCutOffFromWorkers(node: string): boolean;
}
