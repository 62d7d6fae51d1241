/** The record of a rental order: written before the order is sent, and removed together with the write of its machines. */
import * as z from "zod";
import type { RentalPlan } from "./rental-plan.js";

const recordSchema = z.object({
  type: z.string(),
  zone: z.string(),
  spot: z.boolean(),
  count: z.int().positive(),
  parts: z.array(z.object({ shard: z.int().nonnegative(), count: z.int().positive() })),
  /** Time of day at which it was recorded, in milliseconds. */
  since: z.number(),
});

/** A rental order as it is stored. */
export type RentalOrderRecord = z.infer<typeof recordSchema>;

/**
 * The record of a rental that is to be ordered.
 *
 * @param wallNow time of day, in milliseconds
 */
export function toRentalOrderRecord(plan: RentalPlan, wallNow: number): RentalOrderRecord {
  return { ...plan, since: wallNow };
}

/** Null where the record cannot be read. */
export function readRentalOrder(value: unknown): RentalOrderRecord | null {
  return recordSchema.safeParse(value).data ?? null;
}
