/** Orders the queue for one machine, preferring jobs whose image the machine has. */
import type { Job } from "../workers/job.js";
import type { Machine } from "../workers/machine.js";
import { isStartable } from "./eligibility.js";
import type { QueueEntry } from "./job-queue.js";
import { expectedRuntimeMs } from "./runtime-estimates.js";
import type { PlacementInput } from "./scheduling-context.js";
import { isStarving } from "./starvation.js";

/**
 * Yields the startable jobs of the queue in the order in which this machine takes them. Pulling an image occupies a
 * task's CPUs without progress. A job whose image is missing here is therefore postponed behind jobs of similar
 * priority, if enough other machines have its image and it is not starving. Priority is similar if rank and deferral
 * are equal and the latest start is at most the expected run time of a task after that of the first postponed job.
 *
 * @param hasEnoughImageHolders whether the machines that have the job's image can hold all of its waiting tasks
 */
export function* orderByImageLocality(
  machine: Machine,
  queue: QueueEntry[],
  input: PlacementInput,
  hasEnoughImageHolders: (job: Job) => boolean,
): Generator<Job> {
  let postponed: QueueEntry[] = [];
  for (const entry of queue) {
    const { job } = entry;
    if (job.waitingCount === 0 || !isStartable(job, input)) continue;
    const head = postponed[0];
    if (head !== undefined && !haveSimilarPriority(head, entry, input)) {
      for (const { job: postponedJob } of postponed) yield postponedJob;
      postponed = [];
    }
    const isImageLocal = machine.images.has(job.spec.image);
    if (!isImageLocal && !isStarving(job, input) && hasEnoughImageHolders(job)) postponed.push(entry);
    else yield job;
  }
  for (const { job } of postponed) yield job;
}

function haveSimilarPriority(head: QueueEntry, entry: QueueEntry, input: PlacementInput): boolean {
  return (
    head.rank === entry.rank &&
    head.deferred === entry.deferred &&
    entry.latestStartAt - head.latestStartAt <= expectedRuntimeMs(head.job, input)
  );
}
