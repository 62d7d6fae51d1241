/** A stand-in for the cloud: its machines run a worker stand-in each. */
import { sleep } from "../../src/runtime/sleep.js";
import { listen, type TestServer, type Reply } from "./http.js";
import {
  FakeWorker,
  type EndCause,
  type WorkerOptions,
  type WorkerNetwork,
  type WorkerObserver,
} from "./worker.js";

/** What an observer beside the cloud and its machines sees. */
export interface CloudObserver extends WorkerObserver {
  rented?(order: string): void;
  returned?(host: string): void;
}

export class Cloud implements WorkerObserver {
  readonly machines = new Map<string, FakeWorker>();
  /** What went against the rule that a task runs on one machine at a time. */
  readonly ranTwice: string[] = [];
  /** Every start of a task, on whichever machine. */
  readonly starts: string[] = [];
  /** Answers to rentals that are lost on the way, though the machines are rented. */
  loseAnswers = 0;
  /** How many machines there are at the most. */
  capacity = Infinity;
  private readonly rented = new Map<string, string[]>();
  private next = 1;

  constructor(
    private readonly network: WorkerNetwork,
    private readonly figures: WorkerOptions,
    private readonly observer?: CloudObserver,
  ) {}

  started(piece: string, worker: FakeWorker): void {
    this.starts.push(piece);
    for (const [other, { running }] of this.machines)
      if (other !== worker.host && running.has(piece))
        this.ranTwice.push(`${piece} on ${other} and ${worker.host}`);
    this.observer?.started(piece, worker);
  }

  completed(piece: string): void {
    this.observer?.completed(piece);
  }

  ended(piece: string, worker: FakeWorker, cause: EndCause, at: number): void {
    this.observer?.ended?.(piece, worker, cause, at);
  }

  /** How many machines have ever been rented. */
  get rentedCount(): number {
    return this.next - 1;
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
    if (this.loseAnswers-- > 0) return { status: 500, body: { error: "lost" } };
    return hosts.length > 0
      ? { status: 200, body: { hosts } }
      : { status: 503, body: { error: "no capacity" } };
  }

  close(): void {
    for (const worker of this.machines.values()) worker.stop();
  }

  private rent(hire: string, bank: string, spot: boolean, count: number): string[] {
    const known = this.rented.get(hire);
    if (known) return known;
    const most = Math.min(count, this.capacity - this.machines.size);
    this.observer?.rented?.(hire);
    const hosts: string[] = [];
    for (let i = 0; i < most; i++) {
      const host = `i-${String(this.next++).padStart(6, "0")}`;
      hosts.push(host);
      this.machines.set(host, new FakeWorker(host, bank, spot, this.network, this.figures, this));
    }
    if (hosts.length > 0) this.rented.set(hire, hosts);
    return hosts;
  }
}

/** The stand-in on loopback, whose workers report over HTTP. */
export async function cloud(
  controllers: { node: string; address: string }[],
  figures: WorkerOptions,
  observer?: CloudObserver,
  /** How long an answer to a worker is held up on its way. */
  answerDelayMs: () => number = () => 0,
): Promise<Cloud & TestServer> {
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
  const standIn = new Cloud(network, figures, observer);
  const door = await listen((method, url, body) => standIn.handle(method, url, body));
  const close = (): void => {
    Cloud.prototype.close.call(standIn);
    door.close();
  };
  return Object.assign(standIn, { address: door.address, close });
}
