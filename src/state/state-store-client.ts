/**
 * Client for the operations of the state store. Calls stay within this controller's share of the common rate limits,
 * responses are validated, and every failure states whether the request may have been executed.
 */
import type * as z from "zod";
import type { SteadyClock } from "../runtime/clock.js";
import type { JsonClient } from "../runtime/json-client.js";
import { ABSENT_KEY } from "./keys.js";
import { SharedWriteRate, type WritePriority } from "./shared-write-rate.js";
import { StateStoreConnection } from "./state-store-connection.js";
import { StateStoreError } from "./state-store-error.js";
import {
  changesSchema,
  revisionSchema,
  failedConditionsSchema,
  leaseSchema,
  leaseToWire,
  pageSchema,
  paths,
  transactionToWire,
  valueSchema,
  type RecordChange,
  type RecordEntry,
  type Condition,
  type Write,
} from "../wire/index.js";

const OK = 200;
const NOT_FOUND = 404;
const CONFLICT = 409;
const GONE = 410;

/** The maximum number of records in one page of a listing. */
const PAGE_SIZE = 500;

/**
 * The multiple of an equal share of the limits that a controller starts with, since load is rarely even. If the total
 * is too high, responses with status 429 slow it down.
 */
const UNEVEN_LOAD_FACTOR = 1.5;

/** The timeout of a lease renewal, as a multiple of the call timeout. */
const RENEWAL_TIMEOUT_FACTOR = 3;

/**
 * The result of a transaction: the revision it created or, if it was not executed, the keys whose conditions failed.
 */
export type TransactionResult = { ok: true; revision: number } | { ok: false; failedKeys: string[] };

/** The limits of the state store; the rates apply to all controllers together. */
interface StateStoreLimits {
  /** Requests per second. */
  rps: number;
  /** Writes per second. */
  writeRps: number;
  /** The maximum number of writes in one transaction. */
  txnOps: number;
}

/** Options of `StateStoreClient`. */
export interface StateStoreClientOptions {
  /** Client for calls that the state store answers immediately. */
  readonly http: JsonClient;
  /** Client for watches, which occupy a connection while they are open and must not delay other calls. */
  readonly watchHttp: JsonClient;
  readonly limits: StateStoreLimits;
  /** The number of controllers that use the state store. */
  readonly controllers: number;
  readonly clock: SteadyClock;
  /** The timeout of a call, in milliseconds. */
  readonly timeoutMs: number;
}

/**
 * Calls the state store within this controller's share of its limits. All methods that return a promise reject with a
 * `StateStoreError` if the call fails.
 */
export class StateStoreClient {
  private readonly connection: StateStoreConnection;
  private readonly writeRate: SharedWriteRate;
  private readonly timeoutMs: number;
  /** The maximum number of writes in one transaction. */
  readonly maxTransactionWrites: number;

  constructor({ http, watchHttp, limits, controllers, clock, timeoutMs }: StateStoreClientOptions) {
    const initialShare = Math.min(1, UNEVEN_LOAD_FACTOR / controllers);
    const requestsPerSecond = limits.rps * initialShare;
    this.connection = new StateStoreConnection({ http, watchHttp, requestsPerSecond, clock, timeoutMs });
    this.writeRate = new SharedWriteRate({
      writesPerSecond: limits.writeRps,
      maxTransactionWrites: limits.txnOps,
      initialShare,
      controllers,
      clock,
    });
    this.timeoutMs = timeoutMs;
    this.maxTransactionWrites = limits.txnOps;
  }

  /**
   * Counts changes by any controller that the watch has delivered; the write rate of this controller adapts to them.
   */
  recordObservedWrites(changes: number): void {
    this.writeRate.recordObservedWrites(changes);
  }

  /** Reads the current value and version of a key; null if it does not exist. */
  async read(key: string): Promise<{ value: unknown; version: number } | null> {
    const response = await this.connection.call({
      method: "GET",
      path: paths.state.value(key),
      expectedStatuses: [OK, NOT_FOUND],
    });
    return response.status === NOT_FOUND ? null : parseBody(valueSchema, response.body);
  }

  /**
   * Reads one page of the records under a prefix in key order: those after the key `after`, or the first ones if it is
   * undefined.
   */
  async readPage(
    prefix: string,
    after: string | undefined,
  ): Promise<{ entries: RecordEntry[]; more: boolean; revision: number }> {
    const response = await this.connection.call({
      method: "GET",
      path: paths.state.page(prefix, after, PAGE_SIZE),
      expectedStatuses: [OK],
    });
    return parseBody(pageSchema, response.body);
  }

  /**
   * Executes all writes in one transaction if all conditions hold, and none otherwise.
   * @param queueTimeoutMs the maximum wait for the write rate limit, in milliseconds; unbounded if omitted
   */
  async compareAndSwap(
    conditions: Condition[],
    writes: Write[],
    priority: WritePriority,
    queueTimeoutMs?: number,
  ): Promise<TransactionResult> {
    if (!(await this.writeRate.acquire(writes.length, priority, queueTimeoutMs)))
      throw new StateStoreError("write rate limit: queue timeout", { outcome: "rejected" });
    this.writeRate.recordOwnWrites(writes.length);
    const response = await this.connection.call({
      method: "POST",
      path: paths.state.transaction,
      body: transactionToWire(conditions, writes),
      expectedStatuses: [OK, CONFLICT],
    });
    if (response.status === CONFLICT)
      return { ok: false, failedKeys: parseBody(failedConditionsSchema, response.body) };
    return { ok: true, revision: parseBody(revisionSchema, response.body) };
  }

  /**
   * Reads the state store's revision: a replica at that revision contains everything durable at the time of the call.
   */
  async currentRevision(): Promise<number> {
    const response = await this.connection.call({
      method: "GET",
      path: paths.state.value(ABSENT_KEY),
      expectedStatuses: [NOT_FOUND],
    });
    return parseBody(revisionSchema, response.body);
  }

  /** Requests a lease and returns its id: records attached to it are removed `ttlMs` after its last renewal. */
  async grantLease(ttlMs: number): Promise<number> {
    const response = await this.connection.call({
      method: "POST",
      path: paths.state.leases,
      body: leaseToWire(ttlMs),
      expectedStatuses: [OK],
    });
    return parseBody(leaseSchema, response.body);
  }

  /** Renews a lease; false if it has expired. Bypasses the rate limit, so that it does not wait behind other calls. */
  async renewLease(leaseId: number): Promise<boolean> {
    const response = await this.connection.send(
      {
        method: "POST",
        path: paths.state.renew(leaseId),
        body: {},
        expectedStatuses: [OK, NOT_FOUND],
      },
      // The state store may be slow rather than down: a late response still proves the lease, counted from when the
      // renewal was sent.
      RENEWAL_TIMEOUT_FACTOR * this.timeoutMs,
    );
    return response.status === OK;
  }

  /**
   * Waits up to `waitMs` milliseconds for changes under a prefix after the revision `since`. Returns null if that
   * revision is no longer available, so that all records must be listed again.
   */
  async watchChanges(
    prefix: string,
    since: number,
    waitMs: number,
  ): Promise<{ revision: number; changes: RecordChange[] } | null> {
    const response = await this.connection.sendWatch(
      {
        method: "GET",
        path: paths.state.changes(prefix, since, waitMs),
        expectedStatuses: [OK, GONE],
      },
      // A watch may stay open through an outage, but on a dead connection it must fail: it times out one call timeout
      // after its response is due.
      waitMs + this.timeoutMs,
    );
    return response.status === GONE ? null : parseBody(changesSchema, response.body);
  }
}

/** @throws StateStoreError with an unknown outcome if the body does not match the protocol. */
function parseBody<T>(schema: z.ZodType<T>, body: unknown): T {
  const result = schema.safeParse(body);
  if (result.success) return result.data;
  throw new StateStoreError("state store response does not match the protocol", {
    outcome: "unknown",
    cause: result.error,
  });
}
