/** Resources of tasks and machines: sums, and how many tasks fit. Pure. */

/** Processors, graphics cards and memory. */
export interface Resources {
  cpus: number;
  gpus: number;
  memoryGb: number;
}

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

/** Adds resources to a sum in place. */
export function addResources(sum: Resources, { cpus, gpus, memoryGb }: Readonly<Resources>): void {
  sum.cpus += cpus;
  sum.gpus += gpus;
  sum.memoryGb += memoryGb;
}

/** Subtracts resources from a sum in place. */
export function subtractResources(sum: Resources, { cpus, gpus, memoryGb }: Readonly<Resources>): void {
  sum.cpus -= cpus;
  sum.gpus -= gpus;
  sum.memoryGb -= memoryGb;
}
