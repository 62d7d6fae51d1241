/** Counts the machines of a shard that hold each image. */
import type { Job } from "../workers/job.js";
import type { Machine } from "../workers/machine.js";
import { slotsPerMachine } from "../placement/capacity.js";
import type { MachineType } from "../wire/index.js";

/** Number of schedulable machines that hold each image, as of the last full placement round. */
export class ImageHolders {
  private counts = new Map<string, number>();

  /** Recomputes the counts. */
  recount(machines: Iterable<Machine>): void {
    this.counts = new Map();
    for (const machine of machines) {
      if (!machine.isSchedulable) continue;
      for (const image of machine.images) this.counts.set(image, (this.counts.get(image) ?? 0) + 1);
    }
  }

  /**
   * Whether the machines with the job's image, if they are of this type, could hold all waiting tasks of the job at
   * once.
   */
  canHoldWaiting({ spec, waitingCount }: Job, type: MachineType | undefined): boolean {
    const slots = type === undefined ? 0 : slotsPerMachine(spec, type);
    return slots > 0 && (this.counts.get(spec.image) ?? 0) * slots >= waitingCount;
  }
}
