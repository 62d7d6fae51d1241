/** The messages of the membership actor, what it needs of the rest of the process, and its timings. */
import type { Logger } from "../runtime/log.js";
import type { StateStoreClient } from "../state/state-store-client.js";
import type { ControllerInstance } from "./cluster-records.js";

/** Durations of the membership, in milliseconds. */
export interface MembershipTimings {
  /** How long the state store keeps this process's records without a renewal. */
  membershipLeaseMs: number;
  /** What is subtracted from the lease on this side for the time between a check and the action that relies on it. */
  marginMs: number;
  /** The oldest view of the records on which a worker's lease may still be renewed. */
  maxViewAgeMs: number;
  /** The least time between two hand-overs that only balance the load of the controllers. */
  shardMovePeriodMs: number;
}

/** A message to the membership actor. */
export type MembershipMessage =
  | { kind: "tick" }
  | { kind: "records_changed" }
  | { kind: "lease_ended" }
  | { kind: "transaction_ended" }
  /** A worker follows a higher token than that of its shard. */
  | { kind: "advance_token"; shard: number }
  /** Another controller, named by its node, shall own the shard. */
  | { kind: "hand_over"; shard: number; successor: string }
  /** Another controller is better placed to lead. */
  | { kind: "resign" };

/** What the membership needs of the rest of the process. */
export interface MembershipCallbacks {
  /** The shards that this process owns may have changed. */
  onOwnershipChanged(): void;
  /** Asks the owner of a shard to hand it over; both controllers are named by their nodes. */
  requestHandOver(owner: string, shard: number, successor: string): void;
  /** Whether it is known that no worker reaches the controller of a node. */
  isCutOffFromWorkers(node: string): boolean;
}

/** What the parts of the membership that write records are made from. */
export interface TransactionDependencies {
  readonly self: ControllerInstance;
  readonly state: StateStoreClient;
  readonly log: Logger;
  /** Called when a transaction has ended, whatever its outcome: the next one may begin. */
  readonly onTransactionEnded: () => void;
}
