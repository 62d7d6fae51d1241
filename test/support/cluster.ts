/** Real controller processes on loopback, against the stand-ins. */
import { spawn, type ChildProcess } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { createServer, type AddressInfo } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { sleep } from "../../src/runtime/wait.js";
import { cloud, type Cloud } from "./cloud.js";
import type { Listening } from "./http.js";
import type { WorkerFigures } from "./worker.js";
import { settingsText } from "./settings.js";
import { stateService, type StateStandIn, type StateStore } from "./state-service.js";

/** Short enough for tests, long enough for a loaded machine: everything else follows from these. */
const FIGURES = { reportMs: 200, leaseMs: 4000, runMs: 600 };

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

export class Cluster {
  private readonly processes = new Map<string, ChildProcess>();
  private readonly folder = mkdtempSync(join(tmpdir(), "fernpond-test-"));

  private constructor(
    private readonly service: StateStandIn,
    readonly cloud: Cloud & Listening,
    readonly nodes: { node: string; address: string; back: string }[],
    /** What all workers are like, those yet to come included. */
    readonly workers: WorkerFigures,
  ) {}

  get state(): StateStore {
    return this.service.store;
  }

  static async start(count: number): Promise<Cluster> {
    const nodes = [];
    for (let i = 0; i < count; i++) {
      const [port, back] = [await freePort(), await freePort()];
      nodes.push({ node: `node-${i}`, address: `${HOST}:${port}`, back: `${HOST}:${back}` });
    }
    const workers = { ...FIGURES };
    const cluster = new Cluster(await stateService(count), await cloud(nodes, workers), nodes, workers);
    for (const { node } of nodes) cluster.launch(node);
    return cluster;
  }

  launch(name: string): void {
    const self = this.nodes.find((n) => n.node === name)!;
    const file = join(this.folder, `${name}.toml`);
    const text = settingsText({
      node: name,
      listen: self.address,
      back: self.back,
      peers: this.nodes.filter((n) => n !== self).map((n) => ({ node: n.node, address: n.back })),
      cloud: this.cloud.address,
      state: this.service.addresses[this.nodes.indexOf(self)]!,
      controllers: this.nodes.length,
      reportS: FIGURES.reportMs / 1000,
      leaseS: FIGURES.leaseMs / 1000,
      cancelS: (4 * FIGURES.leaseMs) / 1000,
    });
    writeFileSync(file, text);
    const env = { ...process.env, LOG_LEVEL: "error" };
    this.processes.set(
      name,
      spawn(process.execPath, ["target/fernpond.js", "--config", file], { env, stdio: "ignore" }),
    );
  }

  /** Ends a controller without any warning. */
  async kill(name: string): Promise<void> {
    const child = this.processes.get(name)!;
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
    this.cloud.close();
    this.service.close();
    rmSync(this.folder, { recursive: true });
    return Promise.resolve();
  }

  /** One request to one controller; status 0 if it did not answer. */
  async request(node: number, method: string, path: string, body?: unknown): Promise<Answer> {
    try {
      const response = await fetch(`http://${this.nodes[node]!.address}${path}`, {
        method,
        body: body === undefined ? null : typeof body === "string" ? body : JSON.stringify(body),
        signal: AbortSignal.timeout(5000),
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
      await sleep(FIGURES.reportMs / 2);
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
