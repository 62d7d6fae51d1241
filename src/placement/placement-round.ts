/**
 * Placement rounds: decide which waiting tasks start on which machines. A round over all machines stops at a deadline,
 * also within a job, and the next one resumes there. Without side effects, except that the clock passed in is read.
 */
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

/** The decisions of a placement round. */
export interface PlacementRound {
  starts: TaskStart[];
  /** The id of the job with which the next round starts; null if this round considered the whole queue in full. */
  resumeAtJobId: string | null;
  /** Machines on which only tasks of the given job may start. */
  reservations: Map<Machine, Job>;
  /** The number of (job, machine) pairs considered: the cost of the round, independent of processor speed. */
  pairsConsidered: number;
}

/**
 * Runs a full round: places the jobs of the queue on the free capacity of all machines.
 *
 * @param queue the waiting jobs in scheduling order
 * @param deadlineAt the reading of `clock` after which no further job is considered, and no further machine filled once
 *   the round has placed enough tasks; at least one job always is considered
 */
export function placeRound(
  input: PlacementInput,
  queue: QueueEntry[],
  clock: SteadyClock,
  deadlineAt: number,
): PlacementRound {
  const capacities = capacityForQueue(queue, input, input.machines);
  const isTimeUp = (): boolean => clock() > deadlineAt;
  const state = beginRound(input, capacities, new Map(input.preemptionReservations), isTimeUp);
  const first = startPosition(queue, input);
  // A resumed round skips the jobs at the head of the queue: their reservations are carried over.
  if (first > 0)
    for (const [machine, job] of input.starvationReservations) state.reservations.set(machine, job);
  for (let i = first; i < queue.length; i++) {
    const { job } = queue[i]!;
    if (i > first && isTimeUp()) return resultOf(state, job.spec.id);
    const isComplete = placeWithinQuota(job, state);
    if (!isComplete) return resultOf(state, job.spec.id);
    if (needsReservation(job, input)) reserveMachineFor(job, state);
  }
  return resultOf(state, null);
}

/** The queue position at which the round starts: that of the job to resume at; 0 if there is none in the queue. */
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
 * Places tasks on the free capacity of one machine whose heartbeat has just arrived. The queue keeps the order of the
 * last full round, so that the cost of a heartbeat does not grow with the number of machines in the shard.
 *
 * @param hasEnoughImageHolders whether the machines that have the job's image can hold all of its waiting tasks
 */
export function placeOnMachine(
  machine: Machine,
  queue: QueueEntry[],
  input: PlacementInput,
  hasEnoughImageHolders: (job: Job) => boolean,
): PlacementRound {
  const reservations = new Map([...input.starvationReservations, ...input.preemptionReservations]);
  const capacities = capacityForQueue(queue, input, [machine]);
  // Most machines that send heartbeats are full: skip computing quota usage for them.
  if (capacities.length === 0) return { starts: [], resumeAtJobId: null, reservations, pairsConsidered: 0 };
  const state = beginRound(input, capacities, reservations);
  for (const job of orderByImageLocality(machine, queue, input, hasEnoughImageHolders))
    placeWithinQuota(job, state);
  return resultOf(state, null);
}
