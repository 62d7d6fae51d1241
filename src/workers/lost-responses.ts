/** Detects machines whose heartbeats arrive while the responses to them are lost. */
import type { Machine } from "./machine.js";

/** If an epoch ends less than a lease after the oldest of this many consecutive responses, none was received. */
const RESPONSE_HISTORY_LENGTH = 3;

/**
 * Records the epoch of a heartbeat. A worker begins a new epoch when its lease has expired, that is after a lease
 * without a response. If responses were sent during that time, they were lost: nothing new is placed on the machine
 * until an epoch has lasted longer than a lease.
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

/** Records that a response is sent at `now`, in steady time in milliseconds. */
export function recordResponse(machine: Machine, now: number): void {
  machine.responseTimes.push(now);
  if (machine.responseTimes.length > RESPONSE_HISTORY_LENGTH) machine.responseTimes.shift();
}
