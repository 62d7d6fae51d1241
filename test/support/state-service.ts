/**
 * A fake of the state service, written from its published protocol, whose names it keeps: a `hold` is a lease, a `stamp` the
 * version of a key, the `epoch` the revision of the store.
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
  /** Ends the lease. */
  timer: NodeJS.Timeout;
}

/** The records, the leases and the operations on them, without a network. */
export class StateStore {
  /** Nodes whose requests get 503 while others are served; their open watches wait. */
  readonly refused = new Set<number>();
  /** How many requests of all kinds have arrived. */
  requests = 0;
  /** Called with every change when it is made. */
  onChange: (change: Change) => void = () => undefined;
  private outage = false;
  private epoch = 0;
  private nextHold = 1;
  private readonly store = new Map<string, StoredRecord>();
  private readonly holds = new Map<number, Hold>();
  private readonly changes: Change[] = [];
  private readonly watchers = new Set<() => void>();

  /** While true, every request gets 503. */
  get down(): boolean {
    return this.outage;
  }

  set down(down: boolean) {
    this.outage = down;
    // No lease ends in an outage, and after it every lease has its full length again.
    for (const [id, hold] of this.holds) {
      clearTimeout(hold.timer);
      if (!down) this.arm(id, hold);
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
    const refused = (): boolean => this.down || this.refused.has(node);
    if (refused()) return { status: 503, body: { error: "trouble" } };
    const { pathname } = url;
    if (pathname === "/multi") return this.commit(body as Transaction);
    if (pathname === "/changes") return this.watch(url, refused);
    if (pathname === "/kv") return this.page(url);
    if (pathname.startsWith("/kv/")) {
      const stored = this.store.get(pathname.slice("/kv/".length));
      return stored ? { status: 200, body: stored } : { status: 404, body: { epoch: this.epoch } };
    }
    if (pathname === "/grants") {
      const id = this.nextHold++;
      const hold = { lifeMs: (body as { lifeMs: number }).lifeMs, timer: setTimeout(() => undefined, 0) };
      this.holds.set(id, hold);
      this.arm(id, hold);
      return { status: 200, body: { hold: id } };
    }
    const renewed = /^\/grants\/(\d+)\/renew$/.exec(pathname);
    const hold = renewed && this.holds.get(Number(renewed[1]));
    if (!hold || method !== "POST") return { status: 404 };
    this.arm(Number(renewed[1]), hold);
    return { status: 200, body: { hold: Number(renewed[1]) } };
  }

  /** Executes a transaction that was sent earlier: its answer is lost, and no outage stops it. */
  carryOut(body: unknown): void {
    this.commit(body as Transaction);
  }

  private arm(id: number, hold: Hold): void {
    clearTimeout(hold.timer);
    hold.timer = setTimeout(() => {
      this.end(id);
    }, hold.lifeMs);
  }

  private end(id: number): void {
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
    for (const wake of [...this.watchers]) wake();
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

  private watch(url: URL, refused: () => boolean): Promise<Reply> {
    const prefix = url.searchParams.get("starts") ?? "";
    const since = Number(url.searchParams.get("since"));
    const found = (): Change[] => {
      const events: Change[] = [];
      // Newest first: a watch has seen all but the last few.
      for (let i = this.changes.length - 1; i >= 0 && this.changes[i]!.stamp > since; i--) {
        const change = this.changes[i]!;
        if (("put" in change ? change.put : change.remove).startsWith(prefix)) events.push(change);
      }
      return events.reverse();
    };
    return new Promise((resolve) => {
      const answer = (): void => {
        if (refused()) return;
        clearTimeout(timer);
        this.watchers.delete(wake);
        resolve({ status: 200, body: { epoch: this.epoch, events: found() } });
      };
      const wake = (): void => {
        if (found().length > 0) answer();
      };
      const timer = setTimeout(answer, Number(url.searchParams.get("waitMs") ?? 0));
      this.watchers.add(wake);
      wake();
    });
  }

  private page(url: URL): Reply {
    const prefix = url.searchParams.get("starts") ?? "";
    const after = url.searchParams.get("since") ?? "";
    const limit = Number(url.searchParams.get("limit") ?? 1000);
    const all = this.keys(prefix)
      .filter((key) => key > after)
      .sort();
    const items = all.slice(0, limit).map((path) => ({ path, ...this.store.get(path)! }));
    return { status: 200, body: { items, truncated: all.length > limit, epoch: this.epoch } };
  }
}

/** A fake of the state service that listens. */
export interface StateStandIn {
  store: StateStore;
  /** An address for each node, so that each can be refused alone. */
  addresses: string[];
  close(): void;
}

/** What happens to a transaction: it is executed and answered, its answer is lost, or it is executed late. */
export type TransactionFate = "answered" | "answer_lost" | { lateMs: number };

/** An answer that never comes. */
const never = (): Promise<Reply> => new Promise(() => undefined);

/** Starts the fake on loopback, with a server for each node. */
export async function stateService(
  nodes: number,
  fateOf: () => TransactionFate = () => "answered",
): Promise<StateStandIn> {
  const store = new StateStore();
  const handle = (node: number, method: string, url: URL, body: unknown): Reply | Promise<Reply> => {
    const fate = url.pathname === "/multi" ? fateOf() : "answered";
    if (fate === "answered") return store.handle(node, method, url, body);
    if (fate === "answer_lost") void store.handle(node, method, url, body);
    else
      setTimeout(() => {
        store.carryOut(body);
      }, fate.lateMs).unref();
    return never();
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
