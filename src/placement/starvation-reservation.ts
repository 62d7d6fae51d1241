/** Which machine is reserved for a starving job. */
import type { Job } from "../workers/job.js";
import type { Machine } from "../workers/machine.js";
import { fits } from "./capacity.js";
import { isEligible } from "./eligibility.js";
import type { RoundState } from "./round-state.js";

/**
 * Guards against starving a job of large tasks: small ones would use all capacity that is released before enough of it
 * is free on one machine. One machine that could hold a task of the starving job takes nothing else until it does.
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
    // The machine that is reserved for the job already stays so.
    const isReservedAlready = input.starvationReservations.get(machine) === job;
    const freeCpus = isReservedAlready ? Infinity : type.cpus - machine.usedResources().cpus;
    if (freeCpus > bestFreeCpus) {
      best = machine;
      bestFreeCpus = freeCpus;
    }
  }
  if (best !== null) reservations.set(best, job);
}
