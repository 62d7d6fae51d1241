/**
 * The records of rented machines. Machines that were rented together are kept in one record: a fleet of hundreds changes
 * within the few writes a second that the state service takes.
 */
import * as z from "zod";

/** `booting`: never spoke to an owner, and nothing is placed on it. `leaving`: selected for removal. */
const stage = z.enum(["booting", "up", "leaving"]);
/** How far a machine is in its life. */
export type MachineStage = z.infer<typeof stage>;

const groupSchema = z.object({
  shard: z.int().nonnegative(),
  type: z.string(),
  zone: z.string(),
  spot: z.boolean(),
  /** Time of day of the order, or of when they were first seen. */
  since: z.number(),
  machines: z.record(z.string(), stage),
});

/** Machines that were rented together, in one record. */
export type MachineGroup = z.infer<typeof groupSchema>;

/** One machine, as its group's record has it. */
export interface MachineRecord extends Omit<MachineGroup, "machines"> {
  /** The key of the group's record. */
  groupKey: string;
  /** Whether it has been selected for removal. */
  draining: boolean;
  /** Whether it has ever spoken to an owner. Nothing is placed on it before this is written. */
  hasReported: boolean;
}

export const readMachineGroup = (value: unknown): MachineGroup | null =>
  groupSchema.safeParse(value).data ?? null;

/** One machine out of its group's record. */
export function machineRecordFrom(key: string, group: MachineGroup, host: string): MachineRecord {
  const { shard, type, zone, spot, since } = group;
  const is = group.machines[host];
  return {
    groupKey: key,
    shard,
    type,
    zone,
    spot,
    since,
    draining: is === "leaving",
    hasReported: is !== "booting",
  };
}

/** How many machines one record may hold, whatever their names: names have at most 100 characters. */
export function maxMachinesPerGroup(valueBytes: number): number {
  return Math.max(1, Math.floor(valueBytes / 128) - 4);
}
