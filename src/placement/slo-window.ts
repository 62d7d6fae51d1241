/** When the tasks of a job should start for its service-level objectives to be met, and how much slack is left. Pure. */
import type { Objective } from "../config/settings.js";
import type { Job } from "../workers/job.js";
import { expectedRuntimeMs, imagePullMs, provisioningMs } from "./runtime-estimates.js";
import type { SchedulingContext } from "./scheduling-context.js";

/** The tasks of one job differ, and the last one to end counts: windows allow for it. */
const RUNTIME_MARGIN = 1.3;
/** A job without objectives should start within so many provisioning times, by priority. */
const START_DELAY_IN_PROVISIONING_TIMES = { critical: 0, urgent: 1, normal: 2, best_effort: 8 };
/** A job that has missed all its objectives waits behind those that have not, until so many times its last one. */
const MISSED_SLO_FACTOR = 2;

/** When a job should start and end for one objective, in milliseconds of the time of day. */
export interface SloWindow {
  latestStartAt: number;
  /** When the job is due if it starts at the latest. */
  dueAt: number;
}

/** The window of one objective. */
interface ObjectiveWindow extends SloWindow {
  /** How long after the job was accepted the objective is due. */
  withinMs: number;
}

/** What is expected of a job's tasks, in milliseconds. */
interface TaskTimes {
  runtimeMs: number;
  imagePullMs: number;
}

/** The window of the nearest objective that can still be met, or a later one where there is none. */
export function sloWindowOf(job: Job, context: SchedulingContext): SloWindow {
  const times: TaskTimes = {
    runtimeMs: expectedRuntimeMs(job, context) * RUNTIME_MARGIN,
    imagePullMs: longestImagePullMs(job, context),
  };
  const windows = objectiveWindows(job, context.objectives, times);
  let nearest: SloWindow | null = null;
  for (const window of windows)
    if (
      window.latestStartAt >= context.wallNow &&
      (nearest === null || window.latestStartAt < nearest.latestStartAt)
    )
      nearest = window;
  if (nearest !== null) return nearest;
  const latestStartAt = job.acceptedAt + fallbackDelayMs(job, windows, context);
  return { latestStartAt, dueAt: latestStartAt + times.runtimeMs + times.imagePullMs };
}

function longestImagePullMs(job: Job, context: SchedulingContext): number {
  let longestMs = 0;
  for (const type of context.types.values()) longestMs = Math.max(longestMs, imagePullMs(job, type));
  return longestMs;
}

function objectiveWindows(job: Job, objectives: Objective[], times: TaskTimes): ObjectiveWindow[] {
  const { spec } = job;
  const runAndPullMs = times.runtimeMs + times.imagePullMs;
  const windows: ObjectiveWindow[] = [];
  if (spec.deadlineS !== null) windows.push(objectiveWindow(job, spec.deadlineS * 1000, runAndPullMs, times));
  for (const { className, kind, withinS } of objectives) {
    if (className !== spec.className || withinS === null) continue;
    if (kind === "finished") windows.push(objectiveWindow(job, withinS * 1000, runAndPullMs, times));
    if (kind === "wait") windows.push(objectiveWindow(job, withinS * 1000, times.imagePullMs, times));
  }
  return windows;
}

/** `leadMs`: how long before the objective's time the tasks must be started. */
function objectiveWindow(job: Job, withinMs: number, leadMs: number, times: TaskTimes): ObjectiveWindow {
  const latestStartAt = job.acceptedAt + withinMs - leadMs;
  return { withinMs, latestStartAt, dueAt: latestStartAt + times.runtimeMs + times.imagePullMs };
}

/** How long after it was accepted a job without an objective that can still be met should start. */
function fallbackDelayMs(job: Job, windows: ObjectiveWindow[], context: SchedulingContext): number {
  if (windows.length === 0)
    return START_DELAY_IN_PROVISIONING_TIMES[job.spec.priority] * provisioningMs(job, context);
  let lastWithinMs = 0;
  for (const { withinMs } of windows) lastWithinMs = Math.max(lastWithinMs, withinMs);
  return MISSED_SLO_FACTOR * lastWithinMs;
}

/** The latest start, in time of day, by which the nearest objective that can still be met is met. */
export function latestStartTime(job: Job, context: SchedulingContext): number {
  return sloWindowOf(job, context).latestStartAt;
}

/**
 * How long a running task could be delayed, in milliseconds, with its job still meeting the objective that it is about
 * to meet; Infinity where there is no such objective.
 */
export function runningTaskSlackMs(job: Job, remainingMs: number, context: SchedulingContext): number {
  const { spec, acceptedAt } = job;
  const withinS = context.objectives
    .filter(
      (objective) =>
        objective.className === spec.className && objective.kind === "finished" && objective.withinS !== null,
    )
    .map((objective) => objective.withinS!);
  if (spec.deadlineS !== null) withinS.push(spec.deadlineS);
  const slacksMs = withinS.map((seconds) => acceptedAt + seconds * 1000 - context.wallNow - remainingMs);
  return Math.min(Infinity, ...slacksMs.filter((slackMs) => slackMs >= 0));
}
