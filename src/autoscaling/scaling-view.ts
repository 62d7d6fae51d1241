/** The input of one reconciliation pass. */
import type { InstancePool } from "../cloud/instance-pool.js";
import type { OperatorSettings } from "../config/operator.js";
import type { ShardSummary } from "../peers/peer-messages.js";
import type { MachineType } from "../wire/index.js";
import type { MachineRecord } from "../workers/machine-records.js";

/** A rented machine as recorded. */
export interface RentedMachine extends Omit<MachineRecord, "groupKey"> {
  host: string;
}

/** A snapshot of demand, machines, prices and limits, from which a pass decides its actions. */
export interface ScalingView {
  types: MachineType[];
  /** By shard: its latest summary; undefined if there is no recent one from this term. */
  summaries: (ShardSummary | undefined)[];
  machines: RentedMachine[];
  /** Wall-clock time as in the machine records, in milliseconds. */
  wallNow: number;
  /** Whether a pool is in backoff after it refused machines. */
  isInBackoff(pool: InstancePool): boolean;
  caps: Pick<OperatorSettings, "maxMachines" | "maxTasks" | "idleWaitMs">;
  /** The duration of a worker's lease. */
  leaseMs: number;
}

/** The machine types that the cloud offers, by name. */
export type MachineTypes = ReadonlyMap<string, MachineType>;

/** The typical boot time assumed for a machine of unknown type. */
export const DEFAULT_BOOT_S = 60;

/** The typical boot time of a machine's type, in milliseconds. */
export function typicalBootMs(machine: RentedMachine, types: MachineTypes): number {
  return (types.get(machine.type)?.bootS ?? DEFAULT_BOOT_S) * 1000;
}
