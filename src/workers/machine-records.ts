/**
 * The records of rented machines. Machines that were rented together are kept in one record: a fleet of hundreds changes
 * within the few writes a second that the state store takes.
 */
import * as z from "zod";

/** `booting`: has sent no heartbeat yet, and nothing is placed on it. `leaving`: selected for removal. */
const stage = z.enum(["booting", "up", "leaving"]);
/** How far a machine is in its life. */
export type MachineStage = z.infer<typeof stage>;

const groupSchema = z.object({
  shard: z.int().nonnegative(),
  type: z.string(),
  zone: z.string(),
  spot: z.boolean(),
  /** Time of day in milliseconds of the rental order, or of when the machines were first seen. */
  since: z.number(),
  machines: z.record(z.string(), stage),
});

/** Machines that were rented together: the value of one record as it is stored, so that it is written as it is. */
export type MachineGroup = z.infer<typeof groupSchema>;

/** One machine, as its group's record has it. */
export interface MachineRecord extends Omit<MachineGroup, "machines"> {
  /** The key of the group's record. */
  groupKey: string;
  /** Whether it has been selected for removal. */
  isDraining: boolean;
  /** Whether an owner has ever received a heartbeat of it. Nothing is placed on it before this is written. */
  hasReported: boolean;
}

/** Reads the stored value of a group's record; null if it is not one. Unknown fields are dropped. */
export const readMachineGroup = (value: unknown): MachineGroup | null =>
  groupSchema.safeParse(value).data ?? null;

/** One machine of a group; `key` is that of the group's record. */
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

/** The most that one machine takes in a record: names have at most 100 characters. */
const BYTES_PER_MACHINE = 128;
/** How many machines' bytes are left to the other fields of a record. */
const MACHINES_IN_OTHER_FIELDS = 4;

/** How many machines one record may hold, whatever their names; `valueBytes` is the largest value of the store. */
export function maxMachinesPerGroup(valueBytes: number): number {
  return Math.max(1, Math.floor(valueBytes / BYTES_PER_MACHINE) - MACHINES_IN_OTHER_FIELDS);
}
