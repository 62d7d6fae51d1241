/** What one reconciliation pass decides on. */
import type { InstancePool } from "../cloud/instance-pool.js";
import type { OperatorSettings } from "../config/operator.js";
import type { ShardSummary } from "../peers/peer-messages.js";
import type { MachineType } from "../wire/index.js";
import type { MachineRecord } from "../workers/machine-records.js";

/** A rented machine as the records have it. */
export interface RentedMachine extends Omit<MachineRecord, "groupKey"> {
  host: string;
}

/** All that one reconciliation pass decides on. */
export interface ScalingView {
  types: MachineType[];
  /** The latest summary of each shard; missing where there is none of this term. */
  summaries: (ShardSummary | undefined)[];
  machines: RentedMachine[];
  /** Time of day, as in the machines' records; in milliseconds. */
  wallNow: number;
  /** Whether the cloud has lately refused machines of a pool. */
  isInBackoff(pool: InstancePool): boolean;
  caps: Pick<OperatorSettings, "maxMachines" | "maxTasks" | "idleWaitMs">;
  /** How long a worker's lease lasts. */
  leaseMs: number;
}

/** The machine types that the cloud offers, by name. */
export type MachineTypes = ReadonlyMap<string, MachineType>;

/** The usual boot time of a machine whose type is not known. */
const DEFAULT_BOOT_S = 60;

/** How long a machine of this type usually takes to boot. */
export function typicalBootMs(machine: RentedMachine, types: MachineTypes): number {
  return (types.get(machine.type)?.bootS ?? DEFAULT_BOOT_S) * 1000;
}
