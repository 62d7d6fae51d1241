/** How long a job may wait: the latest time at which its tasks should start for its aims to be met. Pure. */
import type { Objective, Team } from "../config/settings.js";
import { BEGIN_WITHIN_S, BESIDE_ROOM_S, PRIORITIES, type MachineType } from "../wire/index.js";
import type { Job } from "../workers/model.js";

/** What the order of jobs is decided on. */
export interface Plan {
  teams: Team[];
  types: Map<string, MachineType>;
  objectives: Objective[];
  /** Time of day, as jobs are dated. */
  wallNow: number;
  /** How long a task really runs for each second of its estimate, by class. */
  ratio(className: string): number;
}

/** Tasks of one job differ, and the last one counts: plans allow for it. */
const RUN_TIME_MARGIN = 1.3;
/** A job that no aim covers should start within so many boot times, by priority. */
const START_WITHIN_BOOT_TIMES = { critical: 0, urgent: 1, normal: 2, best_effort: 8 };
/** A job that is late for all its aims waits behind those that are not, until so many times the last aim. */
const LATE_AIM_FACTOR = 2;

/** How long a task of the job is expected to run, by its estimate and what its class's estimates were worth. */
export function expectedRunMs(job: Job, plan: Pick<Plan, "ratio">): number {
  return job.spec.estimateS * plan.ratio(job.spec.className) * 1000;
}

/** How long a machine of a type takes to fetch the job's image. */
export function fetchMs(job: Job, type: MachineType): number {
  return type.fetchGbPerS > 0 ? (job.spec.imageGb / type.fetchGbPerS) * 1000 : 0;
}

/** The time from renting a machine until a task of the job runs there. */
export function rentMs(job: Job, plan: Pick<Plan, "types">): number {
  let least = Infinity;
  for (const type of plan.types.values()) least = Math.min(least, type.bootS * 1000 + fetchMs(job, type));
  return Number.isFinite(least) ? least : 0;
}

interface Window {
  /** The latest start for the nearest aim that can still be met, and when the job is due then; time of day. */
  start: number;
  due: number;
}

function windowOf(job: Job, plan: Plan): Window {
  const { spec, acceptedAt } = job;
  const run = expectedRunMs(job, plan) * RUN_TIME_MARGIN;
  let fetch = 0;
  for (const type of plan.types.values()) fetch = Math.max(fetch, fetchMs(job, type));
  const windows: Window[] = [];
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
      ? START_WITHIN_BOOT_TIMES[spec.priority] * rentMs(job, plan)
      : LATE_AIM_FACTOR * last;
  const open = windows.filter((w) => w.start >= plan.wallNow);
  if (open.length === 0) return { start: acceptedAt + late, due: acceptedAt + late + run + fetch };
  return open.reduce((a, b) => (b.start < a.start ? b : a));
}

/** The latest start, in time of day, by which the nearest aim that can still be met is met. */
export function latestStart(job: Job, plan: Plan): number {
  return windowOf(job, plan).start;
}

/**
 * How long a running task could be set back and its job still meet the aim that it is about to meet; without bound
 * where there is no such aim.
 */
export function slackOfRunning(job: Job, remainingMs: number, plan: Plan): number {
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
function leftBehind(jobs: Job[], windows: Map<Job, Window>, plan: Plan): Set<Job> {
  const behind = new Set<Job>();
  for (const team of plan.teams) {
    if (team.cpusMax <= 0) continue;
    const own = jobs.filter((j) => j.spec.team === team.name);
    own.sort((a, b) => windows.get(a)!.due - windows.get(b)!.due);
    const kept: { job: Job; ms: number }[] = [];
    let at = plan.wallNow;
    for (const job of own) {
      const left = job.spec.tasks - job.done.count;
      const ms = (left * job.spec.cpus * expectedRunMs(job, plan)) / team.cpusMax;
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
const OVERDUE_BEFORE_FIRST_TASK = 0.5;
/** Once begun, a job that still waits after so many times that time goes before all others as well. */
const OVERDUE_BETWEEN_TASKS = 1.5;
/** A job of another shard's team takes what the shard's own jobs leave for longer than that. */
const OVERDUE_BETWEEN_TASKS_AS_GUEST = 3;

/** How much longer a job has waited than anything but its age may make it wait; negative before that. */
function overdueMs(job: Job, plan: Pick<Plan, "wallNow">): number {
  const age = plan.wallNow - job.acceptedAt;
  const betweenTasks = job.guest ? OVERDUE_BETWEEN_TASKS_AS_GUEST : OVERDUE_BETWEEN_TASKS;
  return age - BEGIN_WITHIN_S * 1000 * (job.begun ? betweenTasks : OVERDUE_BEFORE_FIRST_TASK);
}

/**
 * Guards against starving: of all the reasons for which a job may be passed by (rank, lateness, its size), none
 * counts past a part of the time in which users expect every job to begin.
 */
export function isOverdue(job: Job, plan: Pick<Plan, "wallNow">): boolean {
  return overdueMs(job, plan) > 0;
}

/** A reservation for an overdue job is suspended, and renewed, after this part of the time nobody waits beside room. */
const RESERVATION_PERIOD = 2 / 3;

/**
 * Whether a machine is reserved for a job until enough of it comes together. Only for one of which nothing runs: it goes
 * first for whatever its own tasks leave. And only for a while at a time, which guards against those behind it
 * waiting beside room for too long.
 */
export function reservesMachine(job: Job, plan: Pick<Plan, "wallNow">): boolean {
  const overdue = overdueMs(job, plan);
  if (overdue <= 0 || job.active.size > 0) return false;
  return Math.floor(overdue / (RESERVATION_PERIOD * BESIDE_ROOM_S * 1000)) % 2 === 0;
}

/** A waiting job and what its place in the queue comes from. */
export interface QueueEntry {
  job: Job;
  /** When it was accepted if it is overdue; Infinity if not. */
  overdueSince: number;
  rank: number;
  /** 1 for a job that has passed here from the shard of its team. */
  guest: number;
  /** 1 for a job left behind because its team's limit cannot hold all in time. */
  behind: number;
  /** The latest start for its aims. */
  start: number;
}

/**
 * What is overdue first, the oldest before the others; then urgent and critical work, then what can be in time, by
 * how long it can wait; what cannot comes last. Of one rank the shard's own jobs go before guests, which have come for
 * room that nothing here takes: an array of hundreds of tasks would keep the shard's own jobs waiting for minutes.
 */
export function queueEntriesOf(jobs: Job[], plan: Plan): QueueEntry[] {
  // Normal and lower work has one rank, below urgent.
  const lowest = PRIORITIES.indexOf("normal");
  const windows = new Map(jobs.map((job) => [job, windowOf(job, plan)]));
  const behind = leftBehind(jobs, windows, plan);
  const entries = jobs.map((job) => ({
    job,
    overdueSince: isOverdue(job, plan) ? job.acceptedAt : Infinity,
    rank: Math.max(lowest, PRIORITIES.indexOf(job.spec.priority)),
    guest: job.guest ? 1 : 0,
    behind: behind.has(job) ? 1 : 0,
    start: windows.get(job)!.start,
  }));
  entries.sort(
    (a, b) =>
      (a.overdueSince === b.overdueSince ? 0 : a.overdueSince - b.overdueSince) ||
      b.rank - a.rank ||
      a.guest - b.guest ||
      a.behind - b.behind ||
      a.start - b.start ||
      (a.job.spec.id < b.job.spec.id ? -1 : 1),
  );
  return entries;
}

/** Jobs in the order in which they are to be served. */
export function orderByUrgency(jobs: Job[], plan: Plan): Job[] {
  return queueEntriesOf(jobs, plan).map((entry) => entry.job);
}
