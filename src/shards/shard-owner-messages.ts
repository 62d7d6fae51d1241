/** The messages to a shard owner, its callbacks into the rest of the process, and its timings. */
import type { ShardAuthority } from "../membership/shard-authority.js";
import type { Demand, ShardSummary } from "../peers/peer-messages.js";
import type { Heartbeat, RecordChange } from "../wire/index.js";
import type { LeaseRenewal } from "../workers/lease-renewal.js";

/** The owner's response to a worker's heartbeat. */
export type HeartbeatResponse =
  | { kind: "commands"; renewal: LeaseRenewal }
  /** The owner may not renew the lease, or the heartbeat is not newer: the worker should try elsewhere or again. */
  | { kind: "refused" };

/** How many tasks of a job are done and running, as its shard's owner knows; `known` is false for a job it does not have. */
export interface TaskCounts {
  known: boolean;
  done: number;
  running: number;
}

/** The messages to a shard owner. */
export type ShardOwnerMessage =
  /** Changed records (null: all may be different), and the steady time up to which they are known to be complete. */
  | { kind: "records_changed"; changes: RecordChange[] | null; completeAsOf: number }
  | { kind: "heartbeat"; heartbeat: Heartbeat; reply: (response: HeartbeatResponse) => void }
  | { kind: "tick" }
  /** A write of completed tasks has ended, successfully or not. */
  | { kind: "completions_written" }
  /** A write of which machines have reported has ended, successfully or not. */
  | { kind: "machines_recorded" }
  | { kind: "task_counts"; job: string; reply: (counts: TaskCounts) => void }
  | { kind: "drain_machines"; hosts: string[]; reply: (hosts: string[]) => void }
  | { kind: "job_cancelled"; job: string }
  | { kind: "migrate_job"; job: string; targetShard: number }
  | { kind: "cordon_machine"; targetShard: number; demand: Demand }
  | { kind: "transfer_machines"; targetShard: number; hosts: string[]; reply: (hosts: string[]) => void };

/** What a shard owner needs of the rest of the process. */
export interface ShardOwnerCallbacks {
  /** Whether this process may act for the shard now. */
  authority(): ShardAuthority;
  /** Advances the shard's fencing token. */
  advanceToken(): void;
  /** Sends a summary to the leader. */
  sendSummary(summary: ShardSummary): void;
  /** Whether tasks may be started and stopped now, as far as links go. */
  canPlaceTasks(): boolean;
  /** Whether machines may be selected for removal now, as far as links go. */
  canRemoveMachines(): boolean;
}

/** The durations that a shard owner goes by. */
export interface ShardOwnerTimings {
  /** How long a placement round may take. */
  roundBudgetMs: number;
  /** The least time between two summaries, and between two writes of completions. */
  minIntervalMs: number;
  /** The least time between two searches for tasks to preempt. */
  minPreemptionIntervalMs: number;
  /** After so many ticks without a heartbeat the shard's workers do not reach this node. */
  maxTicksWithoutHeartbeat: number;
}
