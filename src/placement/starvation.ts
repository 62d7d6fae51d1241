/** Detects starving jobs, and decides when a machine is reserved for one. Pure. */
import { MAX_START_DELAY_S, MAX_WAIT_WITH_FREE_CAPACITY_S } from "../wire/index.js";
import type { Job } from "../workers/job.js";
import type { SchedulingContext } from "./scheduling-context.js";

/** A job is starving if none of its tasks has started within this fraction of `MAX_START_DELAY_S`. */
const STARVATION_FRACTION_BEFORE_FIRST_START = 0.5;
/** A job that has started is starving after this multiple of `MAX_START_DELAY_S`, counted from its acceptance. */
const STARVATION_FACTOR_AFTER_FIRST_START = 1.5;
/** A migrated job uses capacity left over by the shard's own jobs, so it must wait longer before it is starving. */
const STARVATION_FACTOR_AFTER_FIRST_START_MIGRATED = 3;
/**
 * A reservation for a starving job is on and off in turn, each for this fraction of `MAX_WAIT_WITH_FREE_CAPACITY_S`, so
 * that the jobs behind it do not wait longer than that while capacity is free.
 */
const RESERVATION_PERIOD_FRACTION = 2 / 3;

/** For how many milliseconds a job has been starving; negative before that. */
function starvingForMs(job: Job, context: Pick<SchedulingContext, "wallNow">): number {
  const ageMs = context.wallNow - job.acceptedAt;
  const factorAfterFirstStart = job.migratedIn
    ? STARVATION_FACTOR_AFTER_FIRST_START_MIGRATED
    : STARVATION_FACTOR_AFTER_FIRST_START;
  return (
    ageMs -
    MAX_START_DELAY_S *
      1000 *
      (job.hasStarted ? factorAfterFirstStart : STARVATION_FRACTION_BEFORE_FIRST_START)
  );
}

/**
 * Whether a job has waited so long that it goes before all jobs that are not starving, whatever their priority, slack
 * or size. The threshold is a fraction of the time within which users expect every job to start.
 */
export function isStarving(job: Job, context: Pick<SchedulingContext, "wallNow">): boolean {
  return starvingForMs(job, context) > 0;
}

/**
 * Whether a machine should be reserved for a job now, until enough capacity is free on it. Only for a starving job that
 * has no active tasks: any other is offered first the capacity that its own tasks release. The reservation is on and
 * off in turn, so that the jobs behind it do not wait too long while capacity is free.
 */
export function needsReservation(job: Job, context: Pick<SchedulingContext, "wallNow">): boolean {
  const overdueMs = starvingForMs(job, context);
  if (overdueMs <= 0 || job.activeAttempts.size > 0) return false;
  return (
    Math.floor(overdueMs / (RESERVATION_PERIOD_FRACTION * MAX_WAIT_WITH_FREE_CAPACITY_S * 1000)) % 2 === 0
  );
}
