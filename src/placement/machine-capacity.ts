/** Computes the free capacity of machines. Pure. */
import type { MachineType } from "../wire/index.js";
import type { Machine } from "../workers/machine.js";
import { ROUNDING_TOLERANCE, fits } from "./capacity.js";
import type { RemainingCapacity } from "../workers/resources.js";
import type { QueueEntry } from "./job-queue.js";
import type { PlacementInput } from "./scheduling-context.js";

/** A machine, its type and what is left of it. */
export interface MachineCapacity extends RemainingCapacity {
  machine: Machine;
  type: MachineType;
}

/** The capacity of a machine less the resources of its placements. */
export function freeCapacityOf(machine: Machine, type: MachineType): MachineCapacity {
  const used = machine.usedResources();
  return {
    machine,
    type,
    cpus: type.cpus - used.cpus,
    gpus: type.gpus - used.gpus,
    memoryGb: type.memoryGb - used.memoryGb,
    taskSlots: machine.freeTaskSlots,
  };
}

/** The type of a machine; null if no task may start on it now or its type is unknown. */
export function usableTypeOf(
  machine: Machine,
  { types, now }: Pick<PlacementInput, "types" | "now">,
): MachineType | null {
  const type = types.get(machine.record.type);
  if (type === undefined || !machine.isSchedulable || machine.notBefore > now) return null;
  return machine.freeTaskSlots > 0 ? type : null;
}

/**
 * The machines whose free capacity holds the smallest need for each resource in the queue. Otherwise every job would be
 * checked against every machine, even if only large tasks, or jobs of a team at its limit, are waiting.
 */
export function capacityForQueue(
  queue: QueueEntry[],
  input: PlacementInput,
  machines: Iterable<Machine>,
): MachineCapacity[] {
  const minNeed = { cpus: Infinity, gpus: Infinity, memoryGb: Infinity };
  for (const { job } of queue) {
    minNeed.cpus = Math.min(minNeed.cpus, job.spec.cpus);
    minNeed.gpus = Math.min(minNeed.gpus, job.spec.gpus);
    minNeed.memoryGb = Math.min(minNeed.memoryGb, job.spec.memoryGb);
  }
  return machinesWithCapacity(input, machines).filter((capacity) => fits(capacity, minNeed));
}

function machinesWithCapacity(input: PlacementInput, machines: Iterable<Machine>): MachineCapacity[] {
  const capacities: MachineCapacity[] = [];
  for (const machine of machines) {
    const type = usableTypeOf(machine, input);
    if (type === null) continue;
    const capacity = freeCapacityOf(machine, type);
    // Every task needs CPUs or memory: a machine with neither free is full.
    if (capacity.cpus > ROUNDING_TOLERANCE || capacity.memoryGb > ROUNDING_TOLERANCE)
      capacities.push(capacity);
  }
  return capacities;
}
