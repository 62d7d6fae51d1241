/** Time-limited reservations of machines for the jobs for which tasks were preempted on them. */
import type { Job } from "../workers/job.js";
import type { Machine } from "../workers/machine.js";

interface PreemptionReservation {
  job: Job;
  /** When the reservation ends: steady time in milliseconds. */
  expiresAt: number;
}

/**
 * Keeps capacity that was freed by preemption for the job that needs it. Otherwise other waiting jobs would take the
 * capacity before there is enough of it, and the tasks would have been preempted in vain.
 */
export class PreemptionReservations {
  private readonly reservations = new Map<Machine, PreemptionReservation>();

  /** Reserves a machine for a job until steady time `expiresAt`, in milliseconds; replaces an earlier reservation. */
  reserve(machine: Machine, job: Job, expiresAt: number): void {
    this.reservations.set(machine, { job, expiresAt });
  }

  /** Drops the reservation of a machine that was removed from the shard. */
  release(machine: Machine): void {
    this.reservations.delete(machine);
  }

  /** Drops the reservations that have expired or whose job has no waiting tasks left, and returns the others. */
  active(now: number): Map<Machine, Job> {
    const active = new Map<Machine, Job>();
    for (const [machine, { job, expiresAt }] of this.reservations) {
      if (now > expiresAt || job.waitingCount === 0) this.reservations.delete(machine);
      else active.set(machine, job);
    }
    return active;
  }
}
