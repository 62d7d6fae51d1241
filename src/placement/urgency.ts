/** How long a job may wait: the latest time at which its tasks should start for its aims to be met. Pure. */
import type { Objective } from "../config/settings.js";
import { PRIORITIES, type MachineType } from "../wire/index.js";
import type { Job } from "../workers/model.js";

export interface Plan {
  types: Map<string, MachineType>;
  objectives: Objective[];
  /** Time of day, as jobs are dated. */
  wallNow: number;
  /** How long a task really runs for each second of its estimate, by class. */
  ratio(className: string): number;
}

/** Tasks of one job differ, and the last one counts: plans allow for it. */
const SPREAD = 1.3;
/** A job that no aim covers should start within so many boot times, by priority. */
const UNAIMED_BOOTS = { critical: 0, urgent: 1, normal: 2, best_effort: 8 };
/** A job that is late for all its aims waits behind those that are not, until so many times the last aim. */
const LATE = 2;

export function expectedRunMs(job: Job, plan: Pick<Plan, "ratio">): number {
  return job.spec.estimateS * plan.ratio(job.spec.className) * 1000;
}

export function fetchMs(job: Job, type: MachineType): number {
  return type.fetchGbPerS > 0 ? (job.spec.imageGb / type.fetchGbPerS) * 1000 : 0;
}

/** The time from renting a machine until a task of the job runs there. */
export function rentMs(job: Job, plan: Pick<Plan, "types">): number {
  let least = Infinity;
  for (const type of plan.types.values()) least = Math.min(least, type.bootS * 1000 + fetchMs(job, type));
  return Number.isFinite(least) ? least : 0;
}

/** The latest start for the nearest aim that can still be met, as time of day. */
export function latestStart(job: Job, plan: Plan): number {
  const { spec, acceptedAt } = job;
  const run = expectedRunMs(job, plan) * SPREAD;
  let fetch = 0;
  for (const type of plan.types.values()) fetch = Math.max(fetch, fetchMs(job, type));
  const starts: number[] = [];
  let last = 0;
  const aim = (withinMs: number, lead: number): void => {
    last = Math.max(last, withinMs);
    starts.push(acceptedAt + withinMs - lead);
  };
  if (spec.deadlineS !== null) aim(spec.deadlineS * 1000, run + fetch);
  for (const { className, kind, withinS } of plan.objectives) {
    if (className !== spec.className || withinS === null) continue;
    if (kind === "finished") aim(withinS * 1000, run + fetch);
    if (kind === "wait") aim(withinS * 1000, fetch);
  }
  if (starts.length === 0) return acceptedAt + UNAIMED_BOOTS[spec.priority] * rentMs(job, plan);
  const open = starts.filter((start) => start >= plan.wallNow);
  return open.length > 0 ? Math.min(...open) : acceptedAt + LATE * last;
}

/** Urgent and critical work first; the rest by how long it can wait. */
export function orderByUrgency(jobs: Job[], plan: Plan): Job[] {
  const first = PRIORITIES.indexOf("urgent");
  const keyed = jobs.map((job) => ({
    job,
    rank: Math.max(first, PRIORITIES.indexOf(job.spec.priority)),
    start: latestStart(job, plan),
  }));
  keyed.sort((a, b) => b.rank - a.rank || a.start - b.start || (a.job.spec.id < b.job.spec.id ? -1 : 1));
  return keyed.map((k) => k.job);
}
