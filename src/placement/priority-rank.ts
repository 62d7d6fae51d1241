/** Priorities of jobs as numbers that can be compared. Pure. */
import { PRIORITIES } from "../wire/index.js";
import type { Job } from "../workers/job.js";

/** The rank of jobs that users have not given another priority. */
export const NORMAL_RANK = PRIORITIES.indexOf("normal");

/** From this rank on a job may preempt anything lower, and does not wait for a machine that is cheap. */
export const URGENT_RANK = PRIORITIES.indexOf("urgent");

/** The rank of a job's priority; the highest is the most urgent. */
export function priorityRank(job: Job): number {
  return PRIORITIES.indexOf(job.spec.priority);
}
