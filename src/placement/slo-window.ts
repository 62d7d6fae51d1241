/** Computes by when a job must start to meet its service-level objectives, and the slack of its running tasks. Pure. */
import type { Objective } from "../config/settings.js";
import type { Job } from "../workers/job.js";
import { expectedRuntimeMs, imagePullMs, provisioningMs } from "./runtime-estimates.js";
import type { SchedulingContext } from "./scheduling-context.js";

/** Factor on the expected run time: run times vary between tasks, and the job ends with its slowest task. */
const RUNTIME_MARGIN = 1.3;
/** The start delay allowed to a job without objectives, by priority, as a multiple of the provisioning time. */
const START_DELAY_IN_PROVISIONING_TIMES = { critical: 0, urgent: 1, normal: 2, best_effort: 8 };
/** The start delay of a job that missed all objectives, in multiples of its longest one; jobs in time go before it. */
const MISSED_SLO_FACTOR = 2;

/** The start and end times that meet one objective, in milliseconds of wall-clock time. */
export interface SloWindow {
  latestStartAt: number;
  /** The expected end of a job that starts at `latestStartAt`. */
  dueAt: number;
}

/** The window of one objective of a job. */
interface ObjectiveWindow extends SloWindow {
  /** The time limit of the objective, in milliseconds from when the job was accepted. */
  withinMs: number;
}

/** The expected times of a job's tasks, in milliseconds. */
interface TaskTimes {
  runtimeMs: number;
  imagePullMs: number;
}

/** The window of the earliest objective that can still be met, or a fallback window if there is none. */
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

/**
 * The window of an objective with the time limit `withinMs`.
 *
 * @param leadMs how long before the time limit the tasks must have started
 */
function objectiveWindow(job: Job, withinMs: number, leadMs: number, times: TaskTimes): ObjectiveWindow {
  const latestStartAt = job.acceptedAt + withinMs - leadMs;
  return { withinMs, latestStartAt, dueAt: latestStartAt + times.runtimeMs + times.imagePullMs };
}

/** The delay after acceptance within which a job should start if it has no objective that can still be met. */
function fallbackDelayMs(job: Job, windows: ObjectiveWindow[], context: SchedulingContext): number {
  if (windows.length === 0)
    return START_DELAY_IN_PROVISIONING_TIMES[job.spec.priority] * provisioningMs(job, context);
  let lastWithinMs = 0;
  for (const { withinMs } of windows) lastWithinMs = Math.max(lastWithinMs, withinMs);
  return MISSED_SLO_FACTOR * lastWithinMs;
}

/** The latest start that meets the earliest objective that can still be met, in milliseconds of wall-clock time. */
export function latestStartTime(job: Job, context: SchedulingContext): number {
  return sloWindowOf(job, context).latestStartAt;
}

/**
 * How long a running task may be delayed, in milliseconds, so that its job still meets the tightest objective that it
 * is on course to meet. Objectives that it will miss anyway are ignored; Infinity if none is left.
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
