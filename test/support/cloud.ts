/** A fake cloud whose machines each run a fake worker. */
import { sleep } from "../../src/runtime/sleep.js";
import { listen, type TestServer, type Reply } from "./http.js";
import {
  FakeWorker,
  type EndCause,
  type WorkerOptions,
  type WorkerNetwork,
  type WorkerObserver,
} from "./worker.js";

/** Receives events of the fake cloud and its machines. */
export interface CloudObserver extends WorkerObserver {
  rented?(order: string): void;
  returned?(host: string): void;
}

/** Handles the cloud's requests in memory; each rented machine runs a worker. */
export class FakeCloud implements WorkerObserver {
  readonly machines = new Map<string, FakeWorker>();
  /** Violations of the rule that a task runs on only one machine at a time. */
  readonly duplicateRuns: string[] = [];
  /** The task of every start, on any machine and in order; a task that was started again is listed again. */
  readonly startedTasks: string[] = [];
  /** How many of the next rental requests get an error response although the machines are rented. */
  rentalResponsesToFail = 0;
  /** The maximum number of machines that are rented at the same time. */
  capacity = Infinity;
  private readonly hostsByOrder = new Map<string, string[]>();
  private nextHostNumber = 1;

  constructor(
    private readonly network: WorkerNetwork,
    private readonly workerOptions: WorkerOptions,
    private readonly observer?: CloudObserver,
  ) {}

  started(task: string, worker: FakeWorker): void {
    this.startedTasks.push(task);
    for (const [otherHost, { running }] of this.machines)
      if (otherHost !== worker.host && running.has(task))
        this.duplicateRuns.push(`${task} on ${otherHost} and ${worker.host}`);
    this.observer?.started(task, worker);
  }

  completed(task: string): void {
    this.observer?.completed(task);
  }

  ended(task: string, worker: FakeWorker, cause: EndCause, at: number): void {
    this.observer?.ended?.(task, worker, cause, at);
  }

  /** The total number of machines rented so far, including returned ones. */
  get rentedCount(): number {
    return this.nextHostNumber - 1;
  }

  /** Handles one request to the cloud's API. */
  handle(_method: string, url: URL, body: unknown): Reply {
    if (url.pathname === "/flavors") {
      const small = { label: "small", vcpus: 4, cards: 0, memGb: 16, cacheGb: 50, pullGbPerS: 1 };
      const prices = { hourly: 1, lowPrice: 0.3, readyS: 2, banks: ["north", "south"] };
      return { status: 200, body: { breeds: [{ ...small, ...prices }] } };
    }
    if (url.pathname === "/rentals/return") {
      for (const host of (body as { hosts: string[] }).hosts) {
        this.observer?.returned?.(host);
        this.machines.get(host)?.stop();
        this.machines.delete(host);
      }
      return { status: 200 };
    }
    if (body === undefined) return { status: 200, body: { hosts: [], truncated: false } };
    const { hire, bank, loaners, count } = body as {
      hire: string;
      bank: string;
      loaners: boolean;
      count: number;
    };
    const hosts = this.rent(hire, bank, loaners, count);
    if (this.rentalResponsesToFail-- > 0) return { status: 500, body: { error: "lost" } };
    return hosts.length > 0
      ? { status: 200, body: { hosts } }
      : { status: 503, body: { error: "no capacity" } };
  }

  /** Stops all workers. */
  close(): void {
    for (const worker of this.machines.values()) worker.stop();
  }

  private rent(order: string, zone: string, spot: boolean, count: number): string[] {
    const existingHosts = this.hostsByOrder.get(order);
    if (existingHosts) return existingHosts;
    const grantedCount = Math.min(count, this.capacity - this.machines.size);
    this.observer?.rented?.(order);
    const hosts: string[] = [];
    for (let i = 0; i < grantedCount; i++) {
      const host = `i-${String(this.nextHostNumber++).padStart(6, "0")}`;
      hosts.push(host);
      this.machines.set(host, new FakeWorker(host, zone, spot, this.network, this.workerOptions, this));
    }
    if (hosts.length > 0) this.hostsByOrder.set(order, hosts);
    return hosts;
  }
}

/** Starts a fake cloud on loopback whose workers send their heartbeats over HTTP. */
export async function startFakeCloud(
  controllers: { node: string; address: string }[],
  workerOptions: WorkerOptions,
  observer?: CloudObserver,
  /** The delay of each response to a worker, in milliseconds. */
  answerDelayMs: () => number = () => 0,
): Promise<FakeCloud & TestServer> {
  const network: WorkerNetwork = {
    controllers: controllers.map(({ node }) => node),
    clock: () => performance.now(),
    send: async (_zone, node, text, timeoutMs) => {
      const response = await fetch(`http://${controllers[node]!.address}/agent/beat`, {
        method: "POST",
        body: text,
        signal: AbortSignal.timeout(timeoutMs),
      });
      const reply = { status: response.status, body: (await response.json()) as unknown };
      const delayMs = answerDelayMs();
      if (delayMs > 0) await sleep(delayMs);
      return reply;
    },
  };
  const fakeCloud = new FakeCloud(network, workerOptions, observer);
  const server = await listen((method, url, body) => fakeCloud.handle(method, url, body));
  const close = (): void => {
    FakeCloud.prototype.close.call(fakeCloud);
    server.close();
  };
  return Object.assign(fakeCloud, { address: server.address, close });
}
