/** What the shards lack: their unmet demand beyond what booting machines will take. Pure. */
import type { InstancePool } from "../cloud/instance-pool.js";
import { allowsPool, type Demand, type MachineCondition, type ShardSummary } from "../peers/peer-messages.js";
import { ROUNDING_TOLERANCE, slotsPerMachine } from "../placement/capacity.js";
import { PRIORITIES, type Priority } from "../wire/index.js";
import { usualBootMs, type MachineTypes, type RentedMachine, type ScalingView } from "./scaling-view.js";

/** A machine that takes longer than this many usual boot times to come up covers no demand any more. */
const LATE_BOOT_FACTOR = 2;

/** What one shard lacks. */
export interface Shortage {
  shard: number;
  /** The most urgent unmet demand; decides where to rent. */
  demand: Demand;
  /** All unmet demand of the shard, the most urgent first. */
  unmetDemand: Demand[];
  /** Whether the shard has no machine, up or booting, that may run tasks of `demand`. */
  hasNoMachine: boolean;
  /** How many machines may be ordered for it. */
  maxMachines: number;
}

/** The conditions that an owner reports, by host. */
type ReportedConditions = ReadonlyMap<string, MachineCondition>;

/** A machine that is booting, and which fraction of it no demand has been assigned to yet. */
interface BootingMachine {
  machine: RentedMachine;
  freeFraction: number;
}

/** How many tasks all shards together may still ask machines for. */
class TaskAllowance {
  constructor(private tasksLeft: number) {}

  take(wanted: number): number {
    const granted = Math.min(wanted, this.tasksLeft);
    this.tasksLeft -= granted;
    return granted;
  }
}

/** The shortages of all shards, the most urgent first. */
export function findShortages(view: ScalingView, types: MachineTypes): Shortage[] {
  const allowance = new TaskAllowance(view.caps.maxTasks);
  const shortages: Shortage[] = [];
  for (const [shard, summary] of view.summaries.entries()) {
    // Before an owner has reconciled its machines, its queue does not show what is short.
    if (!summary?.recovered) continue;
    const shortage = findShortage(shard, summary, view, types, allowance);
    if (shortage !== null) shortages.push(shortage);
  }
  return shortages.sort((a, b) => priorityRank(b.demand) - priorityRank(a.demand));
}

/** How many machines of a pool the unmet demand that it suits takes. */
export function machinesNeeded(shortage: Shortage, pool: InstancePool, types: MachineTypes): number {
  const type = types.get(pool.type);
  if (!type) return 0;
  let machines = 0;
  for (const demand of shortage.unmetDemand) {
    const slots = slotsPerMachine(demand, type);
    if (slots > 0 && allowsPool(demand, pool)) machines += demand.count / slots;
  }
  return Math.ceil(machines - ROUNDING_TOLERANCE);
}

function priorityRank(demand: Demand): number {
  return PRIORITIES.indexOf(demand.priority as Priority);
}

function findShortage(
  shard: number,
  summary: ShardSummary,
  view: ScalingView,
  types: MachineTypes,
  allowance: TaskAllowance,
): Shortage | null {
  const conditions = new Map(summary.machines.map((machine) => [machine.host, machine.state]));
  const ownMachines = view.machines.filter((machine) => machine.shard === shard && !machine.isDraining);
  const booting = ownMachines
    .filter((machine) => isStillBooting(machine, conditions, types, view.wallNow))
    .map((machine) => ({ machine, freeFraction: 1 }));
  const unmetDemand = findUnmetDemand(summary.demand, booting, types, allowance);
  const mostUrgent = unmetDemand[0];
  if (mostUrgent === undefined) return null;
  const usable = ownMachines.filter((machine) => conditions.get(machine.host) !== "lease_expired");
  const withoutMachine = unmetDemand.find((demand) => !usable.some((machine) => allowsPool(demand, machine)));
  return {
    shard,
    demand: withoutMachine ?? mostUrgent,
    unmetDemand,
    hasNoMachine: withoutMachine !== undefined,
    maxMachines: Infinity,
  };
}

/** The demand that booting machines leave over, the most urgent first. */
function findUnmetDemand(
  demands: readonly Demand[],
  booting: BootingMachine[],
  types: MachineTypes,
  allowance: TaskAllowance,
): Demand[] {
  const unmetDemand: Demand[] = [];
  for (const demand of [...demands].sort((a, b) => priorityRank(b) - priorityRank(a))) {
    const allowed = allowance.take(demand.count);
    const count = allowed - assignToBooting(demand, allowed, booting, types);
    if (count > 0) unmetDemand.push({ ...demand, count });
  }
  return unmetDemand;
}

/** Assigns tasks to booting machines, and returns how many of them found a place. */
function assignToBooting(
  demand: Demand,
  tasks: number,
  booting: BootingMachine[],
  types: MachineTypes,
): number {
  let tasksLeft = tasks;
  for (const candidate of booting) {
    if (tasksLeft === 0) break;
    const type = types.get(candidate.machine.type);
    if (!type || !allowsPool(demand, candidate.machine)) continue;
    const slots = slotsPerMachine(demand, type);
    const assigned = Math.min(tasksLeft, Math.floor(candidate.freeFraction * slots + ROUNDING_TOLERANCE));
    tasksLeft -= assigned;
    if (slots > 0) candidate.freeFraction -= assigned / slots;
  }
  return tasks - tasksLeft;
}

/**
 * Whether a machine is rented, has sent no heartbeat to its owner yet, and is not overdue. Guards against a boot that
 * never ends covering demand for ever.
 */
function isStillBooting(
  machine: RentedMachine,
  conditions: ReportedConditions,
  types: MachineTypes,
  wallNow: number,
): boolean {
  const condition = conditions.get(machine.host) ?? "booting";
  if (condition === "awaiting_heartbeat") return true;
  if (condition !== "booting") return false;
  return wallNow - machine.since < LATE_BOOT_FACTOR * usualBootMs(machine, types);
}
