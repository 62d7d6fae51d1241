/**
 * A state service as the protocol page describes it: keys, transactions, leases, watches, and its limits (sizes and
 * operations of a transaction, requests and changes a second with bursts of one second's worth).
 */
import { now, serveJson, sleep } from "./http.mjs";

class Bucket {
  constructor(perSecond) {
    this.perSecond = perSecond;
    this.tokens = perSecond;
    this.at = now();
  }

  take(cost) {
    const at = now();
    this.tokens = Math.min(this.perSecond, this.tokens + ((at - this.at) / 1000) * this.perSecond);
    this.at = at;
    if (this.tokens < cost) return false;
    this.tokens -= cost;
    return true;
  }
}

const KEPT_CHANGES = 10_000;
const MAX_TRANSACTION_BYTES = 64 * 1024;
const MAX_PAGE_BYTES = 512 * 1024;

export class StateService {
  /** `limits`: rps, write_rps, value_kb, txn_ops. */
  constructor(limits) {
    this.setLimits(limits);
    this.epoch = 0;
    this.records = new Map();
    this.changes = [];
    this.holds = new Map();
    this.nextHold = 1;
    this.watchers = new Set();
    this.isDown = false;
    /** Called with each change. */
    this.onChange = () => undefined;
    /** The number of answers by status. */
    this.answers = {};
    /** Latency of each answer in milliseconds. */
    this.latencyMs = () => 1;
  }

  setLimits(limits) {
    this.limits = limits;
    this.requests = new Bucket(limits.rps);
    this.writes = new Bucket(limits.write_rps);
  }

  async start() {
    this.server = await serveJson(async (method, url, body, bytes) => {
      const reply = await this.handle(method, url, body, bytes);
      if (reply !== null) this.answers[reply.status] = (this.answers[reply.status] ?? 0) + 1;
      await sleep(this.latencyMs(method, url.pathname));
      return reply;
    });
    this.address = this.server.address;
  }

  close() {
    for (const { timer } of this.holds.values()) clearTimeout(timer);
    this.server.close();
  }

  /** Starts or ends an outage; after it every lease has its full time again. */
  setDown(isDown) {
    this.isDown = isDown;
    for (const [id, hold] of this.holds) {
      clearTimeout(hold.timer);
      if (!isDown) this.arm(id, hold);
    }
    if (!isDown) for (const notify of [...this.watchers]) notify();
  }

  handle(method, url, body, bytes) {
    if (this.isDown) return { status: 503, body: { error: "trouble" } };
    if (!this.requests.take(1)) return { status: 429, body: { error: "too many requests" } };
    const { pathname } = url;
    if (pathname === "/multi" && method === "POST") return this.transaction(body, bytes);
    if (pathname === "/changes") return this.watch(url);
    if (pathname === "/kv") return this.page(url);
    if (pathname.startsWith("/kv/")) {
      const key = pathname.slice(4);
      const record = this.records.get(key);
      if (record === undefined) return { status: 404, body: { epoch: this.epoch } };
      return { status: 200, body: { path: key, ...record } };
    }
    if (pathname === "/grants" && method === "POST") {
      const id = this.nextHold++;
      const hold = { lifeMs: body.lifeMs };
      this.holds.set(id, hold);
      this.arm(id, hold);
      return { status: 200, body: { hold: id } };
    }
    const grant = /^\/grants\/(\d+)(\/renew)?$/.exec(pathname);
    const hold = grant === null ? undefined : this.holds.get(Number(grant[1]));
    if (hold === undefined) return { status: 404, body: {} };
    if (method === "DELETE") this.expire(Number(grant[1]));
    else this.arm(Number(grant[1]), hold);
    return { status: 200, body: { hold: Number(grant[1]) } };
  }

  arm(id, hold) {
    clearTimeout(hold.timer);
    hold.timer = setTimeout(() => this.expire(id), hold.lifeMs + 20);
  }

  expire(id) {
    clearTimeout(this.holds.get(id)?.timer);
    this.holds.delete(id);
    const removals = [];
    for (const [key, { hold }] of this.records) if (hold === id) removals.push({ remove: key });
    if (removals.length > 0) this.apply(removals);
  }

  transaction(body, bytes) {
    const { guards = [], apply = [] } = body ?? {};
    const { txn_ops: maxOperations, value_kb: valueKb } = this.limits;
    const isTooLarge =
      bytes > MAX_TRANSACTION_BYTES || apply.length > maxOperations || guards.length > 4 * maxOperations;
    if (isTooLarge) return { status: 400, body: { error: "transaction too large" } };
    for (const { put, value } of apply)
      if (put !== undefined && Buffer.byteLength(JSON.stringify(value)) > valueKb * 1024)
        return { status: 400, body: { error: "value too large" } };
    if (apply.length > 0 && !this.writes.take(apply.length))
      return { status: 429, body: { error: "too many changes" } };
    if (apply.some(({ hold }) => hold != null && !this.holds.has(hold)))
      return { status: 400, body: { error: "no such lease" } };
    const failed = guards
      .filter(({ path, stamp }) => (this.records.get(path)?.stamp ?? 0) !== stamp)
      .map(({ path }) => path);
    if (failed.length > 0) return { status: 409, body: { failed, epoch: this.epoch } };
    if (apply.length > 0) this.apply(apply);
    return { status: 200, body: { epoch: this.epoch } };
  }

  apply(operations) {
    const stamp = ++this.epoch;
    for (const { put, value, hold, remove } of operations) {
      if (put !== undefined) {
        this.records.set(put, hold == null ? { value, stamp } : { value, stamp, hold });
        this.record({ put, value, stamp });
      } else if (this.records.delete(remove)) this.record({ remove, stamp });
    }
    for (const notify of [...this.watchers]) notify();
  }

  record(change) {
    this.changes.push(change);
    if (this.changes.length > KEPT_CHANGES) this.changes.shift();
    this.onChange(change);
  }

  watch(url) {
    const prefix = url.searchParams.get("starts") ?? "";
    const since = Number(url.searchParams.get("since"));
    const oldest = this.changes[0]?.stamp ?? 0;
    if (this.changes.length >= KEPT_CHANGES && since < oldest) return { status: 410, body: {} };
    const events = () => {
      const found = [];
      for (let i = this.changes.length - 1; i >= 0 && this.changes[i].stamp > since; i--)
        if ((this.changes[i].put ?? this.changes[i].remove).startsWith(prefix)) found.push(this.changes[i]);
      return found.reverse();
    };
    return new Promise((resolve) => {
      let isDue = false;
      const notify = () => {
        if (this.isDown) return;
        const found = events();
        if (found.length === 0 && !isDue) return;
        clearTimeout(timer);
        this.watchers.delete(notify);
        resolve({ status: 200, body: { epoch: this.epoch, events: found } });
      };
      const timer = setTimeout(
        () => {
          isDue = true;
          notify();
        },
        Number(url.searchParams.get("waitMs") ?? 0),
      );
      this.watchers.add(notify);
      notify();
    });
  }

  page(url) {
    const prefix = url.searchParams.get("starts") ?? "";
    const since = url.searchParams.get("since") ?? "";
    const limit = Math.min(1000, Number(url.searchParams.get("limit") ?? 1000));
    const keys = [...this.records.keys()].filter((key) => key.startsWith(prefix) && key > since).sort();
    const items = [];
    let size = 0;
    for (const path of keys) {
      const item = { path, ...this.records.get(path) };
      size += JSON.stringify(item).length;
      if (items.length === limit || (items.length > 0 && size > MAX_PAGE_BYTES)) break;
      items.push(item);
    }
    return { status: 200, body: { items, truncated: items.length < keys.length, epoch: this.epoch } };
  }

  value(key) {
    return this.records.get(key)?.value;
  }
}
