/** Machines reserved for a while for the job for which tasks were stopped there. */
import type { Job } from "../workers/job.js";
import type { Machine } from "../workers/machine.js";

interface PreemptionReservation {
  job: Job;
  /** Steady time in milliseconds. */
  until: number;
}

/**
 * Guards against stopping tasks in vain: other waiting work would take the room before enough of it is there for the
 * job that it is made for.
 */
export class PreemptionReservations {
  private readonly reservations = new Map<Machine, PreemptionReservation>();

  reserve(machine: Machine, job: Job, until: number): void {
    this.reservations.set(machine, { job, until });
  }

  /** The machine has left the shard. */
  release(machine: Machine): void {
    this.reservations.delete(machine);
  }

  /** The reservations that still hold; ends those that have run out or whose job waits no longer. */
  active(now: number): Map<Machine, Job> {
    const active = new Map<Machine, Job>();
    for (const [machine, { job, until }] of this.reservations) {
      if (now > until || job.waiting === 0) this.reservations.delete(machine);
      else active.set(machine, job);
    }
    return active;
  }
}
