/**
 * The operations of the state store. Every call stays within this controller's share of the common rate limits, every
 * answer is checked, and every failure states whether the request can have had an effect.
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

/** The most records of one page of a listing. */
const PAGE_SIZE = 500;

/** Load is rarely even: a controller may begin with this multiple of an equal share, and 429 then slows it down. */
const UNEVEN_LOAD_FACTOR = 1.5;

/** How many call timeouts a lease renewal may take. */
const RENEWAL_TIMEOUTS = 3;

/** Whether a transaction was executed; if not, the keys whose conditions did not hold. */
export type TransactionResult = { ok: true; revision: number } | { ok: false; failedKeys: string[] };

/** The state store's limits, for all controllers together. */
interface StateStoreLimits {
  /** Requests per second. */
  rps: number;
  /** Writes per second. */
  writeRps: number;
  /** The most writes of one transaction. */
  txnOps: number;
}

/** What a client is made from. */
export interface StateStoreClientOptions {
  /** For calls that are answered at once. */
  readonly http: JsonClient;
  /** For watches: each occupies a connection while it is open, and must not delay calls. */
  readonly watchHttp: JsonClient;
  readonly limits: StateStoreLimits;
  /** How many controllers use the state store. */
  readonly controllers: number;
  readonly clock: SteadyClock;
  /** How long a call may take, in milliseconds. */
  readonly timeoutMs: number;
}

/**
 * Calls the state store within this controller's share of its limits. All calls that return a promise fail with a
 * `StateStoreError` if they do not succeed.
 */
export class StateStoreClient {
  private readonly connection: StateStoreConnection;
  private readonly writeRate: SharedWriteRate;
  private readonly timeoutMs: number;
  /** The most writes of one transaction. */
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

  /** Counts changes by any controller that the watch has shown: the rate of own writes adapts to them. */
  recordObservedWrites(changes: number): void {
    this.writeRate.recordObservedWrites(changes);
  }

  /** Reads the present value and version of a key; null if it does not exist. */
  async read(key: string): Promise<{ value: unknown; version: number } | null> {
    const response = await this.connection.call({
      method: "GET",
      path: paths.state.value(key),
      expectedStatuses: [OK, NOT_FOUND],
    });
    return response.status === NOT_FOUND ? null : parseBody(valueSchema, response.body);
  }

  /** Reads one page of the records under a prefix: those whose keys follow `after`, in the order of keys. */
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
   * @param queueTimeoutMs the longest wait for the write rate limit; without it, the wait has no bound
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

  /** Reads the state store's revision: a view of that revision shows all that was durable when this was called. */
  async currentRevision(): Promise<number> {
    const response = await this.connection.call({
      method: "GET",
      path: paths.state.value(ABSENT_KEY),
      expectedStatuses: [NOT_FOUND],
    });
    return parseBody(revisionSchema, response.body);
  }

  /** Grants a lease and returns its id: records written under it are removed `ttlMs` after its last renewal. */
  async grantLease(ttlMs: number): Promise<number> {
    const response = await this.connection.call({
      method: "POST",
      path: paths.state.leases,
      body: leaseToWire(ttlMs),
      expectedStatuses: [OK],
    });
    return parseBody(leaseSchema, response.body);
  }

  /** Renews a lease; false if it has ended. It is sent at once: it must not wait behind other calls. */
  async renewLease(leaseId: number): Promise<boolean> {
    const response = await this.connection.send(
      {
        method: "POST",
        path: paths.state.renew(leaseId),
        body: {},
        expectedStatuses: [OK, NOT_FOUND],
      },
      // A slow state store is not a failed one: a late answer still proves the lease from when the renewal was sent.
      RENEWAL_TIMEOUTS * this.timeoutMs,
    );
    return response.status === OK;
  }

  /**
   * Waits up to `waitMs` for changes under a prefix after the revision `since`. Null if that revision is too old, and all
   * records must be read again.
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
      // A watch may outlive an outage, but not a dead connection: it fails one call timeout after its answer is due.
      waitMs + this.timeoutMs,
    );
    return response.status === GONE ? null : parseBody(changesSchema, response.body);
  }
}

/** @throws StateStoreError if the body does not follow the protocol; whether the request was executed is not known. */
function parseBody<T>(schema: z.ZodType<T>, body: unknown): T {
  const result = schema.safeParse(body);
  if (result.success) return result.data;
  throw new StateStoreError("unusable answer of the state store", {
    outcome: "unknown",
    cause: result.error,
  });
}
