/** Resources of tasks and machines, and their addition and subtraction. */

/** CPUs, GPUs and memory. */
export interface Resources {
  cpus: number;
  gpus: number;
  memoryGb: number;
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
