/** Selects the machines of a shard that may be removed, and those whose first heartbeat is not recorded yet. */
import type { Machine } from "../workers/machine.js";

/** Why machines are removed: `drain` returns them to the cloud, `transfer` moves them to another shard. */
export type RemovalReason = "drain" | "transfer";

/** How many consecutive heartbeats must show a machine empty before it may be removed. */
const MIN_EMPTY_HEARTBEATS = 2;

/**
 * Returns those of the hosts that may be removed, and sets `isRemovalPending` on them: nothing is placed on them until
 * `cancelRemoval` clears it.
 */
export function beginRemoval(
  machines: ReadonlyMap<string, Machine>,
  hosts: string[],
  reason: RemovalReason,
): string[] {
  return hosts.filter((host) => {
    const machine = machines.get(host);
    if (machine === undefined || machine.isRemovalPending) return false;
    if (!isIdle(machine) && !(reason === "drain" && isLost(machine))) return false;
    machine.isRemovalPending = true;
    return true;
  });
}

/** Allows placement again on machines whose removal was not carried out. */
export function cancelRemoval(machines: ReadonlyMap<string, Machine>, hosts: string[]): void {
  for (const host of hosts) {
    const machine = machines.get(host);
    if (machine) machine.isRemovalPending = false;
  }
}

/** The hosts that have sent heartbeats but are not yet recorded as having reported. */
export function findUnrecordedHosts(machines: Iterable<Machine>): string[] {
  return [...machines].filter(isUnrecorded).map(({ host }) => host);
}

/**
 * Whether certainly no task that any owner of the shard has started is on the machine. A response of another shard's
 * owner that renews the worker's lease also stops the tasks of this shard, so the end of the lease is proof even then.
 */
export function isProvenUnused(machine: Machine): boolean {
  if (machine.isUnreconciled || machine.placements.size > 0) return false;
  return machine.leaseExpiredAt !== null || machine.isEmpty;
}

function isIdle(machine: Machine): boolean {
  return machine.isHealthy && machine.isEmpty && machine.emptyHeartbeats >= MIN_EMPTY_HEARTBEATS;
}

/**
 * Whether a machine cannot be used any more. It may be returned to the cloud without being empty: the return itself
 * proves that nothing runs on it any more.
 */
function isLost(machine: Machine): boolean {
  return (
    !machine.followsTerm ||
    machine.leaseExpiredAt !== null ||
    machine.hasLostResponses ||
    machine.isQuarantined
  );
}

function isUnrecorded({ lastHeartbeatAt, record, isRemovalPending }: Machine): boolean {
  return lastHeartbeatAt !== null && !record.hasReported && !record.isDraining && !isRemovalPending;
}
