/** Rebalancing between shards: transfers of idle machines, cordons and job migrations. Pure. */
import { allowsPool, type Demand, type MachineSummary, type ShardSummary } from "../peers/peer-messages.js";
import { fits, slotsPerMachine } from "../placement/capacity.js";
import type { MachineTypes, RentedMachine, ScalingView } from "./scaling-view.js";
import type { Shortage } from "./shortages.js";

/** A transfer of idle machines from `shard` to `targetShard`. */
export interface MachineTransfer {
  shard: number;
  targetShard: number;
  hosts: string[];
}

/** A request to `shard` to cordon one machine suitable for a demand, so that it empties and can be transferred. */
export interface CordonRequest {
  shard: number;
  targetShard: number;
  demand: Demand;
}

/** A request to migrate a job that has not started to another shard. */
export interface JobMigration {
  shard: number;
  targetShard: number;
  job: string;
}

/** A machine counts as empty after this many consecutive heartbeats without a task. */
export const MIN_EMPTY_HEARTBEATS = 2;

/** The maximum number of machines that a shard with unmet demand of its own transfers, to a shard that has none. */
const MAX_TRANSFER_DESPITE_DEMAND = 1;

/**
 * Chooses idle machines of another shard that are suitable for the shortage; null if there are none. A transfer is
 * preferred to a rental, so the machines need not have been idle for the idle wait.
 */
export function chooseMachineTransfer(
  view: ScalingView,
  shortage: Shortage,
  types: MachineTypes,
): MachineTransfer | null {
  const { shard: targetShard, demand, hasNoMachine } = shortage;
  for (const [shard, summary] of view.summaries.entries()) {
    if (shard === targetShard || !summary?.recovered) continue;
    const hasUnmetDemand = summary.demand.length > 0;
    if (hasUnmetDemand && !hasNoMachine) continue;
    const maxMachines = hasUnmetDemand ? MAX_TRANSFER_DESPITE_DEMAND : Infinity;
    const suitable = findIdleMachines(view, shard, summary).filter((machine) => allowsPool(demand, machine));
    const hosts = selectMachinesFor(demand, suitable, maxMachines, types);
    if (hosts.length > 0) return { shard, targetShard, hosts };
  }
  return null;
}

/** Chooses the shard with the most suitable machines to cordon one; null if no shard has at least two. */
export function chooseCordon(
  view: ScalingView,
  { shard: targetShard, demand }: Shortage,
): CordonRequest | null {
  let chosen: CordonRequest | null = null;
  let mostMachines = 1;
  for (const [shard, summary] of view.summaries.entries()) {
    if (shard === targetShard || !summary?.recovered) continue;
    const hostsUp = new Set(summary.machines.filter(isUp).map(({ host }) => host));
    const suitable = view.machines.filter(
      (machine) => hostsUp.has(machine.host) && !machine.isDraining && allowsPool(demand, machine),
    );
    if (suitable.length <= mostMachines) continue;
    chosen = { shard, targetShard, demand };
    mostMachines = suitable.length;
  }
  return chosen;
}

/** Chooses the longest-waiting job that fits into capacity that another shard does not need; null if there is none. */
export function chooseJobMigration(summaries: (ShardSummary | undefined)[]): JobMigration | null {
  let longestWaitMs = -Infinity;
  let chosen: JobMigration | null = null;
  for (const [shard, summary] of summaries.entries()) {
    if (!summary?.recovered) continue;
    for (const { job, task, waitedMs } of summary.migrationCandidates) {
      if (waitedMs <= longestWaitMs) continue;
      const targetShard = findShardWithCapacity(summaries, shard, task);
      if (targetShard === null) continue;
      longestWaitMs = waitedMs;
      chosen = { shard, targetShard, job };
    }
  }
  return chosen;
}

function findIdleMachines(view: ScalingView, shard: number, summary: ShardSummary): RentedMachine[] {
  const idleHosts = new Set(
    summary.machines
      .filter(({ state, emptyHeartbeats }) => state === "idle" && emptyHeartbeats >= MIN_EMPTY_HEARTBEATS)
      .map(({ host }) => host),
  );
  return view.machines.filter(
    (machine) => machine.shard === shard && !machine.isDraining && idleHosts.has(machine.host),
  );
}

/** Selects machines until they cover the demand or `maxMachines` is reached. */
function selectMachinesFor(
  demand: Demand,
  machines: RentedMachine[],
  maxMachines: number,
  types: MachineTypes,
): string[] {
  const hosts: string[] = [];
  let coveredTasks = 0;
  for (const machine of machines) {
    if (coveredTasks >= demand.count || hosts.length >= maxMachines) break;
    const type = types.get(machine.type);
    if (!type) continue;
    hosts.push(machine.host);
    coveredTasks += slotsPerMachine(demand, type);
  }
  return hosts;
}

function isUp({ state }: MachineSummary): boolean {
  return state === "busy" || state === "idle";
}

function findShardWithCapacity(
  summaries: (ShardSummary | undefined)[],
  excludedShard: number,
  task: Demand,
): number | null {
  const shard = summaries.findIndex(
    (summary, candidate) =>
      candidate !== excludedShard &&
      summary?.recovered &&
      summary.freeCapacity.some((capacity) => allowsPool(task, capacity) && fits(capacity, task)),
  );
  return shard < 0 ? null : shard;
}
