/** A stand-in for the cloud: its machines run a worker stand-in each. */
import { sleep } from "../../src/runtime/sleep.js";
import { listen, type Listening, type Reply } from "./http.js";
import {
  WorkerStandIn,
  type EndCause,
  type WorkerFigures,
  type WorkerNetwork,
  type WorkerObserver,
} from "./worker.js";

/** What an observer beside the cloud and its machines sees. */
export interface CloudObserver extends WorkerObserver {
  rented?(order: string): void;
  returned?(host: string): void;
}

export class FakeCloud implements WorkerObserver {
  readonly machines = new Map<string, WorkerStandIn>();
  /** What went against the rule that a task runs on one machine at a time. */
  readonly duplicateRuns: string[] = [];
  /** Every start of a task, on whichever machine. */
  readonly startedTasks: string[] = [];
  /** Answers to rentals that are lost on the way, though the machines are rented. */
  rentalResponsesToDrop = 0;
  /** How many machines there are at the most. */
  capacity = Infinity;
  private readonly hostsByOrder = new Map<string, string[]>();
  private nextHostNumber = 1;

  constructor(
    private readonly network: WorkerNetwork,
    private readonly figures: WorkerFigures,
    private readonly observer?: CloudObserver,
  ) {}

  started(task: string, worker: WorkerStandIn): void {
    this.startedTasks.push(task);
    for (const [otherHost, { running }] of this.machines)
      if (otherHost !== worker.host && running.has(task))
        this.duplicateRuns.push(`${task} on ${otherHost} and ${worker.host}`);
    this.observer?.started(task, worker);
  }

  completed(task: string): void {
    this.observer?.completed(task);
  }

  ended(task: string, worker: WorkerStandIn, cause: EndCause, at: number): void {
    this.observer?.ended?.(task, worker, cause, at);
  }

  /** How many machines have ever been rented. */
  get rentedCount(): number {
    return this.nextHostNumber - 1;
  }

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
    if (this.rentalResponsesToDrop-- > 0) return { status: 500, body: { error: "lost" } };
    return hosts.length > 0
      ? { status: 200, body: { hosts } }
      : { status: 503, body: { error: "no capacity" } };
  }

  close(): void {
    for (const worker of this.machines.values()) worker.stop();
  }

  private rent(hire: string, bank: string, spot: boolean, count: number): string[] {
    const existingHosts = this.hostsByOrder.get(hire);
    if (existingHosts) return existingHosts;
    const grantedCount = Math.min(count, this.capacity - this.machines.size);
    this.observer?.rented?.(hire);
    const hosts: string[] = [];
    for (let i = 0; i < grantedCount; i++) {
      const host = `i-${String(this.nextHostNumber++).padStart(6, "0")}`;
      hosts.push(host);
      this.machines.set(host, new WorkerStandIn(host, bank, spot, this.network, this.figures, this));
    }
    if (hosts.length > 0) this.hostsByOrder.set(hire, hosts);
    return hosts;
  }
}

/** The stand-in on loopback, whose workers report over HTTP. */
export async function startFakeCloud(
  controllers: { node: string; address: string }[],
  workerOptions: WorkerFigures,
  observer?: CloudObserver,
  /** How long an answer to a worker is held up on its way. */
  answerDelayMs: () => number = () => 0,
): Promise<FakeCloud & Listening> {
  const network: WorkerNetwork = {
    controllers: controllers.map((c) => c.node),
    clock: () => performance.now(),
    send: async (_zone, node, text, timeoutMs) => {
      const response = await fetch(`http://${controllers[node]!.address}/agent/beat`, {
        method: "POST",
        body: text,
        signal: AbortSignal.timeout(timeoutMs),
      });
      const answer = { status: response.status, body: (await response.json()) as unknown };
      const delayMs = answerDelayMs();
      if (delayMs > 0) await sleep(delayMs);
      return answer;
    },
  };
  const standIn = new FakeCloud(network, workerOptions, observer);
  const server = await listen((method, url, body) => standIn.handle(method, url, body));
  const close = (): void => {
    FakeCloud.prototype.close.call(standIn);
    server.close();
  };
  return Object.assign(standIn, { address: server.address, close });
}
