/** What a shard owner is told, what it needs of the rest of the process, and the durations it goes by. */
import type { ShardAuthority } from "../membership/shard-authority.js";
import type { Demand, ShardSummary } from "../peers/peer-messages.js";
import type { Heartbeat, RecordChange } from "../wire/index.js";
import type { LeaseRenewal } from "../workers/lease-renewal.js";

/** The owner's answer to a worker's report. */
export type HeartbeatResponse =
  | { kind: "commands"; renewal: LeaseRenewal }
  /** Not entitled, or it makes no sense to act: the worker should look elsewhere or come again. */
  | { kind: "refused" };

/** How many tasks of a job are done and running, as its shard's owner knows; `known` is false for a job it does not have. */
export interface TaskCounts {
  known: boolean;
  done: number;
  running: number;
}

/** What a shard owner is told. */
export type ShardOwnerMessage =
  /** Changed records (null: all may be different), and the steady time up to which they are surely complete. */
  | { kind: "records_changed"; changes: RecordChange[] | null; completeAsOf: number }
  | { kind: "heartbeat"; heartbeat: Heartbeat; reply: (response: HeartbeatResponse) => void }
  | { kind: "tick" }
  /** A write of completed tasks has ended, well or not. */
  | { kind: "completions_written" }
  /** A write of which machines have reported has ended, well or not. */
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
  advanceToken(): void;
  sendSummary(summary: ShardSummary): void;
  /** Whether tasks may be started and stopped now, as far as links go. */
  mayPlace(): boolean;
  /** Whether machines may be selected for removal now, as far as links go. */
  mayRemoveMachines(): boolean;
}

/** Durations that a shard owner goes by. */
export interface ShardOwnerTimings {
  /** How long a round of placing may take. */
  roundMs: number;
  /** The least time between two summaries, and between two writes of completions. */
  spacingMs: number;
  /** The least time between two looks for tasks to stop. */
  preemptMs: number;
  /** After so many ticks without a report the shard's workers do not reach this node. */
  quietTicks: number;
}
