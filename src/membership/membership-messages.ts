/** The messages, callbacks, timings and shared dependencies of the membership actor. */
import type { Logger } from "../runtime/log.js";
import type { StateStoreClient } from "../state/state-store-client.js";
import type { ControllerInstance } from "./cluster-records.js";

/** Durations that the membership actor works with, in milliseconds. */
export interface MembershipTimings {
  /** The duration of the membership lease: without a renewal, the state store then removes this process's records. */
  membershipLeaseMs: number;
  /**
   * Subtracted from the lease on the client side, for the delay between a lease check and the action that relies on it.
   */
  marginMs: number;
  /** A worker's lease is not renewed on a replica of this age or older. */
  maxViewAgeMs: number;
  /** The minimum time between two hand-overs that only balance the load of the controllers. */
  shardMovePeriodMs: number;
}

/** A message to the membership actor. */
export type MembershipMessage =
  | { kind: "tick" }
  | { kind: "records_changed" }
  | { kind: "lease_ended" }
  | { kind: "transaction_ended" }
  /** A worker has seen a higher fencing token than the shard's current one. */
  | { kind: "advance_token"; shard: number }
  /** Requests that this process hand the shard over to the controller on the node `successor`. */
  | { kind: "hand_over"; shard: number; successor: string }
  /** Requests that this process give up leadership, because another controller is better placed to lead. */
  | { kind: "resign" };

/** Callbacks from the membership actor to the rest of the process. */
export interface MembershipCallbacks {
  /** Called when the set of shards that this process owns may have changed. */
  onOwnershipChanged(): void;
  /** Asks the owner of a shard to hand it over; `owner` and `successor` are node names. */
  requestHandOver(owner: string, shard: number, successor: string): void;
  /** Whether it is known that no worker can reach the controller on a node. */
  isCutOffFromWorkers(node: string): boolean;
}

/** Dependencies of the classes that write membership records. */
export interface TransactionDependencies {
  readonly self: ControllerInstance;
  readonly state: StateStoreClient;
  readonly log: Logger;
  /** Called when a transaction has completed, whatever its outcome; the next one may then start. */
  readonly onTransactionEnded: () => void;
}
