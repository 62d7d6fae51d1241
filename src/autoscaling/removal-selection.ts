/** Selects machines to return: idle for longer than the idle wait, lost, quarantined or failed to boot. Pure. */
import type { MachineSummary } from "../peers/peer-messages.js";
import { typicalBootMs, type MachineTypes, type RentedMachine, type ScalingView } from "./scaling-view.js";
import { MIN_EMPTY_HEARTBEATS } from "./shard-balancing.js";

/** Machines of one shard to be drained. */
export interface MachineSelection {
  shard: number;
  hosts: string[];
}

/**
 * A machine that is still booting after this many typical boot times plus one lease is considered failed and returned.
 * During that lease, the worker of a machine that has booted may still be trying controllers to find its owner.
 */
const FAILED_BOOT_FACTOR = 4;

/**
 * The default idle wait, as a fraction of the typical boot time. Keeping an idle machine pays off for as long as a
 * replacement would take to boot, if work arrives; half of that accounts for the case that none does.
 */
const IDLE_WAIT_BOOT_FRACTION = 0.5;

/** Selects the machines to be drained, by shard; shards that have not recovered are skipped. */
export function selectForRemoval(view: ScalingView, types: MachineTypes): MachineSelection[] {
  const selections: MachineSelection[] = [];
  const machinesByHost = new Map(view.machines.map((machine) => [machine.host, machine]));
  for (const [shard, summary] of view.summaries.entries()) {
    if (!summary?.recovered) continue;
    const isOwnerCutOffFromWorkers = isLikelyCutOffFromWorkers(summary.machines);
    const hosts = summary.machines
      .filter((reported) => {
        const machine = machinesByHost.get(reported.host);
        // Another shard's tasks may run on a machine that this shard's records name as well.
        if (machine?.shard !== shard || machine.isDraining) return false;
        return isRemovable(reported, machine, isOwnerCutOffFromWorkers, view, types);
      })
      .map(({ host }) => host);
    if (hosts.length > 0) selections.push({ shard, hosts });
  }
  return selections;
}

function isRemovable(
  reported: MachineSummary,
  machine: RentedMachine,
  isOwnerCutOffFromWorkers: boolean,
  view: ScalingView,
  types: MachineTypes,
): boolean {
  switch (reported.state) {
    case "idle":
      return isIdleForTooLong(reported, machine, view, types);
    case "quarantined":
      return true;
    // Uses the time in this state instead of the machine's age: one just transferred may have been rented long ago, and
    // its new owner has received no heartbeat from it yet.
    case "lease_expired":
    case "awaiting_heartbeat":
      return !isOwnerCutOffFromWorkers && reported.stateForMs >= view.leaseMs;
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
  const idleWaitMs = view.caps.idleWaitMs ?? IDLE_WAIT_BOOT_FRACTION * typicalBootMs(machine, types);
  return reported.stateForMs >= idleWaitMs && reported.emptyHeartbeats >= MIN_EMPTY_HEARTBEATS;
}

function hasBootFailed(machine: RentedMachine, view: ScalingView, types: MachineTypes): boolean {
  const maxBootMs = FAILED_BOOT_FACTOR * typicalBootMs(machine, types) + view.leaseMs;
  return view.wallNow - machine.since >= maxBootMs;
}

/** Whether more leases have expired than machines are reachable; prevents returning a fleet cut off from its owner. */
function isLikelyCutOffFromWorkers(machines: MachineSummary[]): boolean {
  const expired = machines.filter(({ state }) => state === "lease_expired").length;
  const reachable = machines.filter(
    ({ state }) => state === "idle" || state === "busy" || state === "quarantined",
  ).length;
  return expired > reachable;
}
