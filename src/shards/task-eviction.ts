/** Chooses running tasks to stop: for more urgent tasks, or before the cloud interrupts their machine. */
import type { PlacementInput } from "../placement/scheduling-context.js";
import type { Machine } from "../workers/machine.js";
import type { Placement } from "../workers/placement.js";
import { choosePreemptions } from "../placement/preemption.js";
import type { SteadyClock } from "../runtime/clock.js";
import type { Logger } from "../runtime/log.js";
import type { PreemptionReservations } from "./preemption-reservations.js";

/** For how many heartbeat intervals, beyond the saving time, a machine is reserved for the job that preempted there. */
const PREEMPTION_RESERVATION_HEARTBEATS = 3;

/** How many heartbeats it takes to send a stop to a worker and to see in a heartbeat that the task has stopped. */
const STOP_HEARTBEATS = 3;

/** The cloud may interrupt a machine after only this fraction of the time that its interruption notice states. */
const MIN_NOTICE_FRACTION = 1 / 2;

/** The settings and collaborators that task eviction in one shard depends on. */
export interface TaskEvictionDependencies {
  readonly shard: number;
  readonly reservations: PreemptionReservations;
  /** The workers' heartbeat interval in milliseconds. */
  readonly heartbeatIntervalMs: number;
  readonly log: Logger;
}

/** Marks tasks of one shard to be stopped; the stop commands are sent in the next responses to their workers. */
export class TaskEviction {
  constructor(private readonly dependencies: TaskEvictionDependencies) {}

  /**
   * Preempts less urgent tasks where that frees capacity for more urgent ones in time, and reserves the machines for
   * them. The search ends at steady time `deadlineAt` at the latest.
   */
  preempt(input: PlacementInput, clock: SteadyClock, deadlineAt: number): void {
    const { shard, reservations, heartbeatIntervalMs, log } = this.dependencies;
    const preemptionInput = { ...input, heartbeatIntervalMs };
    const { victims, reservations: reserved } = choosePreemptions(preemptionInput, clock, deadlineAt);
    let longestGraceMs = 0;
    for (const victim of victims) {
      const graceS = victim.job.spec.checkpointS > 0 ? victim.job.spec.saveS : 0;
      victim.stop = { reason: "preempt", graceS };
      longestGraceMs = Math.max(longestGraceMs, graceS * 1000);
    }
    const until = input.now + longestGraceMs + PREEMPTION_RESERVATION_HEARTBEATS * heartbeatIntervalMs;
    for (const [machine, job] of reserved) reservations.reserve(machine, job, until);
    if (victims.length > 0) log.debug({ shard, stopped: victims.length }, "tasks preempted");
  }

  /**
   * Stops tasks that checkpoint on machines with an interruption notice, as soon as the time left may be no more than
   * they need to save.
   */
  drainInterrupted(machines: Iterable<Machine>): void {
    for (const machine of machines) {
      if (machine.interruptionNoticeS === null) continue;
      for (const placement of machine.placements)
        if (this.mustSaveNow(placement, machine.interruptionNoticeS))
          placement.stop ??= { reason: "drain", graceS: placement.job.spec.saveS };
    }
  }

  private mustSaveNow({ job }: Placement, noticeS: number): boolean {
    const { saveS, checkpointS } = job.spec;
    const stopS = (STOP_HEARTBEATS * this.dependencies.heartbeatIntervalMs) / 1000;
    return checkpointS > 0 && noticeS * MIN_NOTICE_FRACTION < saveS + stopS;
  }
}
