/**
 * The client of the state service: every call within this node's part of the shared budgets, every answer
 * checked, and every failure told as one of three things: refused, no answer, nonsense.
 */
import type { SteadyClock } from "../runtime/clock.js";
import { RateLimiter } from "../runtime/rate-limiter.js";
import { NoResponseError, type JsonResponse, type JsonClient } from "../runtime/json-client.js";
import { jittered, sleep } from "../runtime/sleep.js";
import { ABSENT_KEY } from "./keys.js";
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

/** The call did not succeed. `maybe` says whether it could have been executed, or yet be. */
export class StateStoreError extends Error {
  constructor(
    message: string,
    readonly maybe: boolean,
    readonly status = 0,
  ) {
    super(message);
  }
}

/** Whether the state service answered the failed call; a refusal is an answer, too. */
export const receivedResponse = (err: unknown): boolean => err instanceof StateStoreError && err.status !== 0;

/** Whether a transaction was carried out; if not, which guards failed. */
export type TransactionResult = { ok: true; revision: number } | { ok: false; failed: string[] };

/** The state service's limits, for all nodes together. */
export interface StateStoreLimits {
  rps: number;
  writeRps: number;
  txnOps: number;
}

/**
 * What a write is for, from what matters most: leases, ownership and orders; what users wait for; ended jobs; notes
 * about machines and completed tasks, which may come later without harm.
 */
export type WritePriority = "ownership" | "user" | "result" | "note";

/** The part of its burst that each kind of write leaves to those above. */
const BURST_RESERVES: [WritePriority, number][] = [
  ["ownership", 0],
  ["user", 0.1],
  ["result", 0.25],
  ["note", 0.4],
];
/** A node may always use this much of an equal part, whatever the others seem to use. */
const MIN_RATE_SHARE = 0.7;
/** What is seen of others' writes counts for about so long. */
const RATE_WINDOW_MS = 2000;

/** A sum that fades: about what came in the last while. */
class DecayingRate {
  private sum = 0;
  private at: number;

  constructor(private readonly clock: SteadyClock) {
    this.at = clock();
  }

  add(count: number): void {
    this.sum = this.perSecond * (RATE_WINDOW_MS / 1000) + count;
    this.at = this.clock();
  }

  get perSecond(): number {
    return (this.sum * Math.exp((this.at - this.clock()) / RATE_WINDOW_MS)) / (RATE_WINDOW_MS / 1000);
  }
}

/** Calls the state service within this node's part of its limits. */
export class StateStoreClient {
  private readonly requests: RateLimiter<"request">;
  private readonly writes: RateLimiter<WritePriority>;
  private readonly totalWriteRate: DecayingRate;
  private readonly ownWriteRate: DecayingRate;
  readonly txnOps: number;

  constructor(
    private readonly http: JsonClient,
    /** Watches hold a connection each, so they must not stand in line with calls. */
    private readonly watchHttp: JsonClient,
    private readonly limits: StateStoreLimits,
    private readonly controllers: number,
    private readonly clock: SteadyClock,
    private readonly timeoutMs: number,
  ) {
    // Load is rarely even, so a node may use more than its part; a 429 then slows it down.
    const part = Math.min(1, 1.5 / controllers);
    this.requests = new RateLimiter(limits.rps * part, limits.rps * part, clock, [["request", 0]]);
    const burst = Math.min(limits.writeRps, Math.max(limits.writeRps * part, limits.txnOps));
    this.writes = new RateLimiter(limits.writeRps * part, burst, clock, BURST_RESERVES);
    this.totalWriteRate = new DecayingRate(clock);
    this.ownWriteRate = new DecayingRate(clock);
    this.txnOps = limits.txnOps;
  }

  /**
   * So many changes by anybody have been seen in the feed. Equal parts would fit neither a leader nor a busy owner:
   * a node may use what the others, as the feed shows, leave of the whole.
   */
  recordObservedWrites(changes: number): void {
    this.totalWriteRate.add(changes);
    const { writeRps } = this.limits;
    const others = Math.max(0, this.totalWriteRate.perSecond - this.ownWriteRate.perSecond);
    this.writes.rate = Math.max((MIN_RATE_SHARE * writeRps) / this.controllers, writeRps - others);
  }

  async read(key: string): Promise<{ value: unknown; version: number } | null> {
    const answer = await this.call("GET", paths.state.value(key), undefined, [200, 404]);
    return answer.status === 404 ? null : parseResponse(valueSchema.safeParse(answer.body));
  }

  async readPage(
    prefix: string,
    after: string | undefined,
  ): Promise<{ entries: RecordEntry[]; more: boolean; revision: number }> {
    const answer = await this.call("GET", paths.state.page(prefix, after, 500), undefined, [200]);
    return parseResponse(pageSchema.safeParse(answer.body));
  }

  async compareAndSwap(
    guards: Condition[],
    writes: Write[],
    kind: WritePriority,
    queueTimeoutMs?: number,
  ): Promise<TransactionResult> {
    if (!(await this.writes.acquire(writes.length, kind, queueTimeoutMs)))
      throw new StateStoreError("no room for the write in time", false);
    this.ownWriteRate.add(writes.length);
    const answer = await this.call(
      "POST",
      paths.state.transaction,
      transactionToWire(guards, writes),
      [200, 409],
    );
    if (answer.status === 409)
      return { ok: false, failed: parseResponse(failedConditionsSchema.safeParse(answer.body)) };
    return { ok: true, revision: parseResponse(revisionSchema.safeParse(answer.body)) };
  }

  /** The service's revision now: whoever has seen it has seen all that was durable when it was asked for. */
  async currentRevision(): Promise<number> {
    const answer = await this.call("GET", paths.state.value(ABSENT_KEY), undefined, [404]);
    return parseResponse(revisionSchema.safeParse(answer.body));
  }

  async grantLease(ttlMs: number): Promise<number> {
    const answer = await this.call("POST", paths.state.leases, leaseToWire(ttlMs), [200]);
    return parseResponse(leaseSchema.safeParse(answer.body));
  }

  /** False: the lease has ended. Goes out at once: it must not wait behind other calls. */
  async renewLease(lease: number): Promise<boolean> {
    const answer = await this.send(
      "POST",
      paths.state.renew(lease),
      {},
      [200, 404],
      this.http,
      // A slow service is not a dead one: an answer that comes late still proves the lease from when it was asked for.
      3 * this.timeoutMs,
    );
    return answer.status === 200;
  }

  /** Null: `since` is too old, and everything must be read again. */
  async watchChanges(
    prefix: string,
    since: number,
    waitMs: number,
  ): Promise<{ revision: number; changes: RecordChange[] } | null> {
    const path = paths.state.changes(prefix, since, waitMs);
    // An open watch outlives an outage, and a dead connection must not: it is given up after a second wait.
    const answer = await this.send(
      "GET",
      path,
      undefined,
      [200, 410],
      this.watchHttp,
      waitMs + this.timeoutMs,
    );
    return answer.status === 410 ? null : parseResponse(changesSchema.safeParse(answer.body));
  }

  private async call(method: string, path: string, body: unknown, expected: number[]): Promise<JsonResponse> {
    const until = this.clock() + this.timeoutMs;
    if (!(await this.requests.acquire(1, "request", this.timeoutMs)))
      throw new StateStoreError("no room for the request in time", false);
    for (let pauseMs = this.timeoutMs / 16; ; pauseMs *= 2) {
      try {
        return await this.send(method, path, body, expected, this.http, this.timeoutMs);
      } catch (err) {
        // 429 means that it was not executed: again after a pause is safe, and usually enough.
        if (!(err instanceof StateStoreError) || err.status !== 429 || this.clock() + pauseMs > until)
          throw err;
        await sleep(jittered(pauseMs));
      }
    }
  }

  private async send(
    method: string,
    path: string,
    body: unknown,
    expected: number[],
    http: JsonClient,
    timeoutMs: number,
  ): Promise<JsonResponse> {
    let answer: JsonResponse;
    try {
      answer = await http.call(method, path, body, timeoutMs);
    } catch (err) {
      if (err instanceof NoResponseError) throw new StateStoreError(err.message, true);
      throw err;
    }
    if (expected.includes(answer.status)) return answer;
    const refused = answer.status === 503 || answer.status === 429 || answer.status === 400;
    throw new StateStoreError(`${method} ${path}: status ${answer.status}`, !refused, answer.status);
  }
}

function parseResponse<T>(result: { success: true; data: T } | { success: false; error: Error }): T {
  if (result.success) return result.data;
  throw new StateStoreError("the state service answered nonsense", true);
}
