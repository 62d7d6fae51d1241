/** Computes whether and how many tasks fit into free capacity. Pure. */
import { MAX_TASKS_PER_MACHINE } from "../wire/index.js";
import type { RemainingCapacity, Resources } from "../workers/resources.js";

/** The tolerance for rounding errors in sums of fractional resources. */
export const ROUNDING_TOLERANCE = 1e-9;

/** Whether one task fits into free capacity, within `ROUNDING_TOLERANCE`. */
export function fits(free: Resources, need: Resources): boolean {
  return (
    free.cpus + ROUNDING_TOLERANCE >= need.cpus &&
    free.gpus + ROUNDING_TOLERANCE >= need.gpus &&
    free.memoryGb + ROUNDING_TOLERANCE >= need.memoryGb
  );
}

/** Whether one more task that needs `need` fits into what is left of a machine. */
export function fitsOneMore(remaining: RemainingCapacity, need: Resources): boolean {
  return remaining.taskSlots > 0 && fits(remaining, need);
}

/** How many tasks that need `need` fit into what is left of a machine. */
export function slotsIn(remaining: RemainingCapacity, need: Resources): number {
  return Math.min(remaining.taskSlots, slotsByResources(remaining, need));
}

/**
 * The fraction of a machine type's resources that are used once the machine has the most tasks that it may have, if all
 * need `need`; 1 if they fill it before, or if none fits.
 */
export function fillAtTaskLimit(need: Resources, type: Resources): number {
  return Math.min(1, MAX_TASKS_PER_MACHINE / slotsByResources(type, need));
}

/** How many tasks that need `need` fit on an empty machine of a type. */
export function slotsPerMachine(need: Resources, { cpus, gpus, memoryGb }: Resources): number {
  return slotsIn({ cpus, gpus, memoryGb, taskSlots: MAX_TASKS_PER_MACHINE }, need);
}

/** How many tasks the resources alone allow; Infinity if a task needs none. */
function slotsByResources(available: Resources, need: Resources): number {
  return Math.min(
    slotsOf(available.cpus, need.cpus),
    slotsOf(available.gpus, need.gpus),
    slotsOf(available.memoryGb, need.memoryGb),
  );
}

function slotsOf(available: number, needPerTask: number): number {
  return needPerTask > 0 ? Math.floor(available / needPerTask + ROUNDING_TOLERANCE) : Infinity;
}
