/**
 * Which waiting tasks the machines of the shard can take in time, as running tasks end. Only the others are worth
 * renting machines for: a machine takes its boot time to come, and by then the queue may be empty. Pure.
 */
import type { MachineType } from "../wire/index.js";
import type { Job } from "../workers/job.js";
import { allowsZone, countTasksByZone, countZone, isEligible, maxTasksPerZone } from "./eligibility.js";
import { orderByPriority } from "./job-queue.js";
import {
  earliestFitMs,
  forecastMachines,
  reserveCapacity,
  slotsAvailableAt,
  type MachineForecast,
} from "./machine-forecast.js";
import { expectedRuntimeMs, provisioningMs } from "./runtime-estimates.js";
import type { PlacementInput, SchedulingContext } from "./scheduling-context.js";
import { latestStartTime } from "./slo-window.js";

/** How much of a job's slack may be spent on waiting for running tasks that should end. */
const TRUSTED_SLACK_FRACTION = 0.3;

/** What the forecast is made from. */
export interface CapacityForecastInput extends SchedulingContext, Pick<PlacementInput, "machines" | "now"> {
  /** Waiting jobs and how many of their tasks may run, by their teams' quotas. */
  waiting: Map<Job, number>;
}

/** Tasks of a job that will not find capacity in time, and the only zone where a machine for them is of use, if any. */
export interface UnmetDemand {
  job: Job;
  count: number;
  zone: string | null;
}

/** The waiting tasks for which running ones will not release capacity in time. */
export function forecastUnmetDemand(input: CapacityForecastInput): UnmetDemand[] {
  const unmet: UnmetDemand[] = [];
  if (input.waiting.size === 0) return unmet;
  const forecasts = forecastMachines(input);
  for (const job of orderByPriority([...input.waiting.keys()], input)) {
    const tasksByZone = isZoneConstrained(job) ? countTasksByZone(job) : null;
    const count = assignFutureCapacity(job, input.waiting.get(job)!, forecasts, tasksByZone, input);
    if (count > 0) unmet.push(...splitByZone(job, count, tasksByZone, input.types));
  }
  return unmet;
}

function isZoneConstrained(job: Job): boolean {
  const { oneZone, spread, tasks } = job.spec;
  return oneZone || (spread && tasks > 1);
}

/** How long a job's tasks may wait before an objective is at risk; at least what provisioning would take. */
function longestWaitMs(job: Job, input: CapacityForecastInput): number {
  const provisioning = provisioningMs(job, input);
  const slack = latestStartTime(job, input) - input.wallNow;
  // Estimates are often off by half, and more urgent jobs may yet come: only a part of the slack is counted on.
  return Math.max(slack * TRUSTED_SLACK_FRACTION, provisioning);
}

/** A machine that can take tasks of the job, and in how many milliseconds. */
interface FutureFit {
  forecast: MachineForecast;
  startsInMs: number;
}

/** Assigns as many of `count` tasks to capacity that comes free in time as fit there. Returns how many are left. */
function assignFutureCapacity(
  job: Job,
  count: number,
  forecasts: MachineForecast[],
  tasksByZone: Map<string, number> | null,
  input: CapacityForecastInput,
): number {
  const waitMs = longestWaitMs(job, input);
  const runtimeMs = expectedRuntimeMs(job, input);
  const fitsLatestFirst: FutureFit[] = [];
  for (const forecast of forecasts)
    if (isEligible(job, forecast.machine)) insertEarliestFit(fitsLatestFirst, forecast, job, waitMs);
  // A task changes the capacity of its own machine and of no other, so that only this one is considered again.
  for (let best = fitsLatestFirst.pop(); count > 0 && best !== undefined; best = fitsLatestFirst.pop()) {
    const { forecast, startsInMs } = best;
    if (tasksByZone !== null && !allowsZone(job, forecast.machine.record.zone, tasksByZone)) continue;
    if (tasksByZone !== null) countZone(tasksByZone, forecast.machine);
    // All that fits there at that time is assigned at once: guards against a huge array costing a look for every task.
    const tasks =
      tasksByZone === null ? Math.min(count, slotsAvailableAt(forecast.timeline, job, startsInMs)) : 1;
    const run = { need: job.spec, tasks, startsInMs, endsInMs: startsInMs + runtimeMs };
    forecast.timeline = reserveCapacity(forecast.timeline, run);
    insertEarliestFit(fitsLatestFirst, forecast, job, waitMs);
    count -= tasks;
  }
  return count;
}

function insertEarliestFit(
  fitsLatestFirst: FutureFit[],
  forecast: MachineForecast,
  job: Job,
  waitMs: number,
): void {
  const startsInMs = earliestFitMs(forecast.timeline, job, waitMs);
  if (startsInMs !== null) insertByTime(fitsLatestFirst, { forecast, startsInMs });
}

/** Keeps the earliest last. */
function insertByTime(fitsLatestFirst: FutureFit[], fit: FutureFit): void {
  let low = 0;
  for (let high = fitsLatestFirst.length; low < high;) {
    const middle = (low + high) >> 1;
    if (fitsLatestFirst[middle]!.startsInMs > fit.startsInMs) low = middle + 1;
    else high = middle;
  }
  fitsLatestFirst.splice(low, 0, fit);
}

/**
 * Guards against renting, again and again, where no more of the job may run: a job that must be in one zone needs
 * machines where its tasks are, and one that must be spread needs them wherever half of it is not yet.
 */
function splitByZone(
  job: Job,
  count: number,
  tasksByZone: Map<string, number> | null,
  types: Map<string, MachineType>,
): UnmetDemand[] {
  const { spec } = job;
  if (tasksByZone === null) return [{ job, count, zone: spec.zone }];
  const [zoneOfTasks] = tasksByZone.keys();
  if (spec.oneZone) return [{ job, count, zone: zoneOfTasks ?? spec.zone }];
  const parts: UnmetDemand[] = [];
  for (const zone of zonesOffered(job, types)) {
    const part = Math.min(count, maxTasksPerZone(job) - (tasksByZone.get(zone) ?? 0));
    if (part <= 0) continue;
    parts.push({ job, count: part, zone });
    count -= part;
  }
  return parts;
}

/** All zones in which machines for the job can be rented. */
function zonesOffered({ spec }: Job, types: Map<string, MachineType>): Set<string> {
  const zones = new Set<string>();
  for (const type of types.values())
    if (spec.types === null || spec.types.includes(type.name)) type.zones.forEach((zone) => zones.add(zone));
  return zones;
}
