/** The record of a rented machine: whose it is, what it is, and whether it has been named to be given back. */
import { z } from "zod";

const machineSchema = z.object({
  share: z.int().nonnegative(),
  type: z.string(),
  zone: z.string(),
  spot: z.boolean(),
  /** Time of day of the order, or of when it was first seen. */
  since: z.number(),
  drain: z.boolean(),
  /** Whether it has ever spoken to an owner. Nothing is placed on it before this is written. */
  up: z.boolean(),
});

export type MachineRecord = z.infer<typeof machineSchema>;

export const readMachine = (value: unknown): MachineRecord | null =>
  machineSchema.safeParse(value).data ?? null;
