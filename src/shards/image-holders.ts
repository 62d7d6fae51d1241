/** How many machines of a shard hold which image. */
import type { Job } from "../workers/job.js";
import type { Machine } from "../workers/machine.js";
import { slotsPerMachine } from "../placement/capacity.js";
import type { MachineType } from "../wire/index.js";

/** Counts the schedulable machines that hold an image, as of the last full placement round. */
export class ImageHolders {
  private counts = new Map<string, number>();

  /** Counts anew. */
  recount(machines: Iterable<Machine>): void {
    this.counts = new Map();
    for (const machine of machines) {
      if (!machine.isSchedulable) continue;
      for (const image of machine.images) this.counts.set(image, (this.counts.get(image) ?? 0) + 1);
    }
  }

  /** Whether machines of this type with the job's image could hold all waiting tasks of the job at once. */
  canHoldWaiting({ spec, waitingCount }: Job, type: MachineType | undefined): boolean {
    const slots = type === undefined ? 0 : slotsPerMachine(spec, type);
    return slots > 0 && (this.counts.get(spec.image) ?? 0) * slots >= waitingCount;
  }
}
