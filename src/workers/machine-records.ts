/**
 * The records of rented machines. Machines that were rented together share one record, so that a fleet of hundreds of
 * machines can change within the few writes per second that the state store allows.
 */
import * as z from "zod";

/** `booting`: no heartbeat yet, so no task is placed on the machine. `leaving`: selected for removal. */
const stage = z.enum(["booting", "up", "leaving"]);
/** The stage of a machine's life cycle. */
export type MachineStage = z.infer<typeof stage>;

const groupSchema = z.object({
  shard: z.int().nonnegative(),
  type: z.string(),
  zone: z.string(),
  spot: z.boolean(),
  /** When the machines were ordered, or first seen: wall-clock time in milliseconds. */
  since: z.number(),
  machines: z.record(z.string(), stage),
});

/** Machines that were rented together. This is the stored form of the record's value, so it is written unchanged. */
export type MachineGroup = z.infer<typeof groupSchema>;

/** One machine, as read from its group's record. */
export interface MachineRecord extends Omit<MachineGroup, "machines"> {
  /** The key of the group's record. */
  groupKey: string;
  /** Whether the machine has been selected for removal. */
  isDraining: boolean;
  /** Whether an owner has ever received a heartbeat from it. No task is placed on it before this is recorded. */
  hasReported: boolean;
}

/** How far each stage is in a machine's life cycle. */
const STAGE_ORDER: Record<MachineStage, number> = { booting: 0, up: 1, leaving: 2 };

/** Whether `stage` comes later in a machine's life cycle than `other`. */
export const isLaterStage = (stage: MachineStage, other: MachineStage): boolean =>
  STAGE_ORDER[stage] > STAGE_ORDER[other];

/** Decodes a machine group; null if the value is malformed. Unknown fields are dropped. */
export const decodeMachineGroup = (value: unknown): MachineGroup | null =>
  groupSchema.safeParse(value).data ?? null;

/** Extracts one machine of a group; `key` is the key of the group's record. */
export function machineRecordFrom(key: string, group: MachineGroup, host: string): MachineRecord {
  const { shard, type, zone, spot, since } = group;
  const machineStage = group.machines[host];
  return {
    groupKey: key,
    shard,
    type,
    zone,
    spot,
    since,
    isDraining: machineStage === "leaving",
    hasReported: machineStage !== "booting",
  };
}

/** The largest size of one machine's entry in a record: host names have at most 100 characters. */
const BYTES_PER_MACHINE = 128;
/** The space reserved for the other fields of a record, in machine entries. */
const MACHINES_IN_OTHER_FIELDS = 4;

/** How many machines one record can hold, whatever their names; `valueBytes` is the store's largest value size. */
export function maxMachinesPerGroup(valueBytes: number): number {
  return Math.max(1, Math.floor(valueBytes / BYTES_PER_MACHINE) - MACHINES_IN_OTHER_FIELDS);
}
