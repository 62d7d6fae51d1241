/* eslint-disable max-lines -- the world is one object that the fault combinations act on; its parts are in files of their own */
/**
 * A whole deployment in one process and in simulated time: real controllers, and the stand-ins for all that is around
 * them. Luck is seeded, so that a run repeats. What the rules forbid is noted from the workers' and the users' side.
 */
import { mock } from "node:test";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { Controller } from "../../src/controller/controller.js";
import { checkOperatorSettings, type OperatorSettings } from "../../src/config/operator.js";
import type { Settings } from "../../src/config/settings.js";
import type { Direction } from "../../src/links/model.js";
import { NoResponseError, type JsonResponse, type JsonClient } from "../../src/runtime/json-client.js";
import { sleep } from "../../src/runtime/sleep.js";
import { PeerUnreachableError, type PeerNetwork } from "../../src/peers/peer-network.js";
import type { PeerReply, PeerRequest } from "../../src/peers/peer-messages.js";
import { parseHeartbeat, redirectToWire } from "../../src/wire/index.js";
import { FakeCloud } from "./cloud.js";
import { submission, type Answer } from "./cluster.js";
import { silentLogger } from "./records.js";
import { RuleWatch } from "./rule-watch.js";
import { testSettings, type SettingsOptions } from "./settings.js";
import { FakeStateStore } from "./state-service.js";
import { UserJob } from "./user-job.js";
import type { WorkerOptions } from "./worker.js";

export type { UserJob };

/** All clocks move on in steps of so much. */
const STEP_MS = 10;
/** How long a user waits for the answer to a question. */
const USER_WAIT_MS = 2000;
const POLL_MS = 5000;
const RETRY_MS = 1000;

const ZONES = ["north", "south"];

/** The platform's settings, and the operators' file as it is read. */
export interface SimulationOptions extends SettingsOptions {
  operator?: unknown;
}

/** One life of a controller: what it began goes nowhere once it is over. */
interface Life {
  alive: boolean;
  controller: Controller;
  end(): void;
}

/** A cut of both directions, of one as the controller sees it, or none. */
export type Cut = boolean | Direction;

/** Whether what goes in a direction passes. */
const passes = (cut: Cut, direction: Direction): boolean =>
  cut === false || (cut !== true && cut !== direction);

/** What a controller can be cut off from. */
export interface Cuts {
  state: Cut;
  peers: Cut;
  workers: Cut;
  cloud: Cut;
  users: Cut;
  /** What it asks of the state service is answered, but for the changes that it waits for. */
  feed: boolean;
}

export class SimulatedNode {
  life: Life | null = null;
  readonly cut: Cuts = {
    state: false,
    peers: false,
    workers: false,
    cloud: false,
    users: false,
    feed: false,
  };

  constructor(
    readonly name: string,
    readonly index: number,
    readonly zone: string,
  ) {}
}

export class Simulation {
  now = 0;
  /** How many questions controllers have asked each other. */
  peerQuestions = 0;
  readonly store = new FakeStateStore();
  readonly cloud: FakeCloud;
  readonly nodes: SimulatedNode[];
  readonly jobs = new Map<string, UserJob>();
  /** What went against the rules. */
  readonly broken: string[] = [];
  readonly workers: WorkerOptions;
  readonly settings: Settings;
  /** The part of the transactions that get no answer and are carried out seconds later. */
  lateWrites = 0;
  stateLatencyMs = 4;
  /** Answers to workers are held up for so long at the most. */
  answersHeldMs = 0;
  /** A zone that is cut off from everything outside it. */
  cutZone: string | null = null;
  /** When all faults were over: from then on nobody may be neglected. */
  calmSince = Infinity;
  /** Whether copies of reports are kept, to arrive late. */
  keepsReports = false;
  private readonly kept: { zone: string; text: string }[] = [];
  private readonly onStart = new Map<string, () => void>();
  readonly rules = new RuleWatch(this);
  private readonly luck: ReturnType<typeof xoroshiro128plus>;

  private constructor(
    count: number,
    seed: number,
    private readonly options: SimulationOptions,
    private readonly operator: OperatorSettings,
  ) {
    this.luck = xoroshiro128plus(seed);
    mock.timers.enable({ apis: ["setTimeout", "setInterval", "Date"], now: 1_700_000_000_000 });
    mock.method(Math, "random", () => this.chance());
    // Names that never come again are part of the luck: the order of records hangs on them.
    mock.method(crypto, "randomUUID", () => `${this.pick(2 ** 31)}-${this.pick(2 ** 31)}`);
    this.nodes = Array.from({ length: count }, (_, i) => new SimulatedNode(`node-${i}`, i, ZONES[i % 2]!));
    this.settings = this.settingsOf(this.nodes[0]!);
    const { heartbeatIntervalMs: heartbeatIntervalMs, leaseMs } = this.settings.workers;
    this.workers = {
      heartbeatIntervalMs,
      leaseMs,
      bootMs: 2000,
      runMs: 20_000,
      timeoutMs: 4000,
      retryMs: RETRY_MS,
    };
    this.cloud = new FakeCloud(
      {
        controllers: this.nodes.map((n) => n.name),
        clock: () => this.now,
        send: (zone, node, text, timeoutMs) => this.report(zone, this.nodes[node]!, text, timeoutMs),
      },
      this.workers,
      {
        started: (piece, worker) => {
          this.rules.started(piece, worker);
          this.onStart.get(piece)?.();
          this.onStart.delete(piece);
        },
        completed: (piece) => {
          this.finished(piece);
        },
      },
    );
  }

  static start(count: number, seed: number, options: SimulationOptions = {}): Simulation {
    const world = new Simulation(count, seed, options, checkOperatorSettings(options.operator ?? {}));
    for (const node of world.nodes) world.launch(node);
    return world;
  }

  close(): void {
    for (const node of this.nodes) this.crash(node);
    this.cloud.close();
    this.store.close();
    mock.timers.reset();
    mock.restoreAll();
  }

  chance(): number {
    return (this.luck.next() >>> 0) / 2 ** 32;
  }

  pick(below: number): number {
    return Math.floor(this.chance() * below);
  }

  // --- time

  async run(ms: number): Promise<void> {
    const until = this.now + ms;
    while (this.now < until) {
      mock.timers.tick(STEP_MS);
      this.now += STEP_MS;
      await settled();
      if (this.now % (50 * STEP_MS) !== 0) continue;
      this.rules.watchCancelled();
      this.checkDecisions();
      if (this.now > this.calmSince) this.rules.watchNeglected();
    }
  }

  async runUntil(met: () => boolean, mostMs: number): Promise<boolean> {
    const until = this.now + mostMs;
    while (!met() && this.now < until) await this.run(10 * STEP_MS);
    return met();
  }

  // --- controllers

  private settingsOf(node: SimulatedNode): Settings {
    const others = this.nodes.filter((n) => n !== node);
    const peers = others.map((n) => ({ node: n.name, address: "127.0.0.1:1" }));
    return testSettings({ controllers: this.nodes.length, ...this.options, node: node.name, peers });
  }

  launch(node: SimulatedNode): void {
    this.crash(node);
    const life: Partial<Life> = { alive: true };
    // Each process has a steady clock of its own, which drifts as much as is allowed.
    const drift = 1 + (this.chance() - 0.5) * 0.001;
    const since = this.now;
    const state = (alsoCut: () => boolean): JsonClient =>
      this.caller(
        life,
        (direction) => passes(node.cut.state, direction) && node.zone !== this.cutZone && !alsoCut(),
        (method, path, body) => this.askState(node.index, method, path, body),
      );
    const around = {
      clock: () => (this.now - since) * drift,
      state: state(() => false),
      watches: state(() => node.cut.feed),
      cloud: this.caller(
        life,
        (direction) => passes(node.cut.cloud, direction),
        async (method, path, body) => {
          await sleep(200);
          return this.cloud.handle(method, new URL(path, "http://cloud"), body);
        },
      ),
      peers: this.peersOf(node, life),
    };
    life.controller = new Controller(this.settingsOf(node), this.operator, silentLogger, around);
    life.end = life.controller.followRecords();
    node.life = life as Life;
  }

  crash(node: SimulatedNode): void {
    if (node.life === null) return;
    node.life.alive = false;
    node.life.end();
    node.life = null;
  }

  /** A controller that would have broken a rule, and was kept from it at the last moment, has a fault all the same. */
  private checkDecisions(): void {
    for (const { life, name } of this.nodes) {
      const decisions = life?.controller.httpDependencies.decisions();
      if (decisions !== undefined && decisions.violations > 0)
        this.note(`violation: ${name} ${JSON.stringify(decisions.refused)}`);
    }
  }

  /** Whether a cut lies between two zones. */
  private severed(a: string, b: string): boolean {
    return a !== b && (a === this.cutZone || b === this.cutZone);
  }

  /** The live owner of a shard, as the records have it. */
  ownerOf(shard: number): SimulatedNode | undefined {
    const record = this.store.value(`fernpond/live/shards/${shard}`) as { node: string } | undefined;
    return this.nodes.find((n) => n.name === record?.node);
  }

  leader(): SimulatedNode | undefined {
    const record = this.store.value("fernpond/live/leader") as { node: string } | undefined;
    return this.nodes.find((n) => n.name === record?.node);
  }

  /** One exchange of messages: both ways can be cut, and what a life has begun ends with it. */
  private exchange<T>(
    life: Partial<Life>,
    /** Whether the request passes, and then whether the answer does. */
    reachable: (way: "request" | "answer") => boolean,
    work: () => T | Promise<T>,
    timeoutMs: number,
    silence: () => Error,
  ): Promise<T> {
    return new Promise((resolve, reject) => {
      if (!life.alive) return;
      const timer = setTimeout(() => {
        if (life.alive) reject(silence());
      }, timeoutMs);
      const carry = async (): Promise<void> => {
        await sleep(1);
        if (!life.alive || !reachable("request")) return;
        const result = await work();
        await sleep(1);
        // A life may have ended while the work was under way.
        // eslint-disable-next-line @typescript-eslint/no-unnecessary-condition
        if (!life.alive || !reachable("answer")) return;
        clearTimeout(timer);
        resolve(result);
      };
      carry().catch(reject);
    });
  }

  /** A request from outside, to which a life that ends meanwhile gives no answer. */
  private visit<T>(
    life: Life,
    reachable: (direction: Direction) => boolean,
    work: () => Promise<T>,
    timeoutMs: number,
  ): Promise<T> {
    const answering = (way: "request" | "answer"): boolean =>
      life.alive && reachable(way === "request" ? "inbound" : "outbound");
    return this.exchange(OUTSIDE, answering, work, timeoutMs, () => new Error("no answer"));
  }

  private caller(
    life: Partial<Life>,
    reachable: (direction: Direction) => boolean,
    work: (method: string, path: string, body: unknown) => Reply,
  ): JsonClient {
    return {
      call: (method, path, body, timeoutMs) =>
        this.exchange<JsonResponse>(
          life,
          (way) => reachable(way === "request" ? "outbound" : "inbound"),
          async () => {
            const { status, body: said } = await work(method, path, copied(body));
            return { status, body: copied(said) };
          },
          timeoutMs,
          () => new NoResponseError(method, path, "timed out"),
        ),
    };
  }

  private async askState(node: number, method: string, path: string, body: unknown): Reply {
    await sleep(this.stateLatencyMs * (0.5 + this.chance()));
    const late = path === "/multi" && this.chance() < this.lateWrites;
    if (!late) return this.store.handle(node, method, new URL(path, "http://state"), body);
    await sleep(2000 + this.chance() * 10_000);
    this.store.executeDelayed(body);
    return new Promise(() => undefined);
  }

  private peersOf(node: SimulatedNode, life: Partial<Life>): PeerNetwork {
    const network: PeerNetwork & { lastResponseAt: number } = {
      lastResponseAt: -Infinity,
      viewExchange: null,
      listen: () => Promise.resolve(0),
      close: () => undefined,
      request: async (name: string, request: PeerRequest, timeoutMs = 500): Promise<PeerReply> => {
        this.peerQuestions++;
        const peer = this.nodes.find((n) => n.name === name)!;
        const reachable = (way: "request" | "answer"): boolean => {
          const [from, to] = way === "request" ? [node, peer] : [peer, node];
          const open = passes(from.cut.peers, "outbound") && passes(to.cut.peers, "inbound");
          return open && peer.life !== null && !this.severed(node.zone, peer.zone);
        };
        const view = network.viewExchange?.nextOutgoingView(name);
        const ask = async (): Promise<PeerReply> => {
          const theirs = peer.life!.controller.viewExchange;
          const asker = view === undefined ? null : theirs?.receiveView(view);
          const reply = await peer.life!.controller.answerPeer(structuredClone(request));
          answerView = asker ? theirs?.nextOutgoingView(asker) : undefined;
          return reply;
        };
        let answerView: Uint8Array | undefined;
        const silence = (): Error => new PeerUnreachableError(name, "timed_out");
        const reply = await this.exchange(life, reachable, ask, timeoutMs, silence);
        network.lastResponseAt = life.controller!.clock();
        if (answerView !== undefined) network.viewExchange?.receiveView(answerView);
        return structuredClone(reply);
      },
    };
    return network;
  }

  // --- workers

  private report(
    zone: string,
    node: SimulatedNode,
    text: string,
    timeoutMs: number,
  ): Promise<{ status: number; body: unknown }> {
    if (this.keepsReports) this.kept.push({ zone, text });
    const { life } = node;
    if (life === null) return Promise.reject(new Error("refused"));
    const work = async (): Promise<{ status: number; body: unknown }> => {
      const parsed = parseHeartbeat(JSON.parse(text));
      if (!parsed.ok) return { status: 400, body: {} };
      const routed = await life.controller.httpDependencies.routeHeartbeat(parsed.value);
      await sleep(this.chance() * this.answersHeldMs);
      return routed.kind === "commands"
        ? { status: 200, body: copied(routed.body) }
        : { status: 421, body: redirectToWire(routed.owner) };
    };
    const reachable = (direction: Direction): boolean =>
      passes(node.cut.workers, direction) && !this.severed(zone, node.zone);
    return this.visit(life, reachable, work, timeoutMs);
  }

  /** Copies of the reports without tasks that were kept arrive now, at every controller. */
  releaseReports(): void {
    for (const { zone, text } of this.kept.splice(0)) {
      if (!text.includes('"pieces":[]')) continue;
      for (const node of this.nodes) this.report(zone, node, text, 4000).catch(() => undefined);
    }
  }

  /** Something to be done when a task first starts. */
  atStart(piece: string, then: () => void): void {
    this.onStart.set(piece, then);
  }

  runningOf(job: UserJob): number {
    let count = 0;
    for (const { running } of this.cloud.machines.values())
      for (const piece of running) if (this.jobOf(piece) === job) count++;
    return count;
  }

  /** The job that a task belongs to. */
  jobOf(piece: string): UserJob | undefined {
    return this.jobs.get(piece.slice(0, piece.indexOf("/")));
  }

  private finished(piece: string): void {
    this.jobOf(piece)!.completed.add(piece);
  }

  /** Something went against the rules. */
  note(what: string): void {
    if (!this.broken.includes(what)) this.broken.push(what);
  }

  // --- users

  /** One request to one controller; status 0 if it does not answer. */
  async ask(node: SimulatedNode, method: string, path: string, body?: unknown): Promise<Answer> {
    const { life } = node;
    if (life === null) return { status: 0, body: {} };
    const work = (): Promise<{ status: number; body: object }> =>
      life.controller.httpDependencies.users.handle({ method, path, body: copied(body) });
    const queueTimeoutMs = method === "GET" ? USER_WAIT_MS : 5000;
    try {
      const reachable = (direction: Direction): boolean => passes(node.cut.users, direction);
      const answer = await this.visit(life, reachable, work, queueTimeoutMs);
      return { status: answer.status, body: copied(answer.body) as Record<string, unknown> };
    } catch {
      return { status: 0, body: {} };
    }
  }

  /** A controller that is up, as the load balancer would choose it. */
  private anyNode(): SimulatedNode {
    const up = this.nodes.filter(
      (n) => n.cut.users === false && n.life?.controller.httpDependencies.isHealthy(),
    );
    return up[this.pick(up.length)] ?? this.nodes[this.pick(this.nodes.length)]!;
  }

  /** A user submits a job, and asks after it until it is over. */
  submit(id: string, over: Record<string, unknown> = {}): UserJob {
    const job = new UserJob(id, submission(id, over));
    this.jobs.set(id, job);
    void this.follow(job);
    return job;
  }

  private async follow(job: UserJob): Promise<void> {
    while (!job.accepted) {
      const { status, body } = await this.ask(this.anyNode(), "POST", "/work", job.body);
      if (status === 201 || status === 200) {
        job.accepted = true;
        this.hear(job, body);
      } else if (status === 400 || status === 422) {
        job.rejectionStatus = status;
        return;
      } else await sleep(RETRY_MS);
    }
    job.lastResponseAt = this.now;
    while (!job.hasEnded) {
      await sleep(POLL_MS * (0.8 + 0.4 * this.chance()));
      await this.look(job);
    }
  }

  /** One question after a job, to a given controller or to any. */
  async look(job: UserJob, node = this.anyNode()): Promise<Answer> {
    const { hasEnded } = job;
    const answer = await this.ask(node, "GET", `/work/${job.id}`);
    if (answer.status === 404 && job.accepted) this.note(`forgotten: ${job.id}`);
    if (answer.status === 200) this.hear(job, answer.body, hasEnded);
    return answer;
  }

  /** A user calls a job off, and repeats that until it is confirmed. */
  async cancel(job: UserJob, node?: SimulatedNode): Promise<void> {
    job.cancelRequested = true;
    while (!job.hasEnded) {
      const asked = node?.life ? node : this.anyNode();
      const { status, body } = await this.ask(asked, "POST", `/work/${job.id}/withdraw`);
      if (status === 404 && job.accepted) this.note(`forgotten: ${job.id}`);
      if (status === 200) this.hear(job, body);
      else await sleep(RETRY_MS);
    }
  }

  /** A user submits once more what was accepted, and whoever asks after nothing learns that there is nothing. */
  async repeat(job: UserJob): Promise<void> {
    const { hasEnded } = job;
    const { status, body } = await this.ask(this.anyNode(), "POST", "/work", job.body);
    if (status === 400 || status === 422 || status === 404) this.note(`forgotten: ${job.id} gets ${status}`);
    if (status === 201) this.note(`forgotten: ${job.id} accepted anew`);
    if (status === 200) this.hear(job, body, hasEnded);
  }

  /** A request that must not be accepted. */
  async odd(body: Record<string, unknown>, wanted: number): Promise<void> {
    const node = this.anyNode();
    const { status } = await this.ask(node, "POST", "/work", body);
    if (status !== wanted && status !== 503 && status !== 0) this.note(`accepted: ${status} for ${wanted}`);
    const look = await this.ask(node, "GET", `/work/${String(body.nameId)}`);
    if (look.status === 200) this.note(`invented: ${String(body.nameId)}`);
  }

  /** What a user was told: never less than another was told before. */
  private hear(job: UserJob, { stage }: Record<string, unknown>, wasOver = job.hasEnded): void {
    job.lastResponseAt = this.now;
    if (stage === "done") {
      if (job.cancelledAt !== null) this.note(`went_back: ${job.id} cancelled, then done`);
      if (job.completed.size < Number(job.body.pieces)) this.note(`not_done: ${job.id}`);
      job.done = true;
    } else if (stage === "aborted") {
      if (job.done) this.note(`went_back: ${job.id} done, then cancelled`);
      if (!job.cancelRequested) this.note(`went_back: ${job.id} cancelled by nobody`);
      job.cancelledAt ??= this.now;
    } else if (wasOver) this.note(`went_back: ${job.id} over, then ${String(stage)}`);
  }

  /** Jobs that are neither done nor cancelled. */
  open(): string[] {
    return [...this.jobs.values()].filter((j) => !j.hasEnded && j.rejectionStatus === 0).map((j) => j.id);
  }
}

/** Users and workers live on whatever becomes of a controller. */
const OUTSIDE: Partial<Life> = { alive: true };

type Reply = Promise<{ status: number; body?: unknown }>;

const copied = <T>(value: T): T => (value === undefined ? value : (JSON.parse(JSON.stringify(value)) as T));

/** Lets everything that is ready happen: promises, streams and what they lead to. */
async function settled(): Promise<void> {
  for (let i = 0; i < 2; i++) await new Promise((resolve) => setImmediate(resolve));
}
