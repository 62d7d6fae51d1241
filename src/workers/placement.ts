/** Attempts of tasks on machines: how they come to be, and how they end. */
import type { Job } from "./job.js";
import type { Machine } from "./machine.js";

/** One attempt of a task on a machine. */
export interface Placement {
  readonly job: Job;
  /** The number of the task in its job. */
  readonly index: number;
  /** Never repeats within a shard; the worker reports it with the task. */
  readonly attempt: number;
  readonly machine: Machine;
  /** `assigned`: chosen by this owner, not yet seen in a heartbeat. The others are as the worker reports them. */
  state: "assigned" | "fetching" | "running" | "saving";
  /** Since when it has been in its state, as far as is known; steady time in milliseconds. */
  stateSince: number;
  /** Whether an earlier attempt of this task was stopped, so that this one may go on from its checkpoint. */
  isResumed: boolean;
  /** How many heartbeats in a row came in without this attempt, although the responses before them started it. */
  missedHeartbeats: number;
  /** Set once it has been decided to stop this attempt: why, and how long it may take to save. */
  stop: { reason: "preempt" | "drain"; graceS: number } | null;
}

/** An attempt that has been chosen and not yet seen in a heartbeat; `now` is steady time in milliseconds. */
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

/** Records that an attempt is on its machine, or on its way there, from now on. */
export function attach(placement: Placement): void {
  placement.job.attach(placement);
  placement.machine.attach(placement);
}

/** Records that an attempt is proven not to be on its machine any more. */
export function release(placement: Placement): void {
  placement.machine.detach(placement);
  if (placement.state !== "assigned") placement.job.interruptedTasks.add(placement.index);
  placement.job.detach(placement);
}

/** Records that nothing is left on a machine: the worker's lease has surely expired, or the machine is gone. */
export function releaseAll(machine: Machine): void {
  for (const placement of [...machine.placements]) release(placement);
  machine.orphanTasks = new Set();
  machine.reportedTasks = [];
}
