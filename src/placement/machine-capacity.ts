/** What is free on the machines of the shard. Pure. */
import type { MachineType } from "../wire/index.js";
import type { Machine } from "../workers/machine.js";
import { ROUNDING_TOLERANCE, fits } from "./capacity.js";
import type { Resources } from "../workers/resources.js";
import type { QueueEntry } from "./job-queue.js";
import type { PlacementInput } from "./scheduling-context.js";

/** A machine and what is free on it. */
export interface MachineCapacity extends Resources {
  machine: Machine;
  type: MachineType;
}

/** What is free on a machine beside all that is placed there. */
export function freeCapacityOf(machine: Machine, type: MachineType): MachineCapacity {
  const used = machine.usedResources();
  return {
    machine,
    type,
    cpus: type.cpus - used.cpus,
    gpus: type.gpus - used.gpus,
    memoryGb: type.memoryGb - used.memoryGb,
  };
}

/** The type of a machine on which tasks may start now; null if none may, or if the type is not known. */
export function usableTypeOf(
  machine: Machine,
  { types, now }: Pick<PlacementInput, "types" | "now">,
): MachineType | null {
  const type = types.get(machine.record.type);
  return type === undefined || !machine.isSchedulable || machine.notBefore > now ? null : type;
}

/**
 * The machines with enough free capacity for the smallest waiting task. Guards against a queue of large tasks, or of a
 * team at its limit, costing a look at every machine for every job.
 */
export function capacityForQueue(
  queue: QueueEntry[],
  input: PlacementInput,
  machines: Iterable<Machine>,
): MachineCapacity[] {
  const least = { cpus: Infinity, gpus: Infinity, memoryGb: Infinity };
  for (const { job } of queue) {
    least.cpus = Math.min(least.cpus, job.spec.cpus);
    least.gpus = Math.min(least.gpus, job.spec.gpus);
    least.memoryGb = Math.min(least.memoryGb, job.spec.memoryGb);
  }
  return machinesWithCapacity(input, machines).filter((capacity) => fits(capacity, least));
}

function machinesWithCapacity(input: PlacementInput, machines: Iterable<Machine>): MachineCapacity[] {
  const capacities: MachineCapacity[] = [];
  for (const machine of machines) {
    const type = usableTypeOf(machine, input);
    if (type === null) continue;
    const capacity = freeCapacityOf(machine, type);
    // Every task needs processors or memory: a machine without either is full for all.
    if (capacity.cpus > ROUNDING_TOLERANCE || capacity.memoryGb > ROUNDING_TOLERANCE)
      capacities.push(capacity);
  }
  return capacities;
}
