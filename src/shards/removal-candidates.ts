/** Which machines of a shard may be removed from it, and which of them have to be recorded first. */
import type { Machine } from "../workers/machine.js";

/** Why machines are removed: `drain` returns them to the cloud, `transfer` gives them to another shard. */
export type RemovalReason = "drain" | "transfer";

/** So many heartbeats in a row must have shown a machine empty before it may be removed. */
const MIN_EMPTY_HEARTBEATS = 2;

/**
 * Selects those of the hosts that may be removed, and marks them: nothing is placed on them from now on. The mark is
 * taken back with `cancelRemoval`.
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

/** The machines are not removed after all. */
export function cancelRemoval(machines: ReadonlyMap<string, Machine>, hosts: string[]): void {
  for (const host of hosts) {
    const machine = machines.get(host);
    if (machine) machine.isRemovalPending = false;
  }
}

/** The machines that have reported while their records do not show it yet. */
export function findUnrecordedHosts(machines: Iterable<Machine>): string[] {
  return [...machines].filter(isUnrecorded).map(({ host }) => host);
}

function isIdle(machine: Machine): boolean {
  return machine.isHealthy && machine.isEmpty && machine.emptyHeartbeats >= MIN_EMPTY_HEARTBEATS;
}

/** Such a machine need not be empty to be returned: the return itself proves that nothing runs on it any more. */
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
