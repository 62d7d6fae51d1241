/** Which machine is the best one for a job's tasks. Pure. */
import type { Job } from "../workers/job.js";
import type { MachineCapacity } from "./machine-capacity.js";
import { priorityRank, URGENT_RANK } from "./priority-rank.js";

/** More than all other scores together: a slow machine is filled last. */
const SLOW_PENALTY = 10;
/** Spot machines are filled before others, whatever is free on them. */
const SPOT_SCORE = 2;
/** What a local image is worth beside how full a machine is: fetching one costs less than keeping a machine up. */
const LOCAL_IMAGE_SCORE = 0.4;
/** Urgent work cannot wait for an image: for it a local one is worth more than a spot machine. */
const LOCAL_IMAGE_SCORE_URGENT = 4;

/**
 * How well a machine suits a job; the highest is the best. The cheapest kind first, then the fuller machine, or one
 * that has the image: expensive and empty machines are left to run empty and be returned.
 */
export function scoreMachine(job: Job, { machine, type, cpus }: MachineCapacity): number {
  const isUrgent = priorityRank(job) >= URGENT_RANK;
  const localImageScore = isUrgent ? LOCAL_IMAGE_SCORE_URGENT : LOCAL_IMAGE_SCORE;
  return (
    (machine.isSlow ? -SLOW_PENALTY : 0) +
    (machine.record.spot ? SPOT_SCORE : 0) +
    (machine.images.has(job.spec.image) ? localImageScore : 0) -
    cpus / (1 + (type.cpus || 1))
  );
}
