/** Messages of the state service: section "Controller nodes -> state service" of the protocol. */
import * as z from "zod";

/** A record as stored: its key, value and version. */
export interface RecordEntry {
  key: string;
  value: unknown;
  /** The revision of the record's last change. */
  version: number;
}

/** A change to a record, as delivered by a watch. */
export interface RecordChange {
  key: string;
  /** The new value; undefined if the record was removed. */
  value: unknown;
  /** The revision of the change. */
  version: number;
}

/** A precondition of a transaction. */
export interface Condition {
  key: string;
  /** The version that the key must have; 0 requires that the key does not exist. */
  version: number;
}

/** A write in a transaction. A value that is put with a lease is removed when the lease ends. */
export type Write = { put: string; value: unknown; lease?: number } | { remove: string };

/** A store revision, a key's version or a lease id. */
const revisionNumber = z.int().nonnegative();

const entrySchema = z
  .object({ path: z.string(), value: z.unknown(), stamp: revisionNumber })
  .transform((entry): RecordEntry => ({ key: entry.path, value: entry.value, version: entry.stamp }));

/** The response to "GET /kv/{key}". */
export const valueSchema = z
  .object({ value: z.unknown(), stamp: revisionNumber })
  .transform(({ value, stamp }) => ({ value, version: stamp }));

/** The response to "GET /kv": one page of entries, whether more pages follow, and the store's revision. */
export const pageSchema = z
  .object({ items: z.array(entrySchema), truncated: z.boolean().nullish(), epoch: revisionNumber })
  .transform((page) => ({ entries: page.items, more: page.truncated === true, revision: page.epoch }));

const putSchema = z
  .object({ put: z.string(), value: z.unknown(), stamp: revisionNumber })
  .transform((event): RecordChange => ({ key: event.put, value: event.value, version: event.stamp }));

const removeSchema = z
  .object({ remove: z.string(), stamp: revisionNumber })
  .transform((event): RecordChange => ({ key: event.remove, value: undefined, version: event.stamp }));

/** The response to "GET /changes": the changes, and the store's revision after the last of them. */
export const changesSchema = z
  .object({ epoch: revisionNumber, events: z.array(z.union([putSchema, removeSchema])) })
  .transform(({ epoch, events }) => ({ revision: epoch, changes: events }));

/** The store's revision, in the response to a committed transaction and to a read of a key that does not exist. */
export const revisionSchema = z.object({ epoch: revisionNumber }).transform(({ epoch }) => epoch);

/** The response to a rejected transaction: the keys whose preconditions failed. */
export const failedConditionsSchema = z
  .object({ failed: z.array(z.string()) })
  .transform(({ failed }) => failed);

/** The response to "POST /grants": the id of the lease. */
export const leaseSchema = z.object({ hold: revisionNumber }).transform(({ hold }) => hold);

/** The body of "POST /multi". */
export function transactionToWire(conditions: Condition[], writes: Write[]): object {
  return {
    guards: conditions.map(({ key, version }) => ({ path: key, stamp: version })),
    apply: writes.map(writeToWire),
  };
}

function writeToWire(write: Write): object {
  if ("remove" in write) return { remove: write.remove };
  return { put: write.put, value: write.value, ...(write.lease === undefined ? {} : { hold: write.lease }) };
}

/** The body of "POST /grants"; `ttlMs` is the time to live of the lease, in milliseconds. */
export function leaseToWire(ttlMs: number): object {
  return { lifeMs: ttlMs };
}
