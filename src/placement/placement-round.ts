/** Which waiting tasks start where: one round of decisions, within a budget of time. Pure but for the clock it is given. */
import type { SteadyClock } from "../runtime/clock.js";
import type { Job } from "../workers/job.js";
import type { Machine } from "../workers/machine.js";
import { orderByImageLocality } from "./image-locality.js";
import { placeWithinQuota } from "./job-placement.js";
import type { QueueEntry } from "./job-queue.js";
import { capacityForQueue } from "./machine-capacity.js";
import { beginRound, type RoundState, type TaskStart } from "./round-state.js";
import type { PlacementInput } from "./scheduling-context.js";
import { reserveMachineFor } from "./starvation-reservation.js";
import { needsReservation } from "./starvation.js";

/** What a round of placement decided. */
export interface PlacementRound {
  starts: TaskStart[];
  /** The id of the job at which the next round goes on; null when the whole queue was considered. */
  resumeAtJobId: string | null;
  reservations: Map<Machine, Job>;
  /** How many machines were considered for how many jobs: what the round cost, whatever the processor. */
  pairsConsidered: number;
}

/**
 * A whole round: all waiting jobs, offered the free capacity of all machines.
 *
 * @param queue the waiting jobs in the order in which they are served
 * @param deadlineAt the time of the clock after which no further job is considered; at least one is
 */
export function placeRound(
  input: PlacementInput,
  queue: QueueEntry[],
  clock: SteadyClock,
  deadlineAt: number,
): PlacementRound {
  const capacities = capacityForQueue(queue, input, input.machines);
  const state = beginRound(input, capacities, new Map(input.preemptionReservations));
  const first = startPosition(queue, input);
  // Machines stay reserved for the jobs before the resumed one.
  if (first > 0)
    for (const [machine, job] of input.starvationReservations) state.reservations.set(machine, job);
  for (let i = first; i < queue.length; i++) {
    const { job } = queue[i]!;
    if (i > first && clock() > deadlineAt) return resultOf(state, job.spec.id);
    placeWithinQuota(job, state);
    if (needsReservation(job, input)) reserveMachineFor(job, state);
  }
  return resultOf(state, null);
}

/** The position in the queue at which the round begins. */
function startPosition(queue: QueueEntry[], { resumeAtJobId }: PlacementInput): number {
  if (resumeAtJobId === null) return 0;
  const position = queue.findIndex(({ job }) => job.spec.id === resumeAtJobId);
  return Math.max(0, position);
}

function resultOf(
  { starts, reservations, pairsConsidered }: RoundState,
  resumeAtJobId: string | null,
): PlacementRound {
  return { starts, resumeAtJobId, reservations, pairsConsidered };
}

/**
 * The free capacity of one machine whose heartbeat has just come in, offered to the queue as it was last ordered: a
 * heartbeat costs what it changes, and not a look at the whole shard.
 *
 * @param hasEnoughImageHolders whether so many machines have the job's image that its tasks need no others
 */
export function placeOnMachine(
  machine: Machine,
  queue: QueueEntry[],
  input: PlacementInput,
  hasEnoughImageHolders: (job: Job) => boolean,
): PlacementRound {
  const reservations = new Map([...input.starvationReservations, ...input.preemptionReservations]);
  const capacities = capacityForQueue(queue, input, [machine]);
  // Most machines that send heartbeats are full: quota usage is not added up for them.
  if (capacities.length === 0) return { starts: [], resumeAtJobId: null, reservations, pairsConsidered: 0 };
  const state = beginRound(input, capacities, reservations);
  for (const job of orderByImageLocality(machine, queue, input, hasEnoughImageHolders))
    placeWithinQuota(job, state);
  return resultOf(state, null);
}
