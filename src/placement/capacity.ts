/** How many tasks fit into a capacity. Pure. */
import type { Resources } from "../workers/resources.js";

/** How far sums of fractions may be off because of rounding. */
export const ROUNDING_TOLERANCE = 1e-9;

/** Whether one task fits into the free capacity; rounding errors of sums are tolerated. */
export function fits(free: Resources, need: Resources): boolean {
  return (
    free.cpus + ROUNDING_TOLERANCE >= need.cpus &&
    free.gpus + ROUNDING_TOLERANCE >= need.gpus &&
    free.memoryGb + ROUNDING_TOLERANCE >= need.memoryGb
  );
}

/** How many such tasks a capacity holds, such as that of an empty machine of a type; one where they need nothing. */
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
