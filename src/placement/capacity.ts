/** Computes whether and how many tasks fit into free capacity. Pure. */
import type { Resources } from "../workers/resources.js";

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

/** How many tasks that need `need` fit into a capacity, such as that of an empty machine; 1 if they need nothing. */
export function slotsPerMachine(need: Resources, capacity: Resources): number {
  const slots = Math.min(
    slotsOf(capacity.cpus, need.cpus),
    slotsOf(capacity.gpus, need.gpus),
    slotsOf(capacity.memoryGb, need.memoryGb),
  );
  return Number.isFinite(slots) ? slots : 1;
}

function slotsOf(available: number, needPerTask: number): number {
  return needPerTask > 0 ? Math.floor(available / needPerTask + ROUNDING_TOLERANCE) : Infinity;
}
