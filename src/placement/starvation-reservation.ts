/** Reserves machines for starving jobs. */
import type { Job } from "../workers/job.js";
import type { Machine } from "../workers/machine.js";
import { fits } from "./capacity.js";
import { isEligible } from "./eligibility.js";
import type { RoundState } from "./round-state.js";

/**
 * Reserves one machine for a starving job that started no task in this round: the eligible machine with the most free
 * CPUs. Until a task of the job fits there, the machine takes no other tasks; otherwise small tasks would use all
 * released capacity before enough of it is free for a large one.
 */
export function reserveMachineFor(job: Job, state: RoundState): void {
  const { input, reservations, starts } = state;
  if (starts.some((start) => start.job === job)) return;
  let best: Machine | null = null;
  let bestFreeCpus = -Infinity;
  for (const machine of input.machines) {
    const type = input.types.get(machine.record.type);
    if (!type || !machine.isSchedulable || reservations.has(machine) || !isEligible(job, machine)) continue;
    if (!fits(type, job.spec)) continue;
    // A machine already reserved for the job stays reserved.
    const isReservedAlready = input.starvationReservations.get(machine) === job;
    const freeCpus = isReservedAlready ? Infinity : type.cpus - machine.usedResources().cpus;
    if (freeCpus > bestFreeCpus) {
      best = machine;
      bestFreeCpus = freeCpus;
    }
  }
  if (best !== null) reservations.set(best, job);
}
