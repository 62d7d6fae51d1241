/** Which machines to return: those that are empty over the idle wait, and those that are lost for good. Pure. */
import type { MachineSummary } from "../peers/peer-messages.js";
import { usualBootMs, type MachineTypes, type RentedMachine, type ScalingView } from "./scaling-view.js";
import { MIN_EMPTY_HEARTBEATS } from "./shard-balancing.js";

/** Machines of one shard that are to be drained. */
export interface MachineSelection {
  shard: number;
  hosts: string[];
}

/**
 * A machine is returned after so many usual boot times, and a lease in which its worker may still be looking for its
 * owner: it may never come up.
 */
const FAILED_BOOT_FACTOR = 4;

/** An empty machine is worth keeping for as long as getting another would take, if work came at all: half of that. */
const IDLE_WAIT_BOOT_FRACTION = 0.5;

/** The machines to be drained, by shard. */
export function selectForRemoval(view: ScalingView, types: MachineTypes): MachineSelection[] {
  const selections: MachineSelection[] = [];
  const machinesByHost = new Map(view.machines.map((machine) => [machine.host, machine]));
  for (const [shard, summary] of view.summaries.entries()) {
    if (!summary?.recovered) continue;
    const ownerCutOff = isOwnerCutOff(summary.machines);
    const hosts = summary.machines
      .filter((reported) => {
        const machine = machinesByHost.get(reported.host);
        if (machine === undefined || machine.isDraining) return false;
        return isRemovable(reported, machine, ownerCutOff, view, types);
      })
      .map(({ host }) => host);
    if (hosts.length > 0) selections.push({ shard, hosts });
  }
  return selections;
}

function isRemovable(
  reported: MachineSummary,
  machine: RentedMachine,
  ownerCutOff: boolean,
  view: ScalingView,
  types: MachineTypes,
): boolean {
  switch (reported.state) {
    case "idle":
      return isIdleForTooLong(reported, machine, view, types);
    case "quarantined":
      return true;
    // Guards against returning what has just been transferred: its rental is long ago, and no heartbeat of it has reached
    // its new owner yet.
    case "lease_expired":
    case "awaiting_heartbeat":
      return !ownerCutOff && reported.stateForMs >= view.leaseMs;
    case "booting":
      return hasBootFailed(machine, view, types);
    case "busy":
    case "draining":
      return false;
  }
}

function isIdleForTooLong(
  reported: MachineSummary,
  machine: RentedMachine,
  view: ScalingView,
  types: MachineTypes,
): boolean {
  const idleWaitMs = view.caps.idleWaitMs ?? IDLE_WAIT_BOOT_FRACTION * usualBootMs(machine, types);
  return reported.stateForMs >= idleWaitMs && reported.emptyHeartbeats >= MIN_EMPTY_HEARTBEATS;
}

function hasBootFailed(machine: RentedMachine, view: ScalingView, types: MachineTypes): boolean {
  const longestBootMs = FAILED_BOOT_FACTOR * usualBootMs(machine, types) + view.leaseMs;
  return view.wallNow - machine.since >= longestBootMs;
}

/** Guards against returning a whole fleet because its heartbeats do not reach their owner. */
function isOwnerCutOff(machines: MachineSummary[]): boolean {
  const expired = machines.filter(({ state }) => state === "lease_expired").length;
  const reachable = machines.filter(
    ({ state }) => state === "idle" || state === "busy" || state === "quarantined",
  ).length;
  return expired > reachable;
}
