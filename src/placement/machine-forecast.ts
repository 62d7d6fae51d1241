/** When how much capacity comes free on a machine, as its tasks end. Pure. */
import type { Job } from "../workers/job.js";
import type { Machine } from "../workers/machine.js";
import { ROUNDING_TOLERANCE, fits, slotsPerMachine } from "./capacity.js";
import { addResources, type Resources } from "../workers/resources.js";
import { expectedRemainingMs } from "./runtime-estimates.js";
import type { PlacementInput } from "./scheduling-context.js";

const RESOURCE_KINDS = ["cpus", "gpus", "memoryGb"] as const;

/** Capacity of a machine that comes free at a time. */
export interface FutureCapacity extends Resources {
  /** In how many milliseconds from now. */
  availableInMs: number;
}

/** A machine and what comes free on it, the earliest first. */
export interface MachineForecast {
  machine: Machine;
  timeline: FutureCapacity[];
}

/** The forecasts of all machines on which tasks may start. */
export function forecastMachines(
  input: Pick<PlacementInput, "machines" | "types" | "runtimeRatio" | "now">,
): MachineForecast[] {
  return input.machines
    .filter((machine) => machine.isSchedulable)
    .flatMap((machine) => forecastMachine(machine, input));
}

/** Empty if the machine's type is not known. */
function forecastMachine(
  machine: Machine,
  input: Pick<PlacementInput, "types" | "runtimeRatio" | "now">,
): MachineForecast[] {
  const type = input.types.get(machine.record.type);
  if (type === undefined) return [];
  const used = machine.usedResources();
  const timeline: FutureCapacity[] = [
    {
      availableInMs: 0,
      cpus: type.cpus - used.cpus,
      gpus: type.gpus - used.gpus,
      memoryGb: type.memoryGb - used.memoryGb,
    },
  ];
  for (const placement of machine.placements) {
    const { cpus, gpus, memoryGb } = placement.job.spec;
    const availableInMs = expectedRemainingMs(placement, type, input);
    timeline.push({ availableInMs, cpus, gpus, memoryGb });
  }
  return [{ machine, timeline: timeline.sort((a, b) => a.availableInMs - b.availableInMs) }];
}

/** In how many milliseconds, if not after the longest wait, what is free by then holds one task of the job. */
export function earliestFitMs(timeline: FutureCapacity[], job: Job, longestWaitMs: number): number | null {
  const free = { cpus: 0, gpus: 0, memoryGb: 0 };
  for (const part of timeline) {
    if (part.availableInMs > longestWaitMs) return null;
    addResources(free, part);
    if (fits(free, job.spec)) return part.availableInMs;
  }
  return null;
}

/** How many tasks of the job what is free at a time holds; at least one, as one did fit. */
export function slotsAvailableAt(timeline: FutureCapacity[], job: Job, startsInMs: number): number {
  const free = { cpus: 0, gpus: 0, memoryGb: 0 };
  for (const part of timeline) {
    if (part.availableInMs > startsInMs) break;
    addResources(free, part);
  }
  return Math.max(1, slotsPerMachine(job.spec, free));
}

/** Tasks that are to run on a machine from one time to another. */
export interface FutureRun {
  /** What one task needs. */
  need: Resources;
  tasks: number;
  startsInMs: number;
  endsInMs: number;
}

/** What comes free beside the tasks of a run, and again after it. Changes the parts of the given timeline. */
export function reserveCapacity(timeline: FutureCapacity[], run: FutureRun): FutureCapacity[] {
  const { need, tasks, startsInMs, endsInMs } = run;
  const unmet = { cpus: need.cpus * tasks, gpus: need.gpus * tasks, memoryGb: need.memoryGb * tasks };
  const released: FutureCapacity = { availableInMs: endsInMs, ...unmet };
  const remaining: FutureCapacity[] = [];
  for (const part of timeline) {
    if (part.availableInMs > startsInMs) {
      remaining.push(part);
      continue;
    }
    for (const kind of RESOURCE_KINDS) {
      const amount = Math.min(unmet[kind], part[kind]);
      part[kind] -= amount;
      unmet[kind] -= amount;
    }
    if (RESOURCE_KINDS.some((kind) => part[kind] > ROUNDING_TOLERANCE)) remaining.push(part);
  }
  const position = remaining.findIndex((part) => part.availableInMs > endsInMs);
  remaining.splice(position < 0 ? remaining.length : position, 0, released);
  return remaining;
}
