/** Plans rentals: finds the cheapest pool for a shortage, and combines shortages that need the same pool. Pure. */
import { poolKey, type InstancePool } from "../cloud/instance-pool.js";
import { allowsPool, type Demand } from "../peers/peer-messages.js";
import { slotsPerMachine } from "../placement/capacity.js";
import { MAX_RENTAL, type MachineType } from "../wire/index.js";
import type { MachineTypes, ScalingView } from "./scaling-view.js";
import { machinesNeeded, type Shortage } from "./shortages.js";

/** The machines of a rental intended for one shard. */
interface RentalPart {
  shard: number;
  count: number;
}

/** A rental to be made in one call to the cloud. */
export interface RentalPlan extends InstancePool {
  count: number;
  /** The allocation to shards; if fewer machines are rented, earlier parts are served first. */
  parts: RentalPart[];
}

/** Finds the pool with the lowest price per task for a demand, excluding pools in backoff; null if there is none. */
export function findCheapestPool(view: ScalingView, demand: Demand): InstancePool | null {
  let cheapest: InstancePool | null = null;
  let lowestPrice = Infinity;
  for (const type of view.types) {
    const slots = slotsPerMachine(demand, type);
    if (slots === 0) continue;
    for (const pool of poolsOf(type)) {
      const pricePerTask = (pool.spot ? type.spotPrice : type.price) / slots;
      if (!allowsPool(demand, pool) || view.isInBackoff(pool) || pricePerTask >= lowestPrice) continue;
      cheapest = pool;
      lowestPrice = pricePerTask;
    }
  }
  return cheapest;
}

/**
 * Extends the plan by the machines that a shortage needs. A pass makes only one call to the cloud, so that a plan for a
 * different pool is returned unchanged.
 *
 * @param machinesLeft the number of machines that can be rented until the cap on all machines is reached
 */
export function planRental(
  plan: RentalPlan | null,
  pool: InstancePool,
  shortage: Shortage,
  types: MachineTypes,
  machinesLeft: number,
): RentalPlan | null {
  if (plan !== null && poolKey(plan) !== poolKey(pool)) return plan;
  const extended = plan ?? { ...pool, count: 0, parts: [] };
  const plannedCount = extended.parts.find((part) => part.shard === shortage.shard)?.count ?? 0;
  const count = Math.min(
    machinesNeeded(shortage, pool, types) - plannedCount,
    shortage.maxMachines,
    Math.min(machinesLeft, MAX_RENTAL) - extended.count,
  );
  return count > 0 ? addMachines(extended, shortage.shard, count) : plan;
}

/** All pools of a machine type; in each zone, spot precedes on-demand. */
function poolsOf(type: MachineType): InstancePool[] {
  return type.zones.flatMap((zone) => [true, false].map((spot) => ({ type: type.name, zone, spot })));
}

/** Adds machines for a shard to a plan. */
function addMachines(plan: RentalPlan, shard: number, count: number): RentalPlan {
  const isPlanned = plan.parts.some((part) => part.shard === shard);
  const parts = isPlanned
    ? plan.parts.map((part) => (part.shard === shard ? { shard, count: part.count + count } : part))
    : [...plan.parts, { shard, count }];
  return { ...plan, count: plan.count + count, parts };
}
