/** Orders waiting jobs for placement. Pure. */
import type { Job } from "../workers/job.js";
import { isStartable } from "./eligibility.js";
import { jobsToDefer } from "./job-deferral.js";
import { NORMAL_RANK, priorityRank } from "./priority-rank.js";
import type { PlacementInput, SchedulingContext } from "./scheduling-context.js";
import { sloWindowOf } from "./slo-window.js";
import { isStarving } from "./starvation.js";

/** A waiting job and the sort keys that decide its position in the queue. */
export interface QueueEntry {
  job: Job;
  /** When the job was accepted, in milliseconds of wall-clock time, if it is starving; Infinity if not. */
  starvingAcceptedAt: number;
  /** The priority rank; normal and lower priorities share one. */
  rank: number;
  /** 1 for a job that has migrated here from its team's shard, else 0. */
  migratedIn: number;
  /** 1 for a job that is deferred because its team's quota is too small for all of its jobs to be in time, else 0. */
  deferred: number;
  /** The latest start that meets its objectives, in milliseconds of wall-clock time. */
  latestStartAt: number;
}

/** The startable jobs that have waiting tasks, in scheduling order. */
export function buildQueue(input: PlacementInput): QueueEntry[] {
  const waiting: Job[] = [];
  for (const job of input.jobs) if (job.waitingCount > 0 && isStartable(job, input)) waiting.push(job);
  return prioritize(waiting, input);
}

/** The given jobs in scheduling order. */
export function orderByPriority(jobs: Job[], context: SchedulingContext): Job[] {
  return prioritize(jobs, context).map((entry) => entry.job);
}

/**
 * Sorts jobs by starvation (the oldest first), priority rank, migration, deferral and latest start. Within a rank the
 * shard's own jobs go before migrated ones, which are to use only leftover capacity: otherwise a migrated array job of
 * hundreds of tasks would keep the shard's own jobs waiting for minutes.
 */
function prioritize(jobs: Job[], context: SchedulingContext): QueueEntry[] {
  const windows = new Map(jobs.map((job) => [job, sloWindowOf(job, context)]));
  const deferred = jobsToDefer(jobs, windows, context);
  const entries = jobs.map((job) => ({
    job,
    starvingAcceptedAt: isStarving(job, context) ? job.acceptedAt : Infinity,
    rank: Math.max(NORMAL_RANK, priorityRank(job)),
    migratedIn: job.migratedIn ? 1 : 0,
    deferred: deferred.has(job) ? 1 : 0,
    latestStartAt: windows.get(job)!.latestStartAt,
  }));
  return entries.sort(compareEntries);
}

function compareEntries(left: QueueEntry, right: QueueEntry): number {
  return (
    // Infinity - Infinity is NaN.
    (left.starvingAcceptedAt === right.starvingAcceptedAt
      ? 0
      : left.starvingAcceptedAt - right.starvingAcceptedAt) ||
    right.rank - left.rank ||
    left.migratedIn - right.migratedIn ||
    left.deferred - right.deferred ||
    left.latestStartAt - right.latestStartAt ||
    (left.job.spec.id < right.job.spec.id ? -1 : 1)
  );
}
