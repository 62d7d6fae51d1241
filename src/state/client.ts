/**
 * The client of the state service: every call within this node's part of the shared budgets, every answer
 * checked, and every failure told as one of three things: refused, no answer, nonsense.
 */
import { Budget } from "../runtime/budget.js";
import type { SteadyClock } from "../runtime/clock.js";
import { JsonHttp, NoAnswer, type HttpAnswer } from "../runtime/http-client.js";
import { jittered, sleep } from "../runtime/wait.js";
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

export type Commit = { ok: true; revision: number } | { ok: false; failed: string[] };

export interface StateLimits {
  rps: number;
  writeRps: number;
  txnOps: number;
}

export class StateClient {
  private readonly requests: Budget;
  private readonly writes: Budget;
  readonly txnOps: number;

  constructor(
    private readonly http: JsonHttp,
    /** Watches hold a connection each, so they must not stand in line with calls. */
    private readonly watchHttp: JsonHttp,
    limits: StateLimits,
    controllers: number,
    clock: SteadyClock,
    private readonly timeoutMs: number,
  ) {
    // Load is rarely even, so a node may use more than its part; a 429 then slows it down.
    const part = Math.min(1, 1.5 / controllers);
    this.requests = new Budget(limits.rps * part, limits.rps * part, clock);
    this.writes = new Budget(limits.writeRps * part, limits.writeRps * part, clock);
    this.txnOps = limits.txnOps;
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

  async commit(guards: Guard[], writes: Write[]): Promise<Commit> {
    const wait = this.writes.take(writes.length);
    if (wait > 0) await sleep(wait);
    const answer = await this.call(
      "POST",
      paths.state.transaction,
      transactionToWire(guards, writes),
      [200, 409],
    );
    if (answer.status === 409) return { ok: false, failed: parsed(conflictSchema.safeParse(answer.body)) };
    return { ok: true, revision: parsed(committedSchema.safeParse(answer.body)) };
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
      this.timeoutMs,
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
    const wait = this.requests.take(1);
    if (wait > 0) await sleep(wait);
    try {
      return await this.send(method, path, body, expected, this.http, this.timeoutMs);
    } catch (err) {
      // 429 means that it was not executed: once more after a pause is safe, and usually enough.
      if (!(err instanceof StateFailure) || err.status !== 429) throw err;
      await sleep(jittered(this.timeoutMs / 4));
      return this.send(method, path, body, expected, this.http, this.timeoutMs);
    }
  }

  private async send(
    method: string,
    path: string,
    body: unknown,
    expected: number[],
    http: JsonHttp,
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
