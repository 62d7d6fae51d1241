/** Runs real controller processes on loopback against a fake cloud, fake workers and a fake state service. */
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

/** Short enough for tests and long enough for a loaded machine; other durations are derived from these. */
const DEFAULT_TIMINGS: ClusterTimings = {
  heartbeatIntervalMs: 200,
  leaseMs: 4000,
  runMs: 600,
  cancelMs: 16_000,
};

/** The time-out of polling for a condition; a safety limit, not a performance requirement. */
const POLL_TIMEOUT_MS = 60_000;

/**
 * The loopback address of this test process's controllers. A killed controller's port is free until the controller is
 * launched again. Because fakes and other tests use other addresses, none of them can be given that port in the
 * meantime and respond instead of the controller.
 */
const CONTROLLER_HOST = `127.${1 + ((process.pid >> 16) & 127)}.${(process.pid >> 8) & 255}.${1 + (process.pid % 254)}`;

function findFreePort(): Promise<number> {
  const server = createServer();
  return new Promise((resolve) =>
    server.listen(0, CONTROLLER_HOST, () => {
      const { port } = server.address() as AddressInfo;
      server.close(() => {
        resolve(port);
      });
    }),
  );
}

/** The response to a request; status 0 means that there was none. */
export interface Answer {
  status: number;
  body: Record<string, unknown>;
}

/** The links of a controller that tests can cut; `peers` stands for the links to all other controllers. */
export type CuttableLink = "state" | "workers" | "cloud" | "users" | "peers";

/** Options of a test cluster. */
export interface ClusterOptions {
  /** The path of the operator's configuration file. */
  operatorFile?: string;
  /** Whether every link goes through a proxy that can cut it. */
  isProxied?: boolean;
  /** Replaces the default timings. */
  timings?: ClusterTimings;
  /** The `teams` tables of the settings, in TOML. */
  teams?: string;
  /** The folder for the controllers' logs, which are discarded by default. */
  logFolder?: string;
  /** Receives the events of the cloud and its machines in addition to the history. */
  observer?: CloudObserver;
  /** Chooses how the state service handles each transaction. */
  transactionDelivery?: () => TransactionDelivery;
  /** Returns the delay of the next response to a worker, in milliseconds. */
  answerDelayMs?: () => number;
}

/** The durations from which the settings of a cluster are derived, and the behaviour of its workers. */
export interface ClusterTimings extends WorkerOptions {
  cancelMs: number;
}

/** Records the events of workers and the cloud in the history. */
class HistoryRecorder implements CloudObserver {
  history: HistoryEvent[] = [];

  constructor(private readonly forwardTo: CloudObserver | undefined) {}

  started(task: string, worker: FakeWorker): void {
    this.history.push({ kind: "started", task, host: worker.host });
    this.forwardTo?.started(task, worker);
  }

  completed(task: string): void {
    // The history records a completion as the end of an attempt.
    this.forwardTo?.completed(task);
  }

  ended(task: string, worker: FakeWorker, cause: EndCause, at: number): void {
    this.history.push({ kind: "ended", task, host: worker.host, cause });
    this.forwardTo?.ended?.(task, worker, cause, at);
  }

  rented(order: string): void {
    this.history.push({ kind: "rented", order });
  }

  returned(host: string): void {
    this.history.push({ kind: "returned", host });
  }
}

/** A cluster of real controller processes whose dependencies are fakes in this process. */
export class Cluster {
  private readonly processes = new Map<string, ChildProcess>();
  private readonly folder = mkdtempSync(join(tmpdir(), "fernpond-test-"));
  /** The events that users, workers, the cloud and the state service observed, in order. */
  readonly history: HistoryEvent[] = [];
  private readonly proxies = new Map<string, FaultProxy>();

  private constructor(
    private readonly service: FakeStateService,
    readonly cloud: FakeCloud & TestServer,
    readonly nodes: { node: string; address: string; peerAddress: string }[],
    /** The options of all workers, including those of machines that are rented later. */
    readonly workers: ClusterTimings,
    private readonly options: ClusterOptions,
  ) {}

  get state(): FakeStateStore {
    return this.service.store;
  }

  /** Starts a number of controllers, without waiting until they are up. */
  static async start(count: number, options: ClusterOptions = {}): Promise<Cluster> {
    const nodes = [];
    for (let i = 0; i < count; i++) {
      const [port, peerPort] = [await findFreePort(), await findFreePort()];
      nodes.push({
        node: `node-${i}`,
        address: `${CONTROLLER_HOST}:${port}`,
        peerAddress: `${CONTROLLER_HOST}:${peerPort}`,
      });
    }
    const workers = { ...(options.timings ?? DEFAULT_TIMINGS) };
    const service = await startFakeStateService(count, options.transactionDelivery);
    // The addresses that workers use; startProxies() replaces them by the proxies' addresses.
    const workerRoutes = nodes.map(({ node, address }) => ({ node, address }));
    const observer = new HistoryRecorder(options.observer);
    const cloud = await startFakeCloud(workerRoutes, workers, observer, options.answerDelayMs);
    const cluster = new Cluster(service, cloud, nodes, workers, options);
    observer.history = cluster.history;
    cluster.recordStateChanges();
    if (options.isProxied) await cluster.startProxies(workerRoutes);
    for (const { node } of nodes) cluster.launch(node);
    return cluster;
  }

  private recordStateChanges(): void {
    this.state.onChange = (change) =>
      this.history.push(
        "put" in change
          ? { kind: "recorded", key: change.put, value: change.value }
          : { kind: "removed", key: change.remove },
      );
  }

  private async startProxies(workerRoutes: { node: string; address: string }[]): Promise<void> {
    for (const [i, self] of this.nodes.entries()) {
      const add = async (link: string, target: string): Promise<void> => {
        this.proxies.set(`${self.node} ${link}`, await FaultProxy.start(() => target));
      };
      await add("state", this.service.addresses[i]!);
      await add("cloud", this.cloud.address);
      await add("workers", self.address);
      await add("users", self.address);
      for (const peer of this.nodes) if (peer !== self) await add(`peer:${peer.node}`, peer.peerAddress);
      workerRoutes[i]!.address = this.addressOf(self.node, "workers", self.address);
    }
  }

  /** Returns the address of the proxy on a controller's link, or the direct address if there is no proxy. */
  private addressOf(node: string, link: string, address: string): string {
    return this.proxies.get(`${node} ${link}`)?.address ?? address;
  }

  /**
   * Cuts a link of a controller. Directions are from that controller's point of view: `outbound` is what it sends. For
   * `peers`, the links to all peers are cut, whichever side opened the connection.
   */
  cut(node: string, link: CuttableLink, mode: CutMode, ...directions: Direction[]): void {
    for (const { proxy, isClient } of this.proxiesOf(node, link))
      proxy.cut(
        mode,
        ...directions.map((direction) =>
          (direction === "outbound") === isClient ? ("toServer" as const) : ("toClient" as const),
        ),
      );
  }

  /** Restores a link in both directions. */
  heal(node: string, link: CuttableLink): void {
    for (const { proxy } of this.proxiesOf(node, link)) proxy.heal();
  }

  /** The proxies on a link; `isClient` tells whether the controller opens the connections through the proxy. */
  private proxiesOf(node: string, link: CuttableLink): { proxy: FaultProxy; isClient: boolean }[] {
    const found: { proxy: FaultProxy; isClient: boolean }[] = [];
    for (const [name, proxy] of this.proxies) {
      const [owner, proxiedLink = ""] = name.split(" ");
      const isPeerLink = link === "peers" && proxiedLink.startsWith("peer:");
      if (owner === node && (proxiedLink === link || isPeerLink))
        found.push({ proxy, isClient: link !== "workers" && link !== "users" });
      else if (isPeerLink && proxiedLink === `peer:${node}`) found.push({ proxy, isClient: false });
    }
    return found;
  }

  /** Writes a controller's settings file and starts its process. */
  launch(name: string): void {
    const self = this.nodes.find((n) => n.node === name)!;
    const file = this.settingsFile(name);
    const text = settingsText({
      node: name,
      listen: self.address,
      peerListen: self.peerAddress,
      peers: this.nodes
        .filter((n) => n !== self)
        .map((n) => ({ node: n.node, address: this.addressOf(name, `peer:${n.node}`, n.peerAddress) })),
      cloud: this.addressOf(name, "cloud", this.cloud.address),
      state: this.addressOf(name, "state", this.service.addresses[this.nodes.indexOf(self)]!),
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
    const operatorOptions =
      this.options.operatorFile === undefined ? [] : ["--operator", this.options.operatorFile];
    this.processes.set(
      name,
      spawn(process.execPath, ["target/fernpond.js", ...operatorOptions, "--config", file], {
        env,
        stdio: ["ignore", "ignore", logFile ?? "ignore"],
      }),
    );
    if (logFile !== null) closeSync(logFile);
  }

  /** The path of a controller's settings file, for commands that are run against it. */
  settingsFile(name: string): string {
    return join(this.folder, `${name}.toml`);
  }

  /** Kills a controller with SIGKILL, unless it has exited, and waits until its process is gone. */
  async kill(name: string): Promise<void> {
    const child = this.processes.get(name)!;
    if (child.exitCode !== null || child.signalCode !== null) return;
    const exited = new Promise((resolve) => child.once("exit", resolve));
    child.kill("SIGKILL");
    await exited;
  }

  /** Suspends a controller's process, or resumes it with the input that has arrived in the meantime. */
  pause(name: string, paused: boolean): void {
    this.processes.get(name)!.kill(paused ? "SIGSTOP" : "SIGCONT");
  }

  /** Returns the node that is recorded as the owner of a shard. */
  ownerOf(shard: number): string {
    return (this.state.value(`fernpond/live/shards/${shard}`) as { node: string }).node;
  }

  /** Kills all controllers and stops the proxies and fakes. */
  stop(): Promise<void> {
    for (const child of this.processes.values()) child.kill("SIGKILL");
    for (const proxy of this.proxies.values()) proxy.close();
    this.cloud.close();
    this.service.close();
    rmSync(this.folder, { recursive: true });
    return Promise.resolve();
  }

  /** Sends one request to one controller; the status is 0 if no response arrives within the time-out. */
  async request(
    node: number,
    method: string,
    path: string,
    body?: unknown,
    timeoutMs = 5000,
  ): Promise<Answer> {
    try {
      const { node: name, address } = this.nodes[node]!;
      const response = await fetch(`http://${this.addressOf(name, "users", address)}${path}`, {
        method,
        body: body === undefined ? null : typeof body === "string" ? body : JSON.stringify(body),
        signal: AbortSignal.timeout(timeoutMs),
      });
      return { status: response.status, body: (await response.json()) as Record<string, unknown> };
    } catch {
      return { status: 0, body: {} };
    }
  }

  /** Repeats a request until its response is as expected; throws after the polling time-out. */
  async until(send: () => Promise<Answer>, isExpected: (response: Answer) => boolean): Promise<Answer> {
    const deadline = performance.now() + POLL_TIMEOUT_MS;
    for (;;) {
      const response = await send();
      if (isExpected(response)) return response;
      if (performance.now() > deadline)
        throw new Error(`timed out; last response: ${JSON.stringify(response)}`);
      await sleep(this.workers.heartbeatIntervalMs / 2);
    }
  }
}

/** Builds the body of a job submission. */
export function submission(id: string, overrides: Record<string, unknown> = {}): Record<string, unknown> {
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
    ...overrides,
  };
}
