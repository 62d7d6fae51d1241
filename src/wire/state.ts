/** The state service's messages: section "Controller nodes -> state service" of the protocol. */
import * as z from "zod";

/** A record. */
export interface RecordEntry {
  key: string;
  value: unknown;
  /** The revision of the record's last change. */
  version: number;
}

/** A change of a record. */
export interface RecordChange {
  key: string;
  /** Undefined where the record was removed. */
  value: unknown;
  /** The revision of the change. */
  version: number;
}

/** A condition of a transaction. */
export interface Condition {
  key: string;
  /** The version that the key must have; 0 means that it must not exist. */
  version: number;
}

/** One write of a transaction; a value that is put with a lease is removed when the lease ends. */
export type Write = { put: string; value: unknown; lease?: number } | { remove: string };

/** A revision of the store, or the version of a key; also the id of a lease. */
const revisionNumber = z.int().nonnegative();

const entrySchema = z
  .object({ path: z.string(), value: z.unknown(), stamp: revisionNumber })
  .transform((entry): RecordEntry => ({ key: entry.path, value: entry.value, version: entry.stamp }));

/** The response to "GET /kv/{key}". */
export const valueSchema = z
  .object({ value: z.unknown(), stamp: revisionNumber })
  .transform(({ value, stamp }) => ({ value, version: stamp }));

/** The response to "GET /kv": one page of entries, whether another follows, and the store's revision. */
export const pageSchema = z
  .object({ items: z.array(entrySchema), truncated: z.boolean().nullish(), epoch: revisionNumber })
  .transform((page) => ({ entries: page.items, more: page.truncated === true, revision: page.epoch }));

const putSchema = z
  .object({ put: z.string(), value: z.unknown(), stamp: revisionNumber })
  .transform((event): RecordChange => ({ key: event.put, value: event.value, version: event.stamp }));

const removeSchema = z
  .object({ remove: z.string(), stamp: revisionNumber })
  .transform((event): RecordChange => ({ key: event.remove, value: undefined, version: event.stamp }));

/** The response to "GET /changes": the changes, and the store's revision after them. */
export const changesSchema = z
  .object({ epoch: revisionNumber, events: z.array(z.union([putSchema, removeSchema])) })
  .transform(({ epoch, events }) => ({ revision: epoch, changes: events }));

/** The store's revision, in the response to a transaction that was executed and to a read of a key that is not there. */
export const revisionSchema = z.object({ epoch: revisionNumber }).transform(({ epoch }) => epoch);

/** The response to a transaction that failed: the keys whose conditions do not hold. */
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

/** The body of "POST /grants"; `ttlMs` is the lease's time to live in milliseconds. */
export function leaseToWire(ttlMs: number): object {
  return { lifeMs: ttlMs };
}
