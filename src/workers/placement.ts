/** Placements, which are attempts of tasks on machines: their creation and release. */
import type { Job } from "./job.js";
import type { Machine } from "./machine.js";

/** One attempt of a task on a machine. */
export interface Placement {
  readonly job: Job;
  /** The task's number within its job. */
  readonly index: number;
  /** The attempt number: unique within a shard, and reported by the worker with the task. */
  readonly attempt: number;
  readonly machine: Machine;
  /** `assigned`: placed by this owner, but not yet in a heartbeat. The other states are reported by the worker. */
  state: "assigned" | "fetching" | "running" | "saving";
  /** Since when the attempt is known to be in its state, in steady time in milliseconds. */
  stateSince: number;
  /** Whether an earlier attempt of the task was stopped or lost, so that this one may continue from a checkpoint. */
  isResumed: boolean;
  /** The number of consecutive heartbeats without this attempt, although the responses before them started it. */
  missedHeartbeats: number;
  /** Set once the attempt is to be stopped: the reason, and the seconds that it may take to save its progress. */
  stop: { reason: "preempt" | "drain"; graceS: number } | null;
}

/** Creates an attempt that no heartbeat has reported yet; `now` is steady time in milliseconds. */
export function newPlacement(
  job: Job,
  index: number,
  attempt: number,
  machine: Machine,
  now: number,
): Placement {
  return {
    job,
    index,
    attempt,
    machine,
    state: "assigned",
    stateSince: now,
    stop: null,
    isResumed: job.interruptedTasks.has(index),
    missedHeartbeats: 0,
  };
}

/** Adds an attempt to its job and its machine. */
export function attach(placement: Placement): void {
  placement.job.attach(placement);
  placement.machine.attach(placement);
}

/** Removes an attempt that is proven to be no longer on its machine. */
export function release(placement: Placement): void {
  placement.machine.detach(placement);
  if (placement.state !== "assigned") placement.job.interruptedTasks.add(placement.index);
  placement.job.detach(placement);
}

/** Removes all tasks from a machine whose worker's lease is proven to have expired, or that no longer exists. */
export function releaseAll(machine: Machine): void {
  for (const placement of [...machine.placements]) release(placement);
  machine.orphanTasks = new Set();
  machine.recordReportedTasks([]);
}
