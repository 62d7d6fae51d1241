/** Finds machines whose heartbeats arrive and which no response reaches. */
import type { Machine } from "./machine.js";

/** After how many responses in a row an epoch must have ended to prove that none of them arrived. */
const RESPONSE_HISTORY_LENGTH = 3;

/**
 * Records the epoch of a heartbeat. An epoch ends when the worker has received no response for a lease. Where responses
 * were sent all the while, they do not arrive; the machine gets nothing new until an epoch has outlived a lease.
 *
 * @param now steady time in milliseconds
 */
export function updateEpoch(machine: Machine, epoch: number, now: number, leaseMs: number): void {
  if (epoch > machine.epoch) beginEpoch(machine, epoch, now, leaseMs);
  else if (hasEpochOutlivedLease(machine, now, leaseMs)) machine.responsesLostSince = null;
}

function beginEpoch(machine: Machine, epoch: number, now: number, leaseMs: number): void {
  const oldest = machine.responseTimes[0];
  const wereResponsesSent =
    machine.responseTimes.length === RESPONSE_HISTORY_LENGTH &&
    oldest !== undefined &&
    now - oldest < leaseMs;
  if (machine.epoch > 0 && wereResponsesSent) machine.responsesLostSince ??= now;
  machine.epoch = epoch;
  machine.epochSince = now;
  machine.responseTimes.length = 0;
}

function hasEpochOutlivedLease(machine: Machine, now: number, leaseMs: number): boolean {
  return (
    machine.responsesLostSince !== null &&
    now - Math.max(machine.epochSince, machine.responsesLostSince) > leaseMs
  );
}

/** Records that a response is sent now, in steady time in milliseconds. */
export function recordResponse(machine: Machine, now: number): void {
  machine.responseTimes.push(now);
  if (machine.responseTimes.length > RESPONSE_HISTORY_LENGTH) machine.responseTimes.shift();
}
