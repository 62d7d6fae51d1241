/** How much to rent, what to return, what shards do for each other. Pure: at most one action of each kind. */
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

/** What one pass decided. */
export interface ScalingActions {
  rentalPlan: RentalPlan | null;
  machineTransfer: MachineTransfer | null;
  /** For a shard that has no machine and can rent none. */
  cordon: CordonRequest | null;
  jobMigration: JobMigration | null;
  /** What is to be drained, of each shard that has any: a request to its owner takes no call to the cloud. */
  drains: MachineSelection[];
}

/** One reconciliation pass: compares the unmet demand with what is rented and booting. */
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

/** Guards against a shard that waits without any machine while others take all that can be had: one comes first. */
function prioritizeFirstMachines(shortages: Shortage[]): Shortage[] {
  const withoutMachine = shortages.filter((shortage) => shortage.hasNoMachine);
  return [...withoutMachine.map((shortage) => ({ ...shortage, maxMachines: 1 })), ...shortages];
}

/** Adds to the actions what covers a shortage, as far as they do not hold an action of that kind already. */
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
