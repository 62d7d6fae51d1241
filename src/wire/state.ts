/** The state service's messages. */
import * as z from "zod";

/** A record: key, value and the version of its last change. */
export interface RecordEntry {
  key: string;
  value: unknown;
  version: number;
}

/** A change as the state service's feed tells it; `value` is undefined for a removal. */
export interface RecordChange {
  key: string;
  value: unknown;
  version: number;
}

/** A condition of a transaction: the key has this version; 0: it does not exist. */
export interface Condition {
  key: string;
  /** The version that the key must have; 0 means that it must not exist. */
  version: number;
}

/** One change of a transaction. */
export type Write = { put: string; value: unknown; lease?: number } | { remove: string };

const revision = z.int().nonnegative();

const entrySchema = z
  .object({ path: z.string(), value: z.unknown(), stamp: revision })
  .transform((e): RecordEntry => ({ key: e.path, value: e.value, version: e.stamp }));

export const valueSchema = z
  .object({ value: z.unknown(), stamp: revision })
  .transform((v) => ({ value: v.value, version: v.stamp }));

export const pageSchema = z
  .object({ items: z.array(entrySchema), truncated: z.boolean().nullish(), epoch: revision })
  .transform((p) => ({ entries: p.items, more: p.truncated === true, revision: p.epoch }));

export const changesSchema = z
  .object({
    epoch: revision,
    events: z.array(
      z.union([
        z
          .object({ put: z.string(), value: z.unknown(), stamp: revision })
          .transform((e): RecordChange => ({ key: e.put, value: e.value, version: e.stamp })),
        z
          .object({ remove: z.string(), stamp: revision })
          .transform((e): RecordChange => ({ key: e.remove, value: undefined, version: e.stamp })),
      ]),
    ),
  })
  .transform((c) => ({ revision: c.epoch, changes: c.events }));

export const revisionSchema = z.object({ epoch: revision }).transform((c) => c.epoch);
export const failedConditionsSchema = z.object({ failed: z.array(z.string()) }).transform((c) => c.failed);
export const leaseSchema = z.object({ hold: revision }).transform((l) => l.hold);

/** A transaction as the state service expects it. */
export function transactionToWire(guards: Condition[], writes: Write[]): object {
  return {
    guards: guards.map((g) => ({ path: g.key, stamp: g.version })),
    apply: writes.map((w) =>
      "put" in w
        ? { put: w.put, value: w.value, ...(w.lease === undefined ? {} : { hold: w.lease }) }
        : { remove: w.remove },
    ),
  };
}

/** A request for a lease as the state service expects it. */
export function leaseToWire(ttlMs: number): object {
  return { lifeMs: ttlMs };
}
