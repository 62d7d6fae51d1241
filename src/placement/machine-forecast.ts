/** Forecasts when capacity becomes free on machines as their tasks end. Pure. */
import type { Job } from "../workers/job.js";
import type { Machine } from "../workers/machine.js";
import { ROUNDING_TOLERANCE, fitsOneMore, slotsIn } from "./capacity.js";
import { freeCapacityOf } from "./machine-capacity.js";
import { addResources, type RemainingCapacity, type Resources } from "../workers/resources.js";
import { expectedRemainingMs } from "./runtime-estimates.js";
import type { PlacementInput } from "./scheduling-context.js";

const RESOURCE_KINDS = ["cpus", "gpus", "memoryGb"] as const;
const CAPACITY_KINDS = [...RESOURCE_KINDS, "taskSlots"] as const;

/** Capacity of a machine that becomes free at one point in time. */
export interface FutureCapacity extends RemainingCapacity {
  /** When it becomes free, in milliseconds from now. */
  availableInMs: number;
}

/** A machine and the capacity that becomes free on it, earliest first. */
export interface MachineForecast {
  machine: Machine;
  timeline: FutureCapacity[];
}

/** The forecasts of all schedulable machines of known type. */
export function forecastMachines(
  input: Pick<PlacementInput, "machines" | "types" | "runtimeRatio" | "now">,
): MachineForecast[] {
  return input.machines
    .filter((machine) => machine.isSchedulable)
    .flatMap((machine) => forecastMachine(machine, input));
}

/** A list of one forecast; empty if the machine's type is unknown. */
function forecastMachine(
  machine: Machine,
  input: Pick<PlacementInput, "types" | "runtimeRatio" | "now">,
): MachineForecast[] {
  const type = input.types.get(machine.record.type);
  if (type === undefined) return [];
  const { cpus, gpus, memoryGb, taskSlots } = freeCapacityOf(machine, type);
  const timeline: FutureCapacity[] = [{ availableInMs: 0, cpus, gpus, memoryGb, taskSlots }];
  for (const placement of machine.placements) {
    const need = placement.job.spec;
    const availableInMs = expectedRemainingMs(placement, type, input);
    timeline.push({
      availableInMs,
      cpus: need.cpus,
      gpus: need.gpus,
      memoryGb: need.memoryGb,
      taskSlots: 1,
    });
  }
  return [{ machine, timeline: timeline.sort((a, b) => a.availableInMs - b.availableInMs) }];
}

/**
 * No capacity yet. Slots are counted for a job without any active task alone: it must start, while more tasks of a
 * running job may wait for a slot. Otherwise a job of tiny tasks would be given machines that stay nearly empty.
 */
function noCapacityFor({ activeAttempts }: Job): RemainingCapacity {
  return { cpus: 0, gpus: 0, memoryGb: 0, taskSlots: activeAttempts.size > 0 ? Infinity : 0 };
}

function addCapacity(sum: RemainingCapacity, released: FutureCapacity): void {
  addResources(sum, released);
  sum.taskSlots += released.taskSlots;
}

/** The time in milliseconds until one task of the job fits; null if that is longer than `longestWaitMs`. */
export function earliestFitMs(timeline: FutureCapacity[], job: Job, longestWaitMs: number): number | null {
  const free = noCapacityFor(job);
  for (const entry of timeline) {
    if (entry.availableInMs > longestWaitMs) return null;
    addCapacity(free, entry);
    if (fitsOneMore(free, job.spec)) return entry.availableInMs;
  }
  return null;
}

/** How many tasks of the job fit at `startsInMs`; at least 1, as the caller has found that one fits. */
export function slotsAvailableAt(timeline: FutureCapacity[], job: Job, startsInMs: number): number {
  const free = noCapacityFor(job);
  for (const entry of timeline) {
    if (entry.availableInMs > startsInMs) break;
    addCapacity(free, entry);
  }
  return Math.max(1, slotsIn(free, job.spec));
}

/** A run of equal tasks on a machine, with its start and end in milliseconds from now. */
export interface FutureRun {
  /** The resources that one task needs. */
  need: Resources;
  tasks: number;
  startsInMs: number;
  endsInMs: number;
}

/**
 * The timeline of a machine with the resources of a run taken until its end, when they become free again. Changes the
 * entries of the given timeline.
 */
export function reserveCapacity(timeline: FutureCapacity[], run: FutureRun): FutureCapacity[] {
  const { need, tasks, startsInMs, endsInMs } = run;
  const outstanding: RemainingCapacity = {
    cpus: need.cpus * tasks,
    gpus: need.gpus * tasks,
    memoryGb: need.memoryGb * tasks,
    taskSlots: tasks,
  };
  const released: FutureCapacity = { availableInMs: endsInMs, ...outstanding };
  const remaining: FutureCapacity[] = [];
  for (const entry of timeline) {
    if (entry.availableInMs > startsInMs) {
      remaining.push(entry);
      continue;
    }
    for (const kind of CAPACITY_KINDS) {
      const amount = Math.min(outstanding[kind], entry[kind]);
      entry[kind] -= amount;
      outstanding[kind] -= amount;
    }
    if (RESOURCE_KINDS.some((kind) => entry[kind] > ROUNDING_TOLERANCE)) remaining.push(entry);
    // An entry of slots alone would only make the timeline longer: no task fits there before the run ends.
    else released.taskSlots += entry.taskSlots;
  }
  // Only the slots that were there are released again.
  released.taskSlots -= outstanding.taskSlots;
  const position = remaining.findIndex((entry) => entry.availableInMs > endsInMs);
  remaining.splice(position < 0 ? remaining.length : position, 0, released);
  return remaining;
}
