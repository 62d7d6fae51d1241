/**
 * The client of the state service: every call within this node's part of the shared budgets, every answer
 * checked, and every failure told as one of three things: refused, no answer, nonsense.
 */
import type { SteadyClock } from "../runtime/clock.js";
import { RateLimiter } from "../runtime/rate-limiter.js";
import { NoAnswer, type HttpAnswer, type JsonCalls } from "../runtime/http-client.js";
import { jittered, sleep } from "../runtime/wait.js";
import { NO_SUCH_KEY } from "./keys.js";
import {
  changesSchema,
  committedSchema,
  conflictSchema,
  leaseSchema,
  leaseToWire,
  pageSchema,
  paths,
  transactionToWire,
  valueSchema,
  type Change,
  type Entry,
  type Guard,
  type Write,
} from "../wire/index.js";

/** The call did not succeed. `maybe` says whether it could have been executed, or yet be. */
export class StateFailure extends Error {
  constructor(
    message: string,
    readonly maybe: boolean,
    readonly status = 0,
  ) {
    super(message);
  }
}

/** Whether a transaction was carried out; if not, which guards failed. */
export type Commit = { ok: true; revision: number } | { ok: false; failed: string[] };

/** The state service's limits, for all nodes together. */
export interface StateLimits {
  rps: number;
  writeRps: number;
  txnOps: number;
}

/**
 * What a write is for, from what matters most: leases, ownership and orders; what users wait for; ended jobs; notes
 * about machines and completed tasks, which may come later without harm.
 */
export type WriteKind = "ownership" | "user" | "result" | "note";

/** The part of its burst that each kind of write leaves to those above. */
const RESERVES: [WriteKind, number][] = [
  ["ownership", 0],
  ["user", 0.1],
  ["result", 0.25],
  ["note", 0.4],
];
/** A node may always use this much of an equal part, whatever the others seem to use. */
const LEAST_PART = 0.7;
/** What is seen of others' writes counts for about so long. */
const SEEN_FOR_MS = 2000;

/** A sum that fades: about what came in the last while. */
class Fading {
  private sum = 0;
  private at: number;

  constructor(private readonly clock: SteadyClock) {
    this.at = clock();
  }

  add(count: number): void {
    this.sum = this.perSecond * (SEEN_FOR_MS / 1000) + count;
    this.at = this.clock();
  }

  get perSecond(): number {
    return (this.sum * Math.exp((this.at - this.clock()) / SEEN_FOR_MS)) / (SEEN_FOR_MS / 1000);
  }
}

/** Calls the state service within this node's part of its limits. */
export class StateClient {
  private readonly requests: RateLimiter<"request">;
  private readonly writes: RateLimiter<WriteKind>;
  private readonly all: Fading;
  private readonly own: Fading;
  readonly txnOps: number;

  constructor(
    private readonly http: JsonCalls,
    /** Watches hold a connection each, so they must not stand in line with calls. */
    private readonly watchHttp: JsonCalls,
    private readonly limits: StateLimits,
    private readonly controllers: number,
    private readonly clock: SteadyClock,
    private readonly timeoutMs: number,
  ) {
    // Load is rarely even, so a node may use more than its part; a 429 then slows it down.
    const part = Math.min(1, 1.5 / controllers);
    this.requests = new RateLimiter(limits.rps * part, limits.rps * part, clock, [["request", 0]]);
    const burst = Math.min(limits.writeRps, Math.max(limits.writeRps * part, limits.txnOps));
    this.writes = new RateLimiter(limits.writeRps * part, burst, clock, RESERVES);
    this.all = new Fading(clock);
    this.own = new Fading(clock);
    this.txnOps = limits.txnOps;
  }

  /**
   * So many changes by anybody have been seen in the feed. Equal parts would fit neither a leader nor a busy owner:
   * a node may use what the others, as the feed shows, leave of the whole.
   */
  seen(changes: number): void {
    this.all.add(changes);
    const { writeRps } = this.limits;
    const others = Math.max(0, this.all.perSecond - this.own.perSecond);
    this.writes.rate = Math.max((LEAST_PART * writeRps) / this.controllers, writeRps - others);
  }

  async read(key: string): Promise<{ value: unknown; version: number } | null> {
    const answer = await this.call("GET", paths.state.value(key), undefined, [200, 404]);
    return answer.status === 404 ? null : parsed(valueSchema.safeParse(answer.body));
  }

  async page(
    prefix: string,
    after: string | undefined,
  ): Promise<{ entries: Entry[]; more: boolean; revision: number }> {
    const answer = await this.call("GET", paths.state.page(prefix, after, 500), undefined, [200]);
    return parsed(pageSchema.safeParse(answer.body));
  }

  async commit(guards: Guard[], writes: Write[], kind: WriteKind, queueTimeoutMs?: number): Promise<Commit> {
    if (!(await this.writes.pass(writes.length, kind, queueTimeoutMs)))
      throw new StateFailure("no room for the write in time", false);
    this.own.add(writes.length);
    const answer = await this.call(
      "POST",
      paths.state.transaction,
      transactionToWire(guards, writes),
      [200, 409],
    );
    if (answer.status === 409) return { ok: false, failed: parsed(conflictSchema.safeParse(answer.body)) };
    return { ok: true, revision: parsed(committedSchema.safeParse(answer.body)) };
  }

  /** The service's revision now: whoever has seen it has seen all that was durable when it was asked for. */
  async revision(): Promise<number> {
    const answer = await this.call("GET", paths.state.value(NO_SUCH_KEY), undefined, [404]);
    return parsed(committedSchema.safeParse(answer.body));
  }

  async grant(ttlMs: number): Promise<number> {
    const answer = await this.call("POST", paths.state.leases, leaseToWire(ttlMs), [200]);
    return parsed(leaseSchema.safeParse(answer.body));
  }

  /** False: the lease has ended. Goes out at once: it must not wait behind other calls. */
  async renew(lease: number): Promise<boolean> {
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
  async changes(
    prefix: string,
    since: number,
    waitMs: number,
  ): Promise<{ revision: number; changes: Change[] } | null> {
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
    return answer.status === 410 ? null : parsed(changesSchema.safeParse(answer.body));
  }

  private async call(method: string, path: string, body: unknown, expected: number[]): Promise<HttpAnswer> {
    const until = this.clock() + this.timeoutMs;
    if (!(await this.requests.pass(1, "request", this.timeoutMs)))
      throw new StateFailure("no room for the request in time", false);
    for (let pauseMs = this.timeoutMs / 16; ; pauseMs *= 2) {
      try {
        return await this.send(method, path, body, expected, this.http, this.timeoutMs);
      } catch (err) {
        // 429 means that it was not executed: again after a pause is safe, and usually enough.
        if (!(err instanceof StateFailure) || err.status !== 429 || this.clock() + pauseMs > until) throw err;
        await sleep(jittered(pauseMs));
      }
    }
  }

  private async send(
    method: string,
    path: string,
    body: unknown,
    expected: number[],
    http: JsonCalls,
    timeoutMs: number,
  ): Promise<HttpAnswer> {
    let answer: HttpAnswer;
    try {
      answer = await http.call(method, path, body, timeoutMs);
    } catch (err) {
      if (err instanceof NoAnswer) throw new StateFailure(err.message, true);
      throw err;
    }
    if (expected.includes(answer.status)) return answer;
    const refused = answer.status === 503 || answer.status === 429 || answer.status === 400;
    throw new StateFailure(`${method} ${path}: status ${answer.status}`, !refused, answer.status);
  }
}

function parsed<T>(result: { success: true; data: T } | { success: false; error: Error }): T {
  if (result.success) return result.data;
  throw new StateFailure("the state service answered nonsense", true);
}
