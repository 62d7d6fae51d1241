/** Whether and where tasks of a job may start, given its constraints and the owner's term. Pure. */
import type { Job } from "../workers/job.js";
import type { Machine } from "../workers/machine.js";

/** The state of the owner's term that decides whether jobs accepted in earlier terms may start. */
export interface OwnershipTerm {
  /** Steady time in milliseconds. */
  now: number;
  /** Whether every machine of the shard has sent a heartbeat in this term or its lease has certainly expired. */
  isReconciled: boolean;
  /** The version of the shard record at the start of this owner's term. */
  termToken: number;
}

/**
 * Whether tasks of a job may start now. A job of an earlier term may be running on any machine that has not been
 * reconciled, so it waits until all are: otherwise a task could run twice (`ran_twice`). A job accepted in this term
 * cannot be running on such a machine.
 */
export function isStartable(job: Job, term: OwnershipTerm): boolean {
  return (
    !job.isTerminating &&
    !job.isMigrating &&
    job.notBefore <= term.now &&
    (term.isReconciled || job.version > term.termToken)
  );
}

/** Whether a job accepts the machine's type, zone and spot status, and has not recently failed there. */
export function isEligible(job: Job, machine: Machine): boolean {
  const { spec } = job;
  const { record } = machine;
  return (
    (spec.types === null || spec.types.includes(record.type)) &&
    (spec.zone === null || spec.zone === record.zone) &&
    (spec.spot || !record.spot) &&
    !job.lastFailedAtByHost.has(machine.host)
  );
}

/** Counts more tasks in a machine's zone. */
export function countZone(tasksByZone: Map<string, number>, { record }: Machine, tasks = 1): void {
  tasksByZone.set(record.zone, (tasksByZone.get(record.zone) ?? 0) + tasks);
}

/** Whether one more task of a job may run in a zone, given the zones of its other tasks. */
export function allowsZone(job: Job, zone: string, tasksByZone: Map<string, number>): boolean {
  return tasksAllowedInZone(job, zone, tasksByZone) > 0;
}

/**
 * How many more tasks of a job may run in a zone, given the zones of its other tasks; Infinity without a limit. These
 * may be null for a job that is not constrained to zones.
 */
export function tasksAllowedInZone(job: Job, zone: string, tasksByZone: Map<string, number> | null): number {
  if (tasksByZone === null) return Infinity;
  if (job.spec.oneZone) for (const other of tasksByZone.keys()) if (other !== zone) return 0;
  return job.spec.spread ? maxTasksPerZone(job) - (tasksByZone.get(zone) ?? 0) : Infinity;
}

/** The maximum number of tasks per zone for a job with the `spread` constraint: half of them, rounded up. */
export function maxTasksPerZone(job: Job): number {
  return Math.ceil(job.spec.tasks / 2);
}
