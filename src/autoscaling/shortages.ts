/** Computes the shortages of the shards: unmet demand that booting machines will not cover. Pure. */
import type { InstancePool } from "../cloud/instance-pool.js";
import { allowsPool, type Demand, type MachineCondition, type ShardSummary } from "../peers/peer-messages.js";
import { ROUNDING_TOLERANCE, slotsPerMachine } from "../placement/capacity.js";
import { PRIORITIES, type Priority } from "../wire/index.js";
import { typicalBootMs, type MachineTypes, type RentedMachine, type ScalingView } from "./scaling-view.js";

/** A machine that has been booting for this many typical boot times no longer covers demand. */
const LATE_BOOT_FACTOR = 2;

/** The shortage of one shard. */
export interface Shortage {
  shard: number;
  /** The demand that determines where to rent: the most urgent without any usable machine, or else the most urgent. */
  demand: Demand;
  /** All unmet demand of the shard, most urgent first. */
  unmetDemand: Demand[];
  /** Whether the shard has no machine, up or booting, on which tasks of `demand` are allowed to run. */
  hasNoMachine: boolean;
  /** The maximum number of machines to order for this shortage. */
  maxMachines: number;
}

/** By host: the condition reported by the owner. */
type ReportedConditions = ReadonlyMap<string, MachineCondition>;

/** A booting machine, and the fraction of its capacity that is not yet assigned to demand. */
interface BootingMachine {
  machine: RentedMachine;
  freeFraction: number;
}

/** The number of tasks for which all shards together can still request machines. */
class TaskBudget {
  constructor(private tasksLeft: number) {}

  consume(requested: number): number {
    const granted = Math.min(requested, this.tasksLeft);
    this.tasksLeft -= granted;
    return granted;
  }
}

/** Computes the shortages of all shards, most urgent first. */
export function findShortages(view: ScalingView, types: MachineTypes): Shortage[] {
  const taskBudget = new TaskBudget(view.caps.maxTasks);
  const shortages: Shortage[] = [];
  for (const [shard, summary] of view.summaries.entries()) {
    // The queue does not reflect the actual shortage until the owner has reconciled its machines.
    if (!summary?.recovered) continue;
    const shortage = findShortage(shard, summary, view, types, taskBudget);
    if (shortage !== null) shortages.push(shortage);
  }
  return shortages.sort((a, b) => priorityRank(b.demand) - priorityRank(a.demand));
}

/** The number of machines of a pool needed for the part of the unmet demand that can run there. */
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
  taskBudget: TaskBudget,
): Shortage | null {
  const conditions = new Map(summary.machines.map((machine) => [machine.host, machine.state]));
  const ownMachines = view.machines.filter((machine) => machine.shard === shard && !machine.isDraining);
  const booting = ownMachines
    .filter((machine) => isStillBooting(machine, conditions, types, view.wallNow))
    .map((machine) => ({ machine, freeFraction: 1 }));
  const unmetDemand = findUnmetDemand(summary.demand, booting, types, taskBudget);
  const mostUrgent = unmetDemand[0];
  if (mostUrgent === undefined) return null;
  const usable = ownMachines.filter((machine) => conditions.get(machine.host) !== "lease_expired");
  const demandWithoutMachine = unmetDemand.find(
    (demand) => !usable.some((machine) => allowsPool(demand, machine)),
  );
  return {
    shard,
    demand: demandWithoutMachine ?? mostUrgent,
    unmetDemand,
    hasNoMachine: demandWithoutMachine !== undefined,
    maxMachines: Infinity,
  };
}

/** The demand not covered by booting machines, most urgent first, limited by the task budget. */
function findUnmetDemand(
  demands: readonly Demand[],
  booting: BootingMachine[],
  types: MachineTypes,
  taskBudget: TaskBudget,
): Demand[] {
  const unmetDemand: Demand[] = [];
  for (const demand of [...demands].sort((a, b) => priorityRank(b) - priorityRank(a))) {
    const allowed = taskBudget.consume(demand.count);
    const count = allowed - assignToBooting(demand, allowed, booting, types);
    if (count > 0) unmetDemand.push({ ...demand, count });
  }
  return unmetDemand;
}

/** Assigns tasks to booting machines, and returns the number of tasks assigned. */
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
 * Whether a machine has sent no heartbeat to its current owner yet and is not overdue. The time limit prevents a
 * machine that never completes its boot from covering demand forever. It does not apply to machines that have sent a
 * heartbeat to an earlier owner.
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
  return wallNow - machine.since < LATE_BOOT_FACTOR * typicalBootMs(machine, types);
}
