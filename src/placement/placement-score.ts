/** Scores machines for the placement of a job's tasks. Pure. */
import type { Job } from "../workers/job.js";
import type { MachineCapacity } from "./machine-capacity.js";
import { priorityRank, URGENT_RANK } from "./priority-rank.js";

/** Exceeds the sum of all other scores, so that slow machines are filled last. */
const SLOW_PENALTY = 10;
/** Exceeds the scores for free capacity and, for non-urgent jobs, a local image: spot machines are filled first. */
const SPOT_SCORE = 2;
/** Less than the score range of free capacity, as pulling an image costs less than keeping another machine running. */
const LOCAL_IMAGE_SCORE = 0.4;
/** For urgent jobs a local image outweighs the spot score, because they cannot wait for an image pull. */
const LOCAL_IMAGE_SCORE_URGENT = 4;

/**
 * The score of a machine for a job; the highest is the best. Spot machines are preferred to on-demand ones, then fuller
 * machines and those that have the image: expensive and nearly empty machines run empty and can be returned.
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
