/** How long a job may wait: the latest time at which its tasks should start for its aims to be met. Pure. */
import type { Objective, Team } from "../config/settings.js";
import {
  MAX_START_DELAY_S,
  MAX_WAIT_WITH_FREE_CAPACITY_S,
  PRIORITIES,
  type MachineType,
} from "../wire/index.js";
import type { Job } from "../workers/model.js";

/** What the order of jobs is decided on. */
export interface SchedulingContext {
  teams: Team[];
  types: Map<string, MachineType>;
  objectives: Objective[];
  /** Time of day, as jobs are dated. */
  wallNow: number;
  /** How long a task really runs for each second of its estimate, by class. */
  runtimeRatio(className: string): number;
}

/** Tasks of one job differ, and the last one counts: plans allow for it. */
const RUN_TIME_MARGIN = 1.3;
/** A job that no aim covers should start within so many boot times, by priority. */
const START_WITHIN_BOOT_TIMES = { critical: 0, urgent: 1, normal: 2, best_effort: 8 };
/** A job that is late for all its aims waits behind those that are not, until so many times the last aim. */
const MISSED_SLO_FACTOR = 2;

/** How long a task of the job is expected to run, by its estimate and what its class's estimates were worth. */
export function expectedRuntimeMs(job: Job, plan: Pick<SchedulingContext, "runtimeRatio">): number {
  return job.spec.estimateS * plan.runtimeRatio(job.spec.className) * 1000;
}

/** How long a machine of a type takes to fetch the job's image. */
export function imagePullMs(job: Job, type: MachineType): number {
  return type.fetchGbPerS > 0 ? (job.spec.imageGb / type.fetchGbPerS) * 1000 : 0;
}

/** The time from renting a machine until a task of the job runs there. */
export function provisioningMs(job: Job, plan: Pick<SchedulingContext, "types">): number {
  let least = Infinity;
  for (const type of plan.types.values()) least = Math.min(least, type.bootS * 1000 + imagePullMs(job, type));
  return Number.isFinite(least) ? least : 0;
}

interface SloWindow {
  /** The latest start for the nearest aim that can still be met, and when the job is due then; time of day. */
  start: number;
  due: number;
}

function sloWindowOf(job: Job, plan: SchedulingContext): SloWindow {
  const { spec, acceptedAt } = job;
  const run = expectedRuntimeMs(job, plan) * RUN_TIME_MARGIN;
  let fetch = 0;
  for (const type of plan.types.values()) fetch = Math.max(fetch, imagePullMs(job, type));
  const windows: SloWindow[] = [];
  let last = 0;
  const aim = (withinMs: number, lead: number): void => {
    last = Math.max(last, withinMs);
    const start = acceptedAt + withinMs - lead;
    windows.push({ start, due: start + run + fetch });
  };
  if (spec.deadlineS !== null) aim(spec.deadlineS * 1000, run + fetch);
  for (const { className, kind, withinS } of plan.objectives) {
    if (className !== spec.className || withinS === null) continue;
    if (kind === "finished") aim(withinS * 1000, run + fetch);
    if (kind === "wait") aim(withinS * 1000, fetch);
  }
  const late =
    windows.length === 0
      ? START_WITHIN_BOOT_TIMES[spec.priority] * provisioningMs(job, plan)
      : MISSED_SLO_FACTOR * last;
  const open = windows.filter((w) => w.start >= plan.wallNow);
  if (open.length === 0) return { start: acceptedAt + late, due: acceptedAt + late + run + fetch };
  return open.reduce((a, b) => (b.start < a.start ? b : a));
}

/** The latest start, in time of day, by which the nearest aim that can still be met is met. */
export function latestStartTime(job: Job, plan: SchedulingContext): number {
  return sloWindowOf(job, plan).start;
}

/**
 * How long a running task could be set back and its job still meet the aim that it is about to meet; without bound
 * where there is no such aim.
 */
export function runningTaskSlackMs(job: Job, remainingMs: number, plan: SchedulingContext): number {
  const { spec, acceptedAt } = job;
  const within = plan.objectives
    .filter((aim) => aim.className === spec.className && aim.kind === "finished" && aim.withinS !== null)
    .map((aim) => aim.withinS!);
  if (spec.deadlineS !== null) within.push(spec.deadlineS);
  const slacks = within.map((s) => acceptedAt + s * 1000 - plan.wallNow - remainingMs);
  return Math.min(Infinity, ...slacks.filter((slack) => slack >= 0));
}

/**
 * The jobs to leave behind where a team's limit cannot hold all of its jobs in time: by due time, the largest so far
 * gives way whenever one would be late. That leaves the most jobs in time (Moore's rule for one machine).
 */
function jobsToDefer(jobs: Job[], windows: Map<Job, SloWindow>, plan: SchedulingContext): Set<Job> {
  const behind = new Set<Job>();
  for (const team of plan.teams) {
    if (team.cpusMax <= 0) continue;
    const own = jobs.filter((j) => j.spec.team === team.name);
    own.sort((a, b) => windows.get(a)!.due - windows.get(b)!.due);
    const kept: { job: Job; ms: number }[] = [];
    let at = plan.wallNow;
    for (const job of own) {
      const left = job.spec.tasks - job.done.count;
      const ms = (left * job.spec.cpus * expectedRuntimeMs(job, plan)) / team.cpusMax;
      kept.push({ job, ms });
      at += ms;
      if (at <= windows.get(job)!.due) continue;
      const largest = kept.reduce((a, b) => (b.ms > a.ms ? b : a));
      kept.splice(kept.indexOf(largest), 1);
      at -= largest.ms;
      behind.add(largest.job);
    }
  }
  return behind;
}

/** A job none of whose tasks has begun by this part of the time in which all must begin goes before all others. */
const STARVING_BEFORE_FIRST_TASK = 0.5;
/** Once begun, a job that still waits after so many times that time goes before all others as well. */
const STARVING_BETWEEN_TASKS = 1.5;
/** A job of another shard's team takes what the shard's own jobs leave for longer than that. */
const STARVING_BETWEEN_TASKS_MIGRATED = 3;

/** How much longer a job has waited than anything but its age may make it wait; negative before that. */
function starvingForMs(job: Job, plan: Pick<SchedulingContext, "wallNow">): number {
  const age = plan.wallNow - job.acceptedAt;
  const betweenTasks = job.migratedIn ? STARVING_BETWEEN_TASKS_MIGRATED : STARVING_BETWEEN_TASKS;
  return age - MAX_START_DELAY_S * 1000 * (job.hasStarted ? betweenTasks : STARVING_BEFORE_FIRST_TASK);
}

/**
 * Guards against starving: of all the reasons for which a job may be passed by (rank, lateness, its size), none
 * counts past a part of the time in which users expect every job to begin.
 */
export function isStarving(job: Job, plan: Pick<SchedulingContext, "wallNow">): boolean {
  return starvingForMs(job, plan) > 0;
}

/** A reservation for an overdue job is suspended, and renewed, after this part of the time nobody waits beside room. */
const RESERVATION_PERIOD = 2 / 3;

/**
 * Whether a machine is reserved for a job until enough of it comes together. Only for one of which nothing runs: it goes
 * first for whatever its own tasks leave. And only for a while at a time, which guards against those behind it
 * waiting beside room for too long.
 */
export function needsReservation(job: Job, plan: Pick<SchedulingContext, "wallNow">): boolean {
  const overdue = starvingForMs(job, plan);
  if (overdue <= 0 || job.active.size > 0) return false;
  return Math.floor(overdue / (RESERVATION_PERIOD * MAX_WAIT_WITH_FREE_CAPACITY_S * 1000)) % 2 === 0;
}

/** A waiting job and what its place in the queue comes from. */
export interface QueueEntry {
  job: Job;
  /** When it was accepted if it is overdue; Infinity if not. */
  starvingSince: number;
  rank: number;
  /** 1 for a job that has passed here from the shard of its team. */
  migratedIn: number;
  /** 1 for a job left behind because its team's limit cannot hold all in time. */
  deferred: number;
  /** The latest start for its aims. */
  latestStart: number;
}

/**
 * What is overdue first, the oldest before the others; then urgent and critical work, then what can be in time, by
 * how long it can wait; what cannot comes last. Of one rank the shard's own jobs go before guests, which have come for
 * room that nothing here takes: an array of hundreds of tasks would keep the shard's own jobs waiting for minutes.
 */
export function prioritize(jobs: Job[], plan: SchedulingContext): QueueEntry[] {
  // Normal and lower work has one rank, below urgent.
  const lowest = PRIORITIES.indexOf("normal");
  const windows = new Map(jobs.map((job) => [job, sloWindowOf(job, plan)]));
  const deferred = jobsToDefer(jobs, windows, plan);
  const entries = jobs.map((job) => ({
    job,
    starvingSince: isStarving(job, plan) ? job.acceptedAt : Infinity,
    rank: Math.max(lowest, PRIORITIES.indexOf(job.spec.priority)),
    migratedIn: job.migratedIn ? 1 : 0,
    deferred: deferred.has(job) ? 1 : 0,
    latestStart: windows.get(job)!.start,
  }));
  entries.sort(
    (a, b) =>
      (a.starvingSince === b.starvingSince ? 0 : a.starvingSince - b.starvingSince) ||
      b.rank - a.rank ||
      a.migratedIn - b.migratedIn ||
      a.deferred - b.deferred ||
      a.latestStart - b.latestStart ||
      (a.job.spec.id < b.job.spec.id ? -1 : 1),
  );
  return entries;
}

/** Jobs in the order in which they are to be served. */
export function orderByPriority(jobs: Job[], plan: SchedulingContext): Job[] {
  return prioritize(jobs, plan).map((entry) => entry.job);
}
