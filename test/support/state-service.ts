/**
 * A fake of the state service, written from its published protocol. It keeps the protocol's names: a `hold` is a lease,
 * a `stamp` the version of a key, and the `epoch` the revision of the store.
 */
import { listen, type TestServer, type Reply } from "./http.js";

interface StoredRecord {
  value: unknown;
  stamp: number;
  hold: number | undefined;
}

type Operation = { put: string; value: unknown; hold?: number } | { remove: string };

interface Transaction {
  guards?: { path: string; stamp: number }[];
  apply?: Operation[];
}

export type Change = { put: string; value: unknown; stamp: number } | { remove: string; stamp: number };

interface Hold {
  lifeMs: number;
  /** Expires the lease. */
  timer: NodeJS.Timeout;
}

/** The records and leases of the fake, and the operations on them, without a network. */
export class FakeStateStore {
  /** Nodes whose requests get 503 while the other nodes are served; their open watches get no response. */
  readonly refused = new Set<number>();
  /** The number of requests received, of all kinds. */
  requests = 0;
  /** Called with each change as it is applied. */
  onChange: (change: Change) => void = () => undefined;
  private hasOutage = false;
  private epoch = 0;
  private nextHoldId = 1;
  private readonly store = new Map<string, StoredRecord>();
  private readonly holds = new Map<number, Hold>();
  private readonly changes: Change[] = [];
  private readonly watchers = new Set<() => void>();

  /** While true, every request gets 503. */
  get down(): boolean {
    return this.hasOutage;
  }

  set down(down: boolean) {
    this.hasOutage = down;
    // No lease expires during an outage, and after it every lease has its full duration again.
    for (const [id, hold] of this.holds) {
      clearTimeout(hold.timer);
      if (!down) this.restartExpiryTimer(id, hold);
    }
  }

  keys(prefix: string): string[] {
    return [...this.store.keys()].filter((key) => key.startsWith(prefix));
  }

  value(key: string): unknown {
    return this.store.get(key)?.value;
  }

  close(): void {
    for (const { timer } of this.holds.values()) clearTimeout(timer);
  }

  handle(node: number, method: string, url: URL, body: unknown): Reply | Promise<Reply> {
    this.requests++;
    const isRefused = (): boolean => this.down || this.refused.has(node);
    if (isRefused()) return { status: 503, body: { error: "trouble" } };
    const { pathname } = url;
    if (pathname === "/multi") return this.commit(body as Transaction);
    if (pathname === "/changes") return this.watch(url, isRefused);
    if (pathname === "/kv") return this.page(url);
    if (pathname.startsWith("/kv/")) {
      const stored = this.store.get(pathname.slice("/kv/".length));
      return stored ? { status: 200, body: stored } : { status: 404, body: { epoch: this.epoch } };
    }
    if (pathname === "/grants") {
      const id = this.nextHoldId++;
      const hold = { lifeMs: (body as { lifeMs: number }).lifeMs, timer: setTimeout(() => undefined, 0) };
      this.holds.set(id, hold);
      this.restartExpiryTimer(id, hold);
      return { status: 200, body: { hold: id } };
    }
    const renewed = /^\/grants\/(\d+)\/renew$/.exec(pathname);
    const hold = renewed && this.holds.get(Number(renewed[1]));
    if (!hold || method !== "POST") return { status: 404 };
    this.restartExpiryTimer(Number(renewed[1]), hold);
    return { status: 200, body: { hold: Number(renewed[1]) } };
  }

  /** Executes a transaction that was sent earlier, even during an outage; its response is lost. */
  executeDelayed(body: unknown): void {
    this.commit(body as Transaction);
  }

  private restartExpiryTimer(id: number, hold: Hold): void {
    clearTimeout(hold.timer);
    hold.timer = setTimeout(() => {
      this.expire(id);
    }, hold.lifeMs);
  }

  private expire(id: number): void {
    this.holds.delete(id);
    const removals = [...this.store]
      .filter(([, record]) => record.hold === id)
      .map(([key]) => ({ remove: key }));
    if (removals.length > 0) this.apply(removals);
  }

  private apply(operations: Operation[]): void {
    this.epoch++;
    const stamp = this.epoch;
    for (const operation of operations) {
      if ("put" in operation) {
        const { put, value, hold } = operation;
        this.store.set(put, { value, stamp, hold });
        this.recordChange({ put, value, stamp });
      } else if (this.store.delete(operation.remove)) this.recordChange({ remove: operation.remove, stamp });
    }
    for (const notify of [...this.watchers]) notify();
  }

  private recordChange(change: Change): void {
    this.changes.push(change);
    this.onChange(change);
  }

  private commit(transaction: Transaction): Reply {
    const failed = (transaction.guards ?? [])
      .filter(({ path, stamp }) => (this.store.get(path)?.stamp ?? 0) !== stamp)
      .map(({ path }) => path);
    if (failed.length > 0) return { status: 409, body: { failed, epoch: this.epoch } };
    const operations = transaction.apply ?? [];
    if (
      operations.some(
        (change) => "put" in change && change.hold !== undefined && !this.holds.has(change.hold),
      )
    )
      return { status: 400, body: { error: "no such lease" } };
    if (operations.length > 0) this.apply(operations);
    return { status: 200, body: { epoch: this.epoch } };
  }

  private watch(url: URL, isRefused: () => boolean): Promise<Reply> {
    const prefix = url.searchParams.get("starts") ?? "";
    const since = Number(url.searchParams.get("since"));
    const newChanges = (): Change[] => {
      const events: Change[] = [];
      // Scans from the newest change back, since a watch has already seen all but the last few.
      for (let i = this.changes.length - 1; i >= 0 && this.changes[i]!.stamp > since; i--) {
        const change = this.changes[i]!;
        if (("put" in change ? change.put : change.remove).startsWith(prefix)) events.push(change);
      }
      return events.reverse();
    };
    return new Promise((resolve) => {
      const respond = (): void => {
        if (isRefused()) return;
        clearTimeout(timer);
        this.watchers.delete(notify);
        resolve({ status: 200, body: { epoch: this.epoch, events: newChanges() } });
      };
      const notify = (): void => {
        if (newChanges().length > 0) respond();
      };
      const timer = setTimeout(respond, Number(url.searchParams.get("waitMs") ?? 0));
      this.watchers.add(notify);
      notify();
    });
  }

  private page(url: URL): Reply {
    const prefix = url.searchParams.get("starts") ?? "";
    const after = url.searchParams.get("since") ?? "";
    const limit = Number(url.searchParams.get("limit") ?? 1000);
    const matching = this.keys(prefix)
      .filter((key) => key > after)
      .sort();
    const items = matching.slice(0, limit).map((path) => ({ path, ...this.store.get(path)! }));
    return { status: 200, body: { items, truncated: matching.length > limit, epoch: this.epoch } };
  }
}

/** A running fake of the state service. */
export interface FakeStateService {
  store: FakeStateStore;
  /** One address per node, so that the requests of a single node can be refused. */
  addresses: string[];
  close(): void;
}

/** How a transaction is handled: executed and answered, executed without a response, or executed late without one. */
export type TransactionDelivery = "answered" | "answer_lost" | { lateMs: number };

/** A reply that never resolves. */
const neverReply = (): Promise<Reply> => new Promise(() => undefined);

/** Starts the fake on the loopback interface, with one server per node. */
export async function startFakeStateService(
  nodes: number,
  deliveryOf: () => TransactionDelivery = () => "answered",
): Promise<FakeStateService> {
  const store = new FakeStateStore();
  const handle = (node: number, method: string, url: URL, body: unknown): Reply | Promise<Reply> => {
    const delivery = url.pathname === "/multi" ? deliveryOf() : "answered";
    if (delivery === "answered") return store.handle(node, method, url, body);
    if (delivery === "answer_lost") void store.handle(node, method, url, body);
    else
      setTimeout(() => {
        store.executeDelayed(body);
      }, delivery.lateMs).unref();
    return neverReply();
  };
  const listenForNode = (node: number): Promise<TestServer> =>
    listen((method, url, body) => handle(node, method, url, body));
  const servers = await Promise.all(Array.from({ length: nodes }, (_, node) => listenForNode(node)));
  return {
    store,
    addresses: servers.map((server) => server.address),
    close: () => {
      store.close();
      for (const server of servers) server.close();
    },
  };
}
