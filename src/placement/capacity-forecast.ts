/**
 * Which waiting tasks the machines at hand will take in time by themselves, as running tasks end. Only the others
 * are worth renting for: a machine takes its boot time to come, and by then the queue may be gone. Pure.
 */
import type { MachineType } from "../wire/index.js";
import type { Job, Machine, Placement } from "../workers/model.js";
import { isEligible, countZone, fits, allowsZone, countTasksByZone, type Resources } from "./capacity.js";
import {
  expectedRuntimeMs,
  imagePullMs,
  latestStartTime,
  orderByPriority,
  provisioningMs,
  type SchedulingContext,
} from "./slo-priority.js";

/** What the forecast is made from. */
export interface CapacityForecastInput extends SchedulingContext {
  /** Waiting jobs and how many of their tasks may run, by their teams' limits. */
  waiting: Map<Job, number>;
  machines: Machine[];
  /** Steady time. */
  now: number;
}

const KINDS = ["cpus", "gpus", "memoryGb"] as const;
/** What sums of fractions may be off by. */
const ROUNDING = 1e-9;

/** Room on a machine that comes free at a time. */
interface FutureCapacity extends Resources {
  at: number;
}

/** A task that outruns its estimate is taken to need this part of it again. */
const OVERRUN_FRACTION = 0.2;
/** How much of a job's slack is left to rooms that should come free. */
const TRUSTED_SLACK_FRACTION = 0.3;

/** In how many milliseconds a task is expected to end. */
export function expectedRemainingMs(
  placement: Placement,
  type: MachineType,
  input: SchedulingContext & { now: number },
): number {
  const run = expectedRuntimeMs(placement.job, input);
  if (placement.state === "saving") return placement.job.spec.saveS * 1000;
  if (placement.state === "running")
    return Math.max(run - (input.now - placement.stateSince), run * OVERRUN_FRACTION);
  return run + imagePullMs(placement.job, type);
}

/** How long a job's tasks may wait before an aim is at risk; at least what renting would take. */
function longestWaitMs(job: Job, input: CapacityForecastInput): number {
  const rent = provisioningMs(job, input);
  const slack = latestStartTime(job, input) - input.wallNow;
  // Estimates are often off by half, and more urgent jobs may yet come: only part of the slack is counted on.
  return Math.max(slack * TRUSTED_SLACK_FRACTION, rent);
}

/** Tasks of a job that will not find room in time, and the only zone where a machine for them is of use, if any. */
export interface UnmetDemand {
  job: Job;
  count: number;
  zone: string | null;
}

/** The waiting tasks that running ones will not make room for in time. */
export function forecastUnmetDemand(input: CapacityForecastInput): UnmetDemand[] {
  const rest: UnmetDemand[] = [];
  if (input.waiting.size === 0) return rest;
  const rooms = input.machines.filter((m) => m.schedulable).flatMap((m) => forecastMachine(m, input));
  for (const job of orderByPriority([...input.waiting.keys()], input)) {
    const longestWait = longestWaitMs(job, input);
    const run = expectedRuntimeMs(job, input);
    let count = input.waiting.get(job)!;
    const { oneZone, spread, tasks } = job.spec;
    const zones = oneZone || (spread && tasks > 1) ? countTasksByZone(job) : null;
    const open: { room: MachineForecast; at: number }[] = [];
    const offer = (room: MachineForecast): void => {
      const at = earliestFit(room.pieces, job, longestWait);
      if (at !== null) insertByTime(open, { room, at });
    };
    for (const room of rooms) if (isEligible(job, room.machine)) offer(room);
    // A task changes the room that it takes and no other, so that only this one is looked at again.
    for (let best = open.pop(); count > 0 && best !== undefined; best = open.pop()) {
      const { machine, pieces } = best.room;
      if (zones !== null && !allowsZone(job, machine.record.zone, zones)) continue;
      if (zones !== null) countZone(zones, machine);
      // All that fits there at that time is taken at once: guards against a huge array costing a look for every task.
      const together = zones === null ? Math.min(count, slotsAvailableAt(pieces, job, best.at)) : 1;
      best.room.pieces = reserveCapacity(pieces, job.spec, together, best.at, best.at + run);
      offer(best.room);
      count -= together;
    }
    if (count > 0) rest.push(...splitByZone(job, count, zones, input));
  }
  return rest;
}

/**
 * Guards against renting, again and again, where no more of the job may run: a job that must be in one zone needs
 * machines where its tasks are, and one that must be spread needs them wherever half of it is not yet.
 */
function splitByZone(
  job: Job,
  count: number,
  zones: Map<string, number> | null,
  { types }: CapacityForecastInput,
): UnmetDemand[] {
  const { spec } = job;
  const [bound] = zones?.keys() ?? [];
  if (zones === null || (spec.oneZone && bound === undefined)) return [{ job, count, zone: spec.zone }];
  if (spec.oneZone) return [{ job, count, zone: bound! }];
  const offered = new Set<string>();
  for (const type of types.values())
    if (spec.types === null || spec.types.includes(type.name)) type.zones.forEach((z) => offered.add(z));
  const parts: UnmetDemand[] = [];
  for (const zone of offered) {
    const part = Math.min(count, Math.ceil(spec.tasks / 2) - (zones.get(zone) ?? 0));
    if (part <= 0) continue;
    parts.push({ job, count: part, zone });
    count -= part;
  }
  return parts;
}

interface MachineForecast {
  machine: Machine;
  pieces: FutureCapacity[];
}

function forecastMachine(machine: Machine, input: CapacityForecastInput): MachineForecast[] {
  const type = input.types.get(machine.record.type);
  if (type === undefined) return [];
  const used = machine.usedResources();
  const pieces: FutureCapacity[] = [
    {
      at: 0,
      cpus: type.cpus - used.cpus,
      gpus: type.gpus - used.gpus,
      memoryGb: type.memoryGb - used.memoryGb,
    },
  ];
  for (const placement of machine.placements) {
    const { cpus, gpus, memoryGb } = placement.job.spec;
    pieces.push({ at: expectedRemainingMs(placement, type, input), cpus, gpus, memoryGb });
  }
  return [{ machine, pieces: pieces.sort((a, b) => a.at - b.at) }];
}

/** Keeps the earliest last. */
function insertByTime(
  list: { room: MachineForecast; at: number }[],
  entry: { room: MachineForecast; at: number },
): void {
  let low = 0;
  for (let high = list.length; low < high;) {
    const middle = (low + high) >> 1;
    if (list[middle]!.at > entry.at) low = middle + 1;
    else high = middle;
  }
  list.splice(low, 0, entry);
}

/** The earliest time, if not past `until`, at which the pieces free by then hold one task. */
function earliestFit(pieces: FutureCapacity[], job: Job, until: number): number | null {
  const sum = { cpus: 0, gpus: 0, memoryGb: 0 };
  for (const piece of pieces) {
    if (piece.at > until) return null;
    sum.cpus += piece.cpus;
    sum.gpus += piece.gpus;
    sum.memoryGb += piece.memoryGb;
    if (fits(sum, job.spec)) return piece.at;
  }
  return null;
}

/** How many tasks the pieces free by `at` hold; one did fit. */
function slotsAvailableAt(pieces: FutureCapacity[], job: Job, at: number): number {
  const sum = { cpus: 0, gpus: 0, memoryGb: 0 };
  for (const piece of pieces) {
    if (piece.at > at) break;
    for (const kind of KINDS) sum[kind] += piece[kind];
  }
  let slots = Infinity;
  for (const kind of KINDS)
    if (job.spec[kind] > 0) slots = Math.min(slots, Math.floor(sum[kind] / job.spec[kind] + ROUNDING));
  return Number.isFinite(slots) ? Math.max(1, slots) : 1;
}

/** The pieces that are left once so many tasks have taken their room at `at`, to give it back at `until`. */
function reserveCapacity(
  pieces: FutureCapacity[],
  spec: Resources,
  tasks: number,
  at: number,
  until: number,
): FutureCapacity[] {
  const left = { cpus: spec.cpus * tasks, gpus: spec.gpus * tasks, memoryGb: spec.memoryGb * tasks };
  const back: FutureCapacity = { at: until, ...left };
  const rest: FutureCapacity[] = [];
  for (const piece of pieces) {
    if (piece.at > at) {
      rest.push(piece);
      continue;
    }
    for (const kind of KINDS) {
      const part = Math.min(left[kind], piece[kind]);
      piece[kind] -= part;
      left[kind] -= part;
    }
    if (KINDS.some((kind) => piece[kind] > ROUNDING)) rest.push(piece);
  }
  const index = rest.findIndex((piece) => piece.at > until);
  rest.splice(index < 0 ? rest.length : index, 0, back);
  return rest;
}
