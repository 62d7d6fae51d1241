/** Maps job priorities to comparable numbers. Pure. */
import { PRIORITIES } from "../wire/index.js";
import type { Job } from "../workers/job.js";

/** The rank of `normal` priority; jobs of lower priority are queued with it. */
export const NORMAL_RANK = PRIORITIES.indexOf("normal");

/** Jobs of this rank and above may preempt any task of lower priority, and prefer a local image to a spot machine. */
export const URGENT_RANK = PRIORITIES.indexOf("urgent");

/** The rank of a job's priority; a higher rank is more urgent. */
export function priorityRank(job: Job): number {
  return PRIORITIES.indexOf(job.spec.priority);
}
