/** The order in which waiting jobs are served. Pure. */
import type { Job } from "../workers/job.js";
import { isStartable } from "./eligibility.js";
import { jobsToDefer } from "./job-deferral.js";
import { NORMAL_RANK, priorityRank } from "./priority-rank.js";
import type { PlacementInput, SchedulingContext } from "./scheduling-context.js";
import { sloWindowOf } from "./slo-window.js";
import { isStarving } from "./starvation.js";

/** A waiting job and what its position in the queue comes from. */
export interface QueueEntry {
  job: Job;
  /** When the job was accepted, in time of day, if it is starving; Infinity if not. */
  starvingSince: number;
  rank: number;
  /** 1 for a job that has migrated here from the shard of its team. */
  migratedIn: number;
  /** 1 for a job that is deferred because its team's quota cannot hold all in time. */
  deferred: number;
  /** The latest start for its objectives, in time of day. */
  latestStart: number;
}

/** The waiting jobs that may start, in the order in which they are served. */
export function buildQueue(input: PlacementInput): QueueEntry[] {
  const waiting: Job[] = [];
  for (const job of input.jobs) if (job.waitingCount > 0 && isStartable(job, input)) waiting.push(job);
  return prioritize(waiting, input);
}

/** Jobs in the order in which they are served. */
export function orderByPriority(jobs: Job[], context: SchedulingContext): Job[] {
  return prioritize(jobs, context).map((entry) => entry.job);
}

/**
 * Starving jobs first, the oldest before the others; then urgent and critical work, then what can be in time, by how
 * long it can wait; deferred jobs last. Of one rank the shard's own jobs go before migrated ones, which have come for
 * capacity that nothing here uses: an array of hundreds of tasks would keep the shard's own jobs waiting for minutes.
 */
function prioritize(jobs: Job[], context: SchedulingContext): QueueEntry[] {
  const windows = new Map(jobs.map((job) => [job, sloWindowOf(job, context)]));
  const deferred = jobsToDefer(jobs, windows, context);
  const entries = jobs.map((job) => ({
    job,
    starvingSince: isStarving(job, context) ? job.acceptedAt : Infinity,
    // Normal and lower priorities share one rank.
    rank: Math.max(NORMAL_RANK, priorityRank(job)),
    migratedIn: job.migratedIn ? 1 : 0,
    deferred: deferred.has(job) ? 1 : 0,
    latestStart: windows.get(job)!.latestStart,
  }));
  return entries.sort(compareEntries);
}

function compareEntries(left: QueueEntry, right: QueueEntry): number {
  return (
    // The difference of two infinities is not a number.
    (left.starvingSince === right.starvingSince ? 0 : left.starvingSince - right.starvingSince) ||
    right.rank - left.rank ||
    left.migratedIn - right.migratedIn ||
    left.deferred - right.deferred ||
    left.latestStart - right.latestStart ||
    (left.job.spec.id < right.job.spec.id ? -1 : 1)
  );
}
