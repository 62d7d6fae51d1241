/** When and where tasks of a job may start, by the job's constraints and the owner's term. Pure. */
import type { Job } from "../workers/job.js";
import type { Machine } from "../workers/machine.js";

/** What an owner's term says about jobs from before it. */
export interface OwnershipTerm {
  /** Steady time in milliseconds. */
  now: number;
  /** Whether every machine of the shard has sent a heartbeat in this term, or its lease has surely expired. */
  recovered: boolean;
  /** The version of the shard record with which this owner's term began. */
  termToken: number;
}

/**
 * Whether tasks of a job may start now. Guards against `ran_twice`: a job of an older term may run on any machine that
 * has not been reconciled yet, so that it waits for all of them. A job accepted in this term cannot.
 */
export function isStartable(job: Job, term: OwnershipTerm): boolean {
  return (
    !job.isTerminating &&
    !job.isMigrating &&
    job.notBefore <= term.now &&
    (term.recovered || job.version > term.termToken)
  );
}

/** Whether a job may run on a machine by its instance pool, and has not failed there lately. */
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

/** How many tasks of a job are in each zone, all counted that are not proven gone. */
export function countTasksByZone(job: Job): Map<string, number> {
  const tasksByZone = new Map<string, number>();
  for (const { machine } of job.activeAttempts.values()) countZone(tasksByZone, machine);
  return tasksByZone;
}

/** Counts one more task in a machine's zone. */
export function countZone(tasksByZone: Map<string, number>, { record }: Machine): void {
  tasksByZone.set(record.zone, (tasksByZone.get(record.zone) ?? 0) + 1);
}

/** Whether one more task of a job may run in a zone, with its other tasks where they are. */
export function allowsZone(job: Job, zone: string, tasksByZone: Map<string, number>): boolean {
  if (job.spec.oneZone) for (const other of tasksByZone.keys()) if (other !== zone) return false;
  return !job.spec.spread || (tasksByZone.get(zone) ?? 0) < maxTasksPerZone(job);
}

/** How many tasks of a job that must be spread may run in one zone. */
export function maxTasksPerZone(job: Job): number {
  return Math.ceil(job.spec.tasks / 2);
}
