/** Machines that are reserved for a limited time for the job for which tasks were preempted there. */
import type { Job } from "../workers/job.js";
import type { Machine } from "../workers/machine.js";

interface PreemptionReservation {
  job: Job;
  /** Steady time in milliseconds. */
  until: number;
}

/**
 * Guards against preempting tasks in vain: other waiting jobs would take the capacity before enough of it is free for
 * the job that it was freed for.
 */
export class PreemptionReservations {
  private readonly reservations = new Map<Machine, PreemptionReservation>();

  /** Reserves a machine for a job until steady time `until`, in milliseconds. */
  reserve(machine: Machine, job: Job, until: number): void {
    this.reservations.set(machine, { job, until });
  }

  /** The machine was removed from the shard. */
  release(machine: Machine): void {
    this.reservations.delete(machine);
  }

  /** The reservations in force; removes those that have expired or whose job has no waiting tasks any more. */
  active(now: number): Map<Machine, Job> {
    const active = new Map<Machine, Job>();
    for (const [machine, { job, until }] of this.reservations) {
      if (now > until || job.waitingCount === 0) this.reservations.delete(machine);
      else active.set(machine, job);
    }
    return active;
  }
}
