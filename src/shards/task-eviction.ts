/** Stops running tasks: for more urgent ones, and before the cloud takes their machine. */
import type { PlacementInput } from "../placement/scheduling-context.js";
import type { Machine } from "../workers/machine.js";
import type { Placement } from "../workers/placement.js";
import { choosePreemptions } from "../placement/preemption.js";
import type { SteadyClock } from "../runtime/clock.js";
import type { Logger } from "../runtime/log.js";
import type { PreemptionReservations } from "./preemption-reservations.js";

/** So many heartbeat intervals a machine stays reserved for the job for which tasks were stopped there. */
const PREEMPTION_RESERVATION_HEARTBEATS = 3;

/** So many heartbeats it takes to stop a task and to see it stopped. */
const STOP_HEARTBEATS = 3;

/** The cloud may interrupt a machine after this fraction of the time that its notice gives. */
const MIN_NOTICE_FRACTION = 1 / 2;

/** What the eviction of tasks of one shard is made from. */
export interface TaskEvictionDependencies {
  readonly shard: number;
  readonly reservations: PreemptionReservations;
  /** The workers' heartbeat interval in milliseconds. */
  readonly heartbeatIntervalMs: number;
  readonly log: Logger;
}

/** Marks the tasks of one shard that are to be stopped; the stops go out with the machines' next responses. */
export class TaskEviction {
  constructor(private readonly dependencies: TaskEvictionDependencies) {}

  /** Stops less urgent tasks where that frees capacity for more urgent ones in time; `deadline` bounds the search. */
  preempt(input: PlacementInput, clock: SteadyClock, deadline: number): void {
    const { shard, reservations, heartbeatIntervalMs, log } = this.dependencies;
    const preemptionInput = { ...input, heartbeatIntervalMs };
    const { victims, reserved } = choosePreemptions(preemptionInput, clock, deadline);
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

  /** Stops the tasks that can save before the cloud takes their machine. */
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
