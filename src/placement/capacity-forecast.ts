/**
 * Forecasts which waiting tasks the shard's machines can take in time as running tasks end. Machines are rented only
 * for the others: a rented machine must boot first, and by then the queue may be empty. Pure.
 */
import type { MachineType } from "../wire/index.js";
import type { Job } from "../workers/job.js";
import { countZone, isEligible, maxTasksPerZone, tasksAllowedInZone } from "./eligibility.js";
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

/** The fraction of a job's slack that may be spent waiting for running tasks to end. */
const TRUSTED_SLACK_FRACTION = 0.3;

/** The input of the forecast. */
export interface CapacityForecastInput extends SchedulingContext, Pick<PlacementInput, "machines" | "now"> {
  /** For each waiting job, how many of its tasks may run within its team's quota. */
  waiting: Map<Job, number>;
}

/** Tasks of a job that need a rented machine, and the zone that the machine must be in; null for any zone. */
export interface UnmetDemand {
  job: Job;
  count: number;
  zone: string | null;
}

/** The waiting tasks that will not fit on the shard's machines in time, even as running tasks end. */
export function forecastUnmetDemand(input: CapacityForecastInput): UnmetDemand[] {
  const unmet: UnmetDemand[] = [];
  if (input.waiting.size === 0) return unmet;
  const forecasts = forecastMachines(input);
  for (const job of orderByPriority([...input.waiting.keys()], input)) {
    const tasksByZone = isZoneConstrained(job) ? new Map(job.tasksByZone) : null;
    const count = assignFutureCapacity(job, input.waiting.get(job)!, forecasts, tasksByZone, input);
    if (count > 0) unmet.push(...splitByZone(job, count, tasksByZone, input.types));
  }
  return unmet;
}

function isZoneConstrained(job: Job): boolean {
  const { oneZone, spread, tasks } = job.spec;
  return oneZone || (spread && tasks > 1);
}

/** How long a job's tasks may wait for capacity before an objective is at risk; at least the provisioning time. */
function longestWaitMs(job: Job, input: CapacityForecastInput): number {
  const provisioning = provisioningMs(job, input);
  const slack = latestStartTime(job, input) - input.wallNow;
  // Run-time estimates are often off by half, and more urgent jobs may arrive: use only a fraction of the slack.
  return Math.max(slack * TRUSTED_SLACK_FRACTION, provisioning);
}

/** A machine on which a task of the job will fit, and in how many milliseconds from now. */
interface FutureFit {
  forecast: MachineForecast;
  startsInMs: number;
}

/** Assigns up to `count` tasks to capacity that becomes free in time. Returns how many remain unassigned. */
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
  // Assigning tasks changes the timeline of one machine only: only that machine is inserted again.
  for (let best = fitsLatestFirst.pop(); count > 0 && best !== undefined; best = fitsLatestFirst.pop()) {
    const { forecast, startsInMs } = best;
    const allowed = Math.min(count, tasksAllowedInZone(job, forecast.machine.record.zone, tasksByZone));
    if (allowed <= 0) continue;
    // Assigns many tasks in one step: large arrays must not cost a search per task.
    const slots = Math.min(allowed, slotsAvailableAt(forecast.timeline, job, startsInMs));
    // No more than the machine's share, so that tasks start on the other machines too.
    const share = Math.max(1, Math.floor(allowed / (slots * (fitsLatestFirst.length + 1))));
    const runsPerSlot = Math.min(share, runsInTime(waitMs - startsInMs, runtimeMs));
    if (tasksByZone !== null) countZone(tasksByZone, forecast.machine, slots * runsPerSlot);
    const endsInMs = startsInMs + runsPerSlot * runtimeMs;
    forecast.timeline = reserveCapacity(forecast.timeline, {
      need: job.spec,
      tasks: slots,
      startsInMs,
      endsInMs,
    });
    insertEarliestFit(fitsLatestFirst, forecast, job, waitMs);
    count -= slots * runsPerSlot;
  }
  return count;
}

/** How many runs of a task can begin one after the other on one slot within `withinMs`; Infinity if they take no time. */
function runsInTime(withinMs: number, runtimeMs: number): number {
  return runtimeMs > 0 ? Math.floor(withinMs / runtimeMs) + 1 : Infinity;
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

/** Inserts by binary search; the list is sorted by start time, latest first, so that `pop` returns the earliest. */
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
 * Splits unmet demand by zone, so that no machine is rented in a zone where the job may not run more tasks. A `oneZone`
 * job needs machines in the zone of its tasks; a `spread` job needs them in zones that hold less than half of it.
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

/** The zones in which machines of the types that the job accepts can be rented. */
function zonesOffered({ spec }: Job, types: Map<string, MachineType>): Set<string> {
  const zones = new Set<string>();
  for (const type of types.values())
    if (spec.types === null || spec.types.includes(type.name)) type.zones.forEach((zone) => zones.add(zone));
  return zones;
}
