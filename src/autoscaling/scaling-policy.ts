/** Decides the actions of a pass: a rental, rebalancing between shards, and machines to drain. Pure. */
import { selectForRemoval, type MachineSelection } from "./removal-selection.js";
import { findCheapestPool, planRental, type RentalPlan } from "./rental-plan.js";
import type { MachineTypes, ScalingView } from "./scaling-view.js";
import {
  chooseCordon,
  chooseJobMigration,
  chooseMachineTransfer,
  type CordonRequest,
  type JobMigration,
  type MachineTransfer,
} from "./shard-balancing.js";
import { findShortages, type Shortage } from "./shortages.js";

/** The actions decided by one pass: at most one of each kind, except for drains. */
export interface ScalingActions {
  rentalPlan: RentalPlan | null;
  machineTransfer: MachineTransfer | null;
  /** On behalf of a shard that has no usable machine and for which none can be rented. */
  cordon: CordonRequest | null;
  jobMigration: JobMigration | null;
  /** Drains for all shards at once: a request to an owner needs no call to the cloud. */
  drains: MachineSelection[];
}

/** Decides the actions of one reconciliation pass from the shards' demand and the machines that are rented. */
export function decideScaling(view: ScalingView): ScalingActions {
  const types = new Map(view.types.map((type) => [type.name, type]));
  const actions: ScalingActions = {
    rentalPlan: null,
    machineTransfer: null,
    cordon: null,
    jobMigration: chooseJobMigration(view.summaries),
    drains: selectForRemoval(view, types),
  };
  for (const shortage of prioritizeFirstMachines(findShortages(view, types)))
    coverShortage(shortage, actions, view, types);
  return actions;
}

/** Puts one machine for each shard that has none first, so that other shards cannot take all available machines. */
function prioritizeFirstMachines(shortages: Shortage[]): Shortage[] {
  const withoutMachine = shortages.filter((shortage) => shortage.hasNoMachine);
  return [...withoutMachine.map((shortage) => ({ ...shortage, maxMachines: 1 })), ...shortages];
}

/** Adds actions that cover a shortage; a transfer or cordon that is already planned is not replaced. */
function coverShortage(
  shortage: Shortage,
  actions: ScalingActions,
  view: ScalingView,
  types: MachineTypes,
): void {
  const { shard, demand, hasNoMachine } = shortage;
  actions.machineTransfer ??= chooseMachineTransfer(view, shortage, types);
  if (actions.machineTransfer?.targetShard === shard) return;
  const machinesLeft = view.caps.maxMachines - view.machines.length;
  const pool = findCheapestPool(view, demand);
  const canRent = pool !== null && machinesLeft > 0;
  if (hasNoMachine && !canRent) actions.cordon ??= chooseCordon(view, shortage);
  if (pool === null) return;
  actions.rentalPlan = planRental(actions.rentalPlan, pool, shortage, types, machinesLeft);
}
