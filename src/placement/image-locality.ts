/** The order in which one machine serves the queue, with the images that it has taken into account. */
import type { Job } from "../workers/job.js";
import type { Machine } from "../workers/machine.js";
import { isStartable } from "./eligibility.js";
import type { QueueEntry } from "./job-queue.js";
import { expectedRuntimeMs } from "./runtime-estimates.js";
import type { PlacementInput } from "./scheduling-context.js";
import { isStarving } from "./starvation.js";

/**
 * The queue as this machine is to serve it. Fetching an image holds a task's processors and gains nothing, so that of
 * two jobs that can wait about alike the one whose image is here goes first, if the other has enough machines with its
 * own. About alike: of one rank, and with latest starts within a task's run of each other.
 *
 * @param hasEnoughImageHolders whether so many machines have the job's image that its tasks need no others
 */
export function* imageLocalFirst(
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
    entry.latestStart - head.latestStart <= expectedRuntimeMs(head.job, input)
  );
}
