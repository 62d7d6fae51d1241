/** Which jobs have waited for too long, and when a machine is reserved for one of them. Pure. */
import { MAX_START_DELAY_S, MAX_WAIT_WITH_FREE_CAPACITY_S } from "../wire/index.js";
import type { Job } from "../workers/job.js";
import type { SchedulingContext } from "./scheduling-context.js";

/** A job is starving if none of its tasks has started by this fraction of the time in which all must start. */
const STARVING_BEFORE_FIRST_TASK = 0.5;
/** Once started, a job is starving if it still waits after so many times that time. */
const STARVING_BETWEEN_TASKS = 1.5;
/** A migrated job uses what the shard's own jobs leave for longer than that. */
const STARVING_BETWEEN_TASKS_MIGRATED = 3;
/** A reservation for a starving job alternates: on and off for this fraction of the time in which nobody waits with free capacity. */
const RESERVATION_PERIOD = 2 / 3;

/** For how many milliseconds a job has been starving; negative before that. */
function starvingForMs(job: Job, context: Pick<SchedulingContext, "wallNow">): number {
  const ageMs = context.wallNow - job.acceptedAt;
  const betweenTasks = job.migratedIn ? STARVING_BETWEEN_TASKS_MIGRATED : STARVING_BETWEEN_TASKS;
  return ageMs - MAX_START_DELAY_S * 1000 * (job.hasStarted ? betweenTasks : STARVING_BEFORE_FIRST_TASK);
}

/**
 * Guards against starving: of all the reasons for which other jobs may be served first (priority, slack, size), none
 * counts past a fraction of the time in which users expect every job to start.
 */
export function isStarving(job: Job, context: Pick<SchedulingContext, "wallNow">): boolean {
  return starvingForMs(job, context) > 0;
}

/**
 * Whether a machine is reserved for a job until enough capacity is free on it. Only for a job of which nothing runs:
 * any other is the first to be offered what its own tasks release. And only for a period at a time, which guards
 * against the jobs behind it waiting with free capacity for too long.
 */
export function needsReservation(job: Job, context: Pick<SchedulingContext, "wallNow">): boolean {
  const overdueMs = starvingForMs(job, context);
  if (overdueMs <= 0 || job.activeAttempts.size > 0) return false;
  return Math.floor(overdueMs / (RESERVATION_PERIOD * MAX_WAIT_WITH_FREE_CAPACITY_S * 1000)) % 2 === 0;
}
