/** Real controller processes on loopback, against the stand-ins. */
import { spawn, type ChildProcess } from "node:child_process";
import { closeSync, mkdtempSync, openSync, rmSync, writeFileSync } from "node:fs";
import { createServer, type AddressInfo } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { sleep } from "../../src/runtime/sleep.js";
import type { Direction } from "../../src/links/model.js";
import { startFakeCloud, type FakeCloud, type CloudObserver } from "./cloud.js";
import { FaultProxy, type CutMode } from "./fault-proxy.js";
import type { HistoryEvent } from "./history-checker.js";
import type { TestServer } from "./http.js";
import type { EndCause, WorkerOptions, FakeWorker } from "./worker.js";
import { settingsText } from "./settings.js";
import {
  startFakeStateService,
  type FakeStateService,
  type FakeStateStore,
  type TransactionDelivery,
} from "./state-service.js";

/** Short enough for tests, long enough for a loaded machine: everything else follows from these. */
const FIGURES: ClusterFigures = { heartbeatIntervalMs: 200, leaseMs: 4000, runMs: 600, cancelMs: 16_000 };

/** How long a test waits for something that must happen before it gives up; says nothing about how fast it is. */
const QUEUE_TIMEOUT_MS = 60_000;

/**
 * The loopback address of this test process's controllers. A controller that is killed gives up its port until it is
 * launched again; on an address of their own no stand-in, of this or another test, can be given that port meanwhile and
 * answer in its place.
 */
const HOST = `127.${1 + ((process.pid >> 16) & 127)}.${(process.pid >> 8) & 255}.${1 + (process.pid % 254)}`;

function freePort(): Promise<number> {
  const server = createServer();
  return new Promise((resolve) =>
    server.listen(0, HOST, () => {
      const { port } = server.address() as AddressInfo;
      server.close(() => {
        resolve(port);
      });
    }),
  );
}

export interface Answer {
  status: number;
  body: Record<string, unknown>;
}

/** A link of a controller that tests can cut. */
export type CuttableLink = "state" | "workers" | "cloud" | "users" | "peers";

export interface ClusterOptions {
  /** The operators' file. */
  operator?: string;
  /** Whether every link passes through a proxy that can cut it. */
  proxied?: boolean;
  /** Workers' intervals and lease, where tests need others. */
  figures?: ClusterFigures;
  teams?: string;
  /** The folder that controllers' logs go to; they are thrown away otherwise. */
  logFolder?: string;
  /** Told of what the cloud and its machines see, beside the history. */
  observer?: CloudObserver;
  /** What becomes of transactions on their way to the state service. */
  transactionFate?: () => TransactionDelivery;
  /** How long answers to workers are held up. */
  answerDelayMs?: () => number;
}

/** Durations that everything in a cluster follows from. */
export interface ClusterFigures extends WorkerOptions {
  cancelMs: number;
}

/** Writes down what workers and the cloud see. */
class HistoryRecorder implements CloudObserver {
  history: HistoryEvent[] = [];

  constructor(private readonly beside: CloudObserver | undefined) {}

  started(piece: string, worker: FakeWorker): void {
    this.history.push({ kind: "started", piece, host: worker.host });
    this.beside?.started(piece, worker);
  }

  completed(piece: string): void {
    // Seen as the end of an attempt.
    this.beside?.completed(piece);
  }

  ended(piece: string, worker: FakeWorker, cause: EndCause, at: number): void {
    this.history.push({ kind: "ended", piece, host: worker.host, cause });
    this.beside?.ended?.(piece, worker, cause, at);
  }

  rented(order: string): void {
    this.history.push({ kind: "rented", order });
  }

  returned(host: string): void {
    this.history.push({ kind: "returned", host });
  }
}

export class Cluster {
  private readonly processes = new Map<string, ChildProcess>();
  private readonly folder = mkdtempSync(join(tmpdir(), "fernpond-test-"));
  /** What everybody outside the controllers saw, in order. */
  readonly history: HistoryEvent[] = [];
  private readonly proxies = new Map<string, FaultProxy>();

  private constructor(
    private readonly service: FakeStateService,
    readonly cloud: FakeCloud & TestServer,
    readonly nodes: { node: string; address: string; back: string }[],
    /** What all workers are like, those yet to come included. */
    readonly workers: ClusterFigures,
    private readonly options: ClusterOptions,
  ) {}

  get state(): FakeStateStore {
    return this.service.store;
  }

  static async start(count: number, options: ClusterOptions = {}): Promise<Cluster> {
    const nodes = [];
    for (let i = 0; i < count; i++) {
      const [port, back] = [await freePort(), await freePort()];
      nodes.push({ node: `node-${i}`, address: `${HOST}:${port}`, back: `${HOST}:${back}` });
    }
    const workers = { ...(options.figures ?? FIGURES) };
    const service = await startFakeStateService(count, options.transactionFate);
    // Workers reach controllers through proxies where there are any, whose addresses are known only then.
    const reached = nodes.map(({ node, address }) => ({ node, address }));
    const observer = new HistoryRecorder(options.observer);
    const standIn = await startFakeCloud(reached, workers, observer, options.answerDelayMs);
    const cluster = new Cluster(service, standIn, nodes, workers, options);
    observer.history = cluster.history;
    cluster.recordChanges();
    if (options.proxied) await cluster.startProxies(reached);
    for (const { node } of nodes) cluster.launch(node);
    return cluster;
  }

  private recordChanges(): void {
    this.state.onChange = (change) =>
      this.history.push(
        "put" in change
          ? { kind: "recorded", key: change.put, value: change.value }
          : { kind: "removed", key: change.remove },
      );
  }

  private async startProxies(reached: { node: string; address: string }[]): Promise<void> {
    for (const [i, self] of this.nodes.entries()) {
      const add = async (link: string, target: string): Promise<void> => {
        this.proxies.set(`${self.node} ${link}`, await FaultProxy.start(() => target));
      };
      await add("state", this.service.addresses[i]!);
      await add("cloud", this.cloud.address);
      await add("workers", self.address);
      await add("users", self.address);
      for (const peer of this.nodes) if (peer !== self) await add(`peer:${peer.node}`, peer.back);
      reached[i]!.address = this.route(self.node, "workers", self.address);
    }
  }

  /** The address that leads to a controller's neighbour: through a proxy where there is one. */
  private route(node: string, link: string, address: string): string {
    return this.proxies.get(`${node} ${link}`)?.address ?? address;
  }

  /**
   * Cuts a link of a controller, as that controller sees it: `outbound` is what it sends. Links to peers are cut with all
   * of them, whoever opened the connection.
   */
  cut(node: string, link: CuttableLink, mode: CutMode, ...directions: Direction[]): void {
    for (const { proxy, opensHere } of this.proxiesOf(node, link))
      proxy.cut(
        mode,
        ...directions.map((direction) =>
          (direction === "outbound") === opensHere ? ("toServer" as const) : ("toClient" as const),
        ),
      );
  }

  heal(node: string, link: CuttableLink): void {
    for (const { proxy } of this.proxiesOf(node, link)) proxy.heal();
  }

  private proxiesOf(node: string, link: CuttableLink): { proxy: FaultProxy; opensHere: boolean }[] {
    const found: { proxy: FaultProxy; opensHere: boolean }[] = [];
    for (const [name, proxy] of this.proxies) {
      const [owner, route = ""] = name.split(" ");
      const asPeers = link === "peers" && route.startsWith("peer:");
      if (owner === node && (route === link || asPeers))
        found.push({ proxy, opensHere: link !== "workers" && link !== "users" });
      else if (asPeers && route === `peer:${node}`) found.push({ proxy, opensHere: false });
    }
    return found;
  }

  launch(name: string): void {
    const self = this.nodes.find((n) => n.node === name)!;
    const file = this.settingsFile(name);
    const text = settingsText({
      node: name,
      listen: self.address,
      peerListen: self.back,
      peers: this.nodes
        .filter((n) => n !== self)
        .map((n) => ({ node: n.node, address: this.route(name, `peer:${n.node}`, n.back) })),
      cloud: this.route(name, "cloud", this.cloud.address),
      state: this.route(name, "state", this.service.addresses[this.nodes.indexOf(self)]!),
      controllers: this.nodes.length,
      heartbeatIntervalS: this.workers.heartbeatIntervalMs / 1000,
      leaseS: this.workers.leaseMs / 1000,
      cancelS: this.workers.cancelMs / 1000,
      ...(this.options.teams === undefined ? {} : { teams: this.options.teams }),
    });
    writeFileSync(file, text);
    const { logFolder } = this.options;
    const logFile = logFolder === undefined ? null : openSync(join(logFolder, `${name}.log`), "a");
    const env = { ...process.env, LOG_LEVEL: logFile === null ? "error" : "info" };
    const operator = this.options.operator === undefined ? [] : ["--operator", this.options.operator];
    this.processes.set(
      name,
      spawn(process.execPath, ["target/fernpond.js", ...operator, "--config", file], {
        env,
        stdio: ["ignore", "ignore", logFile ?? "ignore"],
      }),
    );
    if (logFile !== null) closeSync(logFile);
  }

  /** The settings file of a controller, for commands that are run beside it. */
  settingsFile(name: string): string {
    return join(this.folder, `${name}.toml`);
  }

  /** Ends a controller without any warning. */
  async kill(name: string): Promise<void> {
    const child = this.processes.get(name)!;
    if (child.exitCode !== null || child.signalCode !== null) return;
    const gone = new Promise((resolve) => child.once("exit", resolve));
    child.kill("SIGKILL");
    await gone;
  }

  /** A controller stands still, or goes on with whatever has come meanwhile. */
  pause(name: string, paused: boolean): void {
    this.processes.get(name)!.kill(paused ? "SIGSTOP" : "SIGCONT");
  }

  /** Which node the records name as the owner of a shard. */
  ownerOf(shard: number): string {
    return (this.state.value(`fernpond/live/shards/${shard}`) as { node: string }).node;
  }

  stop(): Promise<void> {
    for (const child of this.processes.values()) child.kill("SIGKILL");
    for (const proxy of this.proxies.values()) proxy.close();
    this.cloud.close();
    this.service.close();
    rmSync(this.folder, { recursive: true });
    return Promise.resolve();
  }

  /** One request to one controller; status 0 if it did not answer. */
  async request(
    node: number,
    method: string,
    path: string,
    body?: unknown,
    timeoutMs = 5000,
  ): Promise<Answer> {
    try {
      const { node: name, address } = this.nodes[node]!;
      const response = await fetch(`http://${this.route(name, "users", address)}${path}`, {
        method,
        body: body === undefined ? null : typeof body === "string" ? body : JSON.stringify(body),
        signal: AbortSignal.timeout(timeoutMs),
      });
      return { status: response.status, body: (await response.json()) as Record<string, unknown> };
    } catch {
      return { status: 0, body: {} };
    }
  }

  /** Repeats a request until its answer is as wanted, as users do. */
  async until(ask: () => Promise<Answer>, wanted: (answer: Answer) => boolean): Promise<Answer> {
    const giveUpAt = performance.now() + QUEUE_TIMEOUT_MS;
    for (;;) {
      const answer = await ask();
      if (wanted(answer)) return answer;
      if (performance.now() > giveUpAt) throw new Error(`still ${JSON.stringify(answer)}`);
      await sleep(this.workers.heartbeatIntervalMs / 2);
    }
  }
}

export function submission(id: string, over: Record<string, unknown> = {}): Record<string, unknown> {
  return {
    nameId: id,
    lane: "batch",
    crew: "free",
    shape: "array",
    rank: "normal",
    pieces: 6,
    vcpus: 1,
    cards: 0,
    memGb: 1,
    bundle: "img",
    imageGb: 0.1,
    together: false,
    spread: false,
    loaners: true,
    guessS: 1,
    markEveryS: 0,
    markCostS: 0,
    ...over,
  };
}
