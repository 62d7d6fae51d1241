/** The record of a rental order: written before the order is sent, and removed when its machines are recorded. */
import * as z from "zod";
import type { RentalPlan } from "./rental-plan.js";

const recordSchema = z.object({
  type: z.string(),
  zone: z.string(),
  spot: z.boolean(),
  count: z.int().positive(),
  parts: z.array(z.object({ shard: z.int().nonnegative(), count: z.int().positive() })),
  /** Wall-clock time at which the order was recorded, in milliseconds. */
  since: z.number(),
});

/** A rental order as it is stored. */
export type RentalOrderRecord = z.infer<typeof recordSchema>;

/**
 * Converts a rental plan to the record of its order.
 *
 * @param wallNow wall-clock time, in milliseconds
 */
export function toRentalOrderRecord(plan: RentalPlan, wallNow: number): RentalOrderRecord {
  return { ...plan, since: wallNow };
}

/** Decodes a rental order; null if the value is malformed. */
export function decodeRentalOrder(value: unknown): RentalOrderRecord | null {
  return recordSchema.safeParse(value).data ?? null;
}
