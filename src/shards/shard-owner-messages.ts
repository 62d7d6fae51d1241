/** Messages to a shard owner, its callbacks into the rest of the process, and its timings. */
import type { ShardAuthority } from "../membership/shard-authority.js";
import type { Demand, ShardSummary } from "../peers/peer-messages.js";
import type { Heartbeat, RecordChange } from "../wire/index.js";
import type { LeaseRenewal } from "../workers/lease-renewal.js";

/** The owner's response to a worker's heartbeat. */
export type HeartbeatResponse =
  | { kind: "commands"; renewal: LeaseRenewal }
  /** The owner may not renew the lease, or the heartbeat is not newer: the worker should retry or try another node. */
  | { kind: "refused" };

/**
 * Number of completed and running tasks of a job, as known to its shard's owner; `known` is false if the owner does not
 * have the job.
 */
export interface TaskCounts {
  known: boolean;
  done: number;
  running: number;
}

/** Messages to a shard owner. */
export type ShardOwnerMessage =
  /**
   * Changed records (null: any record may have changed), and the steady time up to which the records are known to be
   * complete.
   */
  | { kind: "records_changed"; changes: RecordChange[] | null; completeAsOf: number }
  | { kind: "heartbeat"; heartbeat: Heartbeat; reply: (response: HeartbeatResponse) => void }
  | { kind: "tick" }
  /** A write of completed tasks has succeeded or failed. */
  | { kind: "completions_written" }
  /** A write that records which machines have sent a heartbeat has succeeded or failed. */
  | { kind: "machines_recorded" }
  | { kind: "task_counts"; job: string; reply: (counts: TaskCounts) => void }
  | { kind: "drain_machines"; hosts: string[]; reply: (hosts: string[]) => void }
  | { kind: "job_cancelled"; job: string }
  | { kind: "migrate_job"; job: string; targetShard: number }
  | { kind: "cordon_machine"; targetShard: number; demand: Demand }
  | { kind: "transfer_machines"; targetShard: number; hosts: string[]; reply: (hosts: string[]) => void };

/** Callbacks of a shard owner into the rest of the process. */
export interface ShardOwnerCallbacks {
  /** Whether this process may act for the shard now. */
  authority(): ShardAuthority;
  /** Advances the shard's fencing token. */
  advanceToken(): void;
  /** Sends a summary to the leader. */
  sendSummary(summary: ShardSummary): void;
  /** Whether the state of the links allows tasks to be started and stopped now. */
  canPlaceTasks(): boolean;
  /** Whether the state of the links allows machines to be selected for removal now. */
  canRemoveMachines(): boolean;
}

/** Limits of a shard owner. */
export interface ShardOwnerTimings {
  /** Maximum duration of a placement round, in milliseconds. */
  roundBudgetMs: number;
  /** Minimum time between two summaries, and between two writes of progress, in milliseconds. */
  minIntervalMs: number;
  /** Minimum time between two searches for tasks to preempt, in milliseconds. */
  minPreemptionIntervalMs: number;
  /** The shard's workers count as unable to reach this node after more than this many ticks without a heartbeat. */
  maxTicksWithoutHeartbeat: number;
}
