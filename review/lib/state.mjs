/** A stand-in of the state service, after the section "Controller nodes -> state service" of PROTOCOL. */
import { serveJson } from "./http.mjs";
import { sleep } from "./record.mjs";

/** A token bucket with a burst worth one second. */
class Rate {
  constructor(perSecond) {
    this.perSecond = perSecond;
    this.tokens = perSecond;
    this.at = performance.now();
  }

  take(cost) {
    const now = performance.now();
    this.tokens = Math.min(this.perSecond, this.tokens + ((now - this.at) / 1000) * this.perSecond);
    this.at = now;
    if (this.tokens < cost) return false;
    this.tokens -= cost;
    return true;
  }
}

export class StateService {
  constructor(limits, { latencyMs = () => 4 } = {}) {
    this.limits = limits;
    this.latencyMs = latencyMs;
    /** Called before a transaction: "normal", { lateMs } for a late execution without answer, or "answer_lost". */
    this.delivery = () => "normal";
    this.refused = new Set();
    this.down = false;
    this.requests = new Rate(limits.rps);
    this.writes = new Rate(limits.write_rps);
    this.epoch = 0;
    this.records = new Map();
    this.holds = new Map();
    this.nextHold = 1;
    this.changes = [];
    this.watchers = new Set();
    this.onChange = () => undefined;
    this.servers = [];
  }

  /** One address per controller, so that one of them can be refused alone. */
  async listen(count) {
    for (let node = 0; node < count; node++)
      this.servers.push(await serveJson((method, url, body) => this.handle(node, method, url, body)));
    return this.servers.map(({ address }) => address);
  }

  close() {
    for (const server of this.servers) server.close();
    for (const { timer } of this.holds.values()) clearTimeout(timer);
  }

  value(key) {
    return this.records.get(key)?.value;
  }

  setDown(down) {
    this.down = down;
    for (const [id, hold] of this.holds) {
      clearTimeout(hold.timer);
      if (!down) this.armHold(id, hold);
    }
  }

  isRefused(node) {
    return this.down || this.refused.has(node);
  }

  async handle(node, method, url, body) {
    if (this.isRefused(node)) return { status: 503, body: { error: "trouble" } };
    if (!this.requests.take(1)) return { status: 429, body: { error: "too many" } };
    const { pathname } = url;
    if (pathname === "/changes") return this.watch(node, url);
    await sleep(this.latencyMs(node, method, pathname));
    if (this.isRefused(node)) return { status: 503, body: { error: "trouble" } };
    if (pathname === "/multi" && method === "POST") return this.multi(node, body);
    if (pathname === "/kv") return this.page(url);
    if (pathname.startsWith("/kv/")) {
      const key = pathname.slice("/kv/".length);
      const record = this.records.get(key);
      if (record === undefined) return { status: 404, body: { epoch: this.epoch } };
      return {
        status: 200,
        body: { path: key, value: record.value, stamp: record.stamp, hold: record.hold },
      };
    }
    if (pathname === "/grants" && method === "POST") {
      const id = this.nextHold++;
      const hold = { lifeMs: body.lifeMs, timer: undefined };
      this.holds.set(id, hold);
      this.armHold(id, hold);
      return { status: 200, body: { hold: id } };
    }
    const match = /^\/grants\/(\d+)(\/renew)?$/.exec(pathname);
    const id = Number(match?.[1]);
    const hold = this.holds.get(id);
    if (hold === undefined) return { status: 404, body: {} };
    if (match[2]) this.armHold(id, hold);
    else this.endHold(id);
    return { status: 200, body: { hold: id } };
  }

  armHold(id, hold) {
    clearTimeout(hold.timer);
    hold.timer = setTimeout(() => this.endHold(id), hold.lifeMs + 20);
  }

  endHold(id) {
    clearTimeout(this.holds.get(id)?.timer);
    this.holds.delete(id);
    const removals = [...this.records]
      .filter(([, { hold }]) => hold === id)
      .map(([key]) => ({ remove: key }));
    if (removals.length > 0) this.apply(removals);
  }

  async multi(node, body) {
    const operations = body.apply ?? [];
    const { txn_ops: txnOps, value_kb: valueKb } = this.limits;
    const tooLarge = operations.some(
      (op) => "put" in op && Buffer.byteLength(JSON.stringify(op.value)) > valueKb * 1024,
    );
    if (
      tooLarge ||
      operations.length > txnOps ||
      (body.guards ?? []).length > 4 * txnOps ||
      Buffer.byteLength(JSON.stringify(body)) > 64 * 1024
    )
      return { status: 400, body: { error: "too large" } };
    if (!this.writes.take(operations.length)) return { status: 429, body: { error: "too many" } };
    const delivery = this.delivery(node, body);
    if (delivery === "normal") return this.commit(body);
    if (delivery === "answer_lost") this.commit(body);
    else setTimeout(() => this.commit(body), delivery.lateMs);
    return null;
  }

  commit({ guards = [], apply = [] }) {
    const failed = guards.filter(({ path, stamp }) => (this.records.get(path)?.stamp ?? 0) !== stamp);
    if (
      apply.some((op) => "put" in op && op.hold !== undefined && op.hold !== null && !this.holds.has(op.hold))
    )
      return { status: 400, body: { error: "no such lease" } };
    if (failed.length > 0)
      return { status: 409, body: { failed: failed.map(({ path }) => path), epoch: this.epoch } };
    if (apply.length > 0) this.apply(apply);
    return { status: 200, body: { epoch: this.epoch } };
  }

  apply(operations) {
    const stamp = ++this.epoch;
    for (const op of operations) {
      if ("put" in op) {
        this.records.set(op.put, { value: op.value, stamp, hold: op.hold ?? undefined });
        this.changes.push({ put: op.put, value: op.value, stamp });
      } else if (this.records.delete(op.remove)) this.changes.push({ remove: op.remove, stamp });
      this.onChange(op);
    }
    for (const notify of [...this.watchers]) notify();
  }

  watch(node, url) {
    const prefix = url.searchParams.get("starts") ?? "";
    const since = Number(url.searchParams.get("since"));
    const events = () =>
      this.changes.filter(
        (change) => change.stamp > since && (change.put ?? change.remove).startsWith(prefix),
      );
    return new Promise((resolve) => {
      const respond = () => {
        // An open watch waits while its node is refused.
        if (this.isRefused(node)) {
          timer = setTimeout(respond, 100);
          return;
        }
        clearTimeout(timer);
        this.watchers.delete(notify);
        setTimeout(
          () => resolve({ status: 200, body: { epoch: this.epoch, events: events() } }),
          this.latencyMs(node, "GET", "/changes"),
        );
      };
      const notify = () => {
        if (events().length > 0) respond();
      };
      let timer = setTimeout(respond, Number(url.searchParams.get("waitMs") ?? 0));
      this.watchers.add(notify);
      notify();
    });
  }

  page(url) {
    const prefix = url.searchParams.get("starts") ?? "";
    const after = url.searchParams.get("since") ?? "";
    const limit = Math.min(1000, Number(url.searchParams.get("limit") ?? 1000));
    const keys = [...this.records.keys()].filter((key) => key.startsWith(prefix) && key > after).sort();
    const items = [];
    let bytes = 0;
    for (const path of keys.slice(0, limit)) {
      const { value, stamp } = this.records.get(path);
      bytes += Buffer.byteLength(JSON.stringify(value)) + path.length + 40;
      if (items.length > 0 && bytes > 512 * 1024) break;
      items.push({ path, value, stamp });
    }
    return { status: 200, body: { items, truncated: items.length < keys.length, epoch: this.epoch } };
  }
}
