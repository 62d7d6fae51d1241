/** Resources of tasks and machines, and their addition and subtraction. */

/** CPUs, GPUs and memory. */
export interface Resources {
  cpus: number;
  gpus: number;
  memoryGb: number;
}

/** What is left of a machine: free resources, and the number of tasks that may be added. */
export interface RemainingCapacity extends Resources {
  taskSlots: number;
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

/** Takes the resources and the slot of one task from remaining capacity in place. */
export function takeTask(remaining: RemainingCapacity, need: Readonly<Resources>): void {
  subtractResources(remaining, need);
  remaining.taskSlots--;
}

/** Returns the resources and the slot of one task to remaining capacity in place. */
export function returnTask(remaining: RemainingCapacity, need: Readonly<Resources>): void {
  addResources(remaining, need);
  remaining.taskSlots++;
}
