/* eslint-disable max-lines -- scenarios act on the deployment as one object; its parts are in files of their own */
/**
 * Deterministic simulation of a whole deployment in one process: real controllers in simulated time, with fakes of the
 * state service, the cloud, the workers, the users and the network. All random draws come from one seeded generator, so
 * that a run can be repeated. Violations of invariants are recorded as the workers and the users observe them.
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
import { MAX_BODY_BYTES, parseHeartbeat, redirectToWire } from "../../src/wire/index.js";
import { FakeCloud } from "./cloud.js";
import { submission, type Answer } from "./cluster.js";
import { silentLogger } from "./records.js";
import { InvariantChecker } from "./invariant-checker.js";
import { testSettings, type SettingsOptions } from "./settings.js";
import { FakeStateStore } from "./state-service.js";
import { UserJob } from "./user-job.js";
import type { WorkerOptions } from "./worker.js";

export type { UserJob };

/** The step by which simulated time advances. */
const STEP_MS = 10;
/** How long a user waits for the response to a GET request. */
const USER_QUERY_TIMEOUT_MS = 2000;
/** The mean interval at which a user polls the state of a job. */
const POLL_MS = 5000;
/** The delay after which users and workers retry a failed request. */
const RETRY_MS = 1000;

const ZONES = ["north", "south"];

/** The platform's settings, and the content of the operators' file before validation. */
export interface SimulationOptions extends SettingsOptions {
  operator?: unknown;
}

/** One run of a controller process. Once it has stopped, none of its pending requests completes. */
interface ControllerInstance {
  isAlive: boolean;
  controller: Controller;
  stop(): void;
}

/** A cut of both directions of a link, of the one direction as seen by the controller, or of none. */
export type Cut = boolean | Direction;

/** Returns whether messages pass in the direction. */
const isOpen = (cut: Cut, direction: Direction): boolean =>
  cut === false || (cut !== true && cut !== direction);

/** The links of a controller, each with its cut. */
export interface Cuts {
  state: Cut;
  peers: Cut;
  workers: Cut;
  cloud: Cut;
  users: Cut;
  /** The controller receives no changes from the state service, while its other requests are served. */
  watches: boolean;
}

/** A node of the deployment; its controller can crash, restart and be cut off. */
export class SimulatedNode {
  /** The controller process that runs on the node; null while it is down. */
  instance: ControllerInstance | null = null;
  readonly cut: Cuts = {
    state: false,
    peers: false,
    workers: false,
    cloud: false,
    users: false,
    watches: false,
  };

  constructor(
    readonly name: string,
    readonly index: number,
    readonly zone: string,
  ) {}
}

/** A simulated deployment. It mocks timers, `Math.random` and `crypto.randomUUID` until it is closed. */
export class Simulation {
  /** Simulated time in milliseconds since the start. */
  now = 0;
  /** The number of requests between controllers. */
  peerRequestCount = 0;
  readonly store = new FakeStateStore();
  readonly cloud: FakeCloud;
  readonly nodes: SimulatedNode[];
  readonly jobs = new Map<string, UserJob>();
  /** Descriptions of the violated invariants, without duplicates. */
  readonly violations: string[] = [];
  readonly workers: WorkerOptions;
  readonly settings: Settings;
  /** The share of the transactions that get no response and are applied 2 to 12 s later. */
  delayedTransactionShare = 0;
  /** The mean latency of the state service. */
  stateLatencyMs = 4;
  /** The latency of the cloud. */
  cloudLatencyMs = 200;
  /** How long the network holds the response to an order that rents machines; a repeated order is answered at once. */
  rentalResponseDelayMs: () => number = () => 0;
  /** The longest delay of a response to a worker. */
  maxResponseDelayMs = 0;
  /** A zone that is cut off from the other zone and from the state service. */
  isolatedZone: string | null = null;
  /** When the last fault ended; from then on, waiting jobs must be started and requests answered in time. */
  faultsEndedAt = Infinity;
  /** Whether copies of heartbeats are recorded, to be delivered once more later. */
  isRecordingHeartbeats = false;
  private readonly recordedHeartbeats: { zone: string; text: string }[] = [];
  private readonly firstStartCallbacks = new Map<string, () => void>();
  readonly invariants = new InvariantChecker(this);
  private readonly generator: ReturnType<typeof xoroshiro128plus>;

  private constructor(
    count: number,
    seed: number,
    private readonly options: SimulationOptions,
    private readonly operator: OperatorSettings,
  ) {
    this.generator = xoroshiro128plus(seed);
    mock.timers.enable({ apis: ["setTimeout", "setInterval", "Date"], now: 1_700_000_000_000 });
    mock.method(Math, "random", () => this.randomFraction());
    // Unique identifiers are drawn from the seeded generator too: the order of records depends on them.
    mock.method(crypto, "randomUUID", () => `${this.randomBelow(2 ** 31)}-${this.randomBelow(2 ** 31)}`);
    this.nodes = Array.from({ length: count }, (_, i) => new SimulatedNode(`node-${i}`, i, ZONES[i % 2]!));
    this.settings = this.settingsOf(this.nodes[0]!);
    const { heartbeatIntervalMs, leaseMs } = this.settings.workers;
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
        send: (zone, node, text, timeoutMs) =>
          this.deliverHeartbeat(zone, this.nodes[node]!, text, timeoutMs),
      },
      this.workers,
      {
        started: (task, worker) => {
          this.invariants.checkStart(task, worker);
          this.firstStartCallbacks.get(task)?.();
          this.firstStartCallbacks.delete(task);
        },
        completed: (task) => {
          this.recordCompletion(task);
        },
      },
    );
  }

  /** Creates a deployment of `count` controllers and starts them. */
  static start(count: number, seed: number, options: SimulationOptions = {}): Simulation {
    const simulation = new Simulation(count, seed, options, checkOperatorSettings(options.operator ?? {}));
    for (const node of simulation.nodes) simulation.startNode(node);
    return simulation;
  }

  /** Stops all controllers and machines, and removes the mocks. */
  close(): void {
    for (const node of this.nodes) this.crash(node);
    this.cloud.close();
    this.store.close();
    mock.timers.reset();
    mock.restoreAll();
  }

  /** Returns a random number from 0 to below 1. */
  randomFraction(): number {
    return (this.generator.next() >>> 0) / 2 ** 32;
  }

  /** Returns a random integer from 0 to below `limit`. */
  randomBelow(limit: number): number {
    return Math.floor(this.randomFraction() * limit);
  }

  // --- time

  /** Advances simulated time, and checks the invariants every 0.5 s. */
  async run(ms: number): Promise<void> {
    const until = this.now + ms;
    while (this.now < until) {
      mock.timers.tick(STEP_MS);
      this.now += STEP_MS;
      await drainEventLoop();
      if (this.now % (50 * STEP_MS) !== 0) continue;
      this.invariants.checkCancelledJobs();
      this.checkDecisions();
      if (this.now > this.faultsEndedAt) this.invariants.checkWaitingJobs();
    }
  }

  /** Advances simulated time until the condition holds or the timeout has passed; returns whether it holds. */
  async runUntil(condition: () => boolean, timeoutMs: number): Promise<boolean> {
    const until = this.now + timeoutMs;
    while (!condition() && this.now < until) await this.run(10 * STEP_MS);
    return condition();
  }

  // --- controllers

  private settingsOf(node: SimulatedNode): Settings {
    const others = this.nodes.filter((n) => n !== node);
    const peers = others.map((n) => ({ node: n.name, address: "127.0.0.1:1" }));
    return testSettings({ controllers: this.nodes.length, ...this.options, node: node.name, peers });
  }

  /** Starts a new controller process on a node; one that still runs there crashes first. */
  startNode(node: SimulatedNode): void {
    this.crash(node);
    const instance: Partial<ControllerInstance> = { isAlive: true };
    // Each process has a steady clock of its own, which drifts by up to 500 ppm.
    const clockRate = 1 + (this.randomFraction() - 0.5) * 0.001;
    const startedAt = this.now;
    const stateClient = (isAlsoCut: () => boolean): JsonClient =>
      this.jsonClient(
        instance,
        (direction) => isOpen(node.cut.state, direction) && node.zone !== this.isolatedZone && !isAlsoCut(),
        (method, path, body) => this.callStateService(node.index, method, path, body),
      );
    const dependencies = {
      clock: () => (this.now - startedAt) * clockRate,
      state: stateClient(() => false),
      watches: stateClient(() => node.cut.watches),
      cloud: this.jsonClient(
        instance,
        (direction) => isOpen(node.cut.cloud, direction),
        (method, path, body) => this.callCloud(method, path, body),
      ),
      peers: this.peerNetworkOf(node, instance),
    };
    instance.controller = new Controller(this.settingsOf(node), this.operator, silentLogger, dependencies);
    instance.stop = instance.controller.followRecords();
    node.instance = instance as ControllerInstance;
  }

  /** Ends the controller process of a node without a shutdown; does nothing while the node is down. */
  crash(node: SimulatedNode): void {
    if (node.instance === null) return;
    node.instance.isAlive = false;
    node.instance.stop();
    node.instance = null;
  }

  /** Records decisions that a controller's own final check rejected as violations: they are faults all the same. */
  private checkDecisions(): void {
    for (const { instance, name } of this.nodes) {
      const decisions = instance?.controller.httpDependencies.decisions();
      if (decisions !== undefined && decisions.violations > 0)
        this.recordViolation(`violation: ${name} ${JSON.stringify(decisions.refused)}`);
    }
  }

  /** Returns whether messages between two zones are lost. */
  private areZonesDisconnected(a: string, b: string): boolean {
    return a !== b && (a === this.isolatedZone || b === this.isolatedZone);
  }

  /** The owner of a shard according to the state service; undefined if its lease has expired. */
  ownerOf(shard: number): SimulatedNode | undefined {
    const record = this.store.value(`fernpond/live/shards/${shard}`) as { node: string } | undefined;
    return this.nodes.find((n) => n.name === record?.node);
  }

  /** The leader according to the state service; undefined if its lease has expired. */
  leader(): SimulatedNode | undefined {
    const record = this.store.value("fernpond/live/leader") as { node: string } | undefined;
    return this.nodes.find((n) => n.name === record?.node);
  }

  /**
   * Sends a request and returns the response. Each of the two can be lost, which rejects after the timeout. Never
   * settles once the calling instance has stopped.
   */
  private exchangeMessages<T>(
    caller: Partial<ControllerInstance>,
    /** Whether the request arrives; called once more for the response. */
    isDelivered: (message: "request" | "response") => boolean,
    handleRequest: () => T | Promise<T>,
    timeoutMs: number,
    noResponseError: () => Error,
  ): Promise<T> {
    return new Promise((resolve, reject) => {
      if (!caller.isAlive) return;
      const timer = setTimeout(() => {
        if (caller.isAlive) reject(noResponseError());
      }, timeoutMs);
      const deliver = async (): Promise<void> => {
        await sleep(1);
        if (!caller.isAlive || !isDelivered("request")) return;
        const result = await handleRequest();
        await sleep(1);
        // The caller may have stopped while the request was handled.
        // eslint-disable-next-line @typescript-eslint/no-unnecessary-condition
        if (!caller.isAlive || !isDelivered("response")) return;
        clearTimeout(timer);
        resolve(result);
      };
      deliver().catch(reject);
    });
  }

  /** Sends a request of a user or a worker to a controller, which does not respond if it stops meanwhile. */
  private callInstance<T>(
    instance: ControllerInstance,
    isDirectionOpen: (direction: Direction) => boolean,
    handleRequest: () => Promise<T>,
    timeoutMs: number,
  ): Promise<T> {
    const isDelivered = (message: "request" | "response"): boolean =>
      instance.isAlive && isDirectionOpen(message === "request" ? "inbound" : "outbound");
    const noResponseError = (): Error => new Error("no response");
    return this.exchangeMessages(EXTERNAL_CALLER, isDelivered, handleRequest, timeoutMs, noResponseError);
  }

  /** The client with which a controller calls the state service or the cloud. */
  private jsonClient(
    instance: Partial<ControllerInstance>,
    isDirectionOpen: (direction: Direction) => boolean,
    handleRequest: (method: string, path: string, body: unknown) => Reply,
  ): JsonClient {
    return {
      call: (method, path, body, timeoutMs) =>
        this.exchangeMessages<JsonResponse>(
          instance,
          (message) => isDirectionOpen(message === "request" ? "outbound" : "inbound"),
          async () => {
            const response = await handleRequest(method, path, jsonCopy(body));
            return { status: response.status, body: jsonCopy(response.body) };
          },
          timeoutMs,
          () => new NoResponseError(method, path, "timed out"),
        ),
    };
  }

  private async callStateService(node: number, method: string, path: string, body: unknown): Reply {
    await sleep(this.stateLatencyMs * (0.5 + this.randomFraction()));
    const isDelayed = path === "/multi" && this.randomFraction() < this.delayedTransactionShare;
    if (!isDelayed) return this.store.handle(node, method, new URL(path, "http://state"), body);
    await sleep(2000 + this.randomFraction() * 10_000);
    this.store.executeDelayed(body);
    return new Promise(() => undefined);
  }

  private async callCloud(method: string, path: string, body: unknown): Reply {
    await sleep(this.cloudLatencyMs);
    const { rentedCount } = this.cloud;
    const reply = this.cloud.handle(method, new URL(path, "http://cloud"), body);
    if (this.cloud.rentedCount > rentedCount) await sleep(this.rentalResponseDelayMs());
    return reply;
  }

  private peerNetworkOf(node: SimulatedNode, instance: Partial<ControllerInstance>): PeerNetwork {
    const network: PeerNetwork & { lastResponseAt: number } = {
      lastResponseAt: -Infinity,
      viewExchange: null,
      listen: () => Promise.resolve(0),
      close: () => undefined,
      request: async (name: string, request: PeerRequest, timeoutMs = 500): Promise<PeerReply> => {
        this.peerRequestCount++;
        const peer = this.nodes.find((n) => n.name === name)!;
        const isDelivered = (message: "request" | "response"): boolean => {
          const [from, to] = message === "request" ? [node, peer] : [peer, node];
          const isLinkOpen = isOpen(from.cut.peers, "outbound") && isOpen(to.cut.peers, "inbound");
          return isLinkOpen && peer.instance !== null && !this.areZonesDisconnected(node.zone, peer.zone);
        };
        const view = network.viewExchange?.nextOutgoingView(name);
        const handleRequest = async (): Promise<PeerReply> => {
          const peerViewExchange = peer.instance!.controller.viewExchange;
          const requester = view === undefined ? null : peerViewExchange?.receiveView(view);
          const reply = await peer.instance!.controller.answerPeer(structuredClone(request));
          responseView = requester ? peerViewExchange?.nextOutgoingView(requester) : undefined;
          return reply;
        };
        let responseView: Uint8Array | undefined;
        const noResponseError = (): Error => new PeerUnreachableError(name, "timed_out");
        const reply = await this.exchangeMessages(
          instance,
          isDelivered,
          handleRequest,
          timeoutMs,
          noResponseError,
        );
        network.lastResponseAt = instance.controller!.clock();
        if (responseView !== undefined) network.viewExchange?.receiveView(responseView);
        return structuredClone(reply);
      },
    };
    return network;
  }

  // --- workers

  private deliverHeartbeat(
    zone: string,
    node: SimulatedNode,
    text: string,
    timeoutMs: number,
  ): Promise<{ status: number; body: unknown }> {
    if (this.isRecordingHeartbeats) this.recordedHeartbeats.push({ zone, text });
    const { instance } = node;
    if (instance === null) return Promise.reject(new Error("refused"));
    const handleRequest = async (): Promise<{ status: number; body: unknown }> => {
      if (Buffer.byteLength(text) > MAX_BODY_BYTES) return { status: 400, body: {} };
      const parsed = parseHeartbeat(JSON.parse(text));
      if (!parsed.ok) return { status: 400, body: {} };
      const routed = await instance.controller.httpDependencies.routeHeartbeat(parsed.value);
      await sleep(this.randomFraction() * this.maxResponseDelayMs);
      return routed.kind === "commands"
        ? { status: 200, body: jsonCopy(routed.body) }
        : { status: 421, body: redirectToWire(routed.owner) };
    };
    const isDirectionOpen = (direction: Direction): boolean =>
      isOpen(node.cut.workers, direction) && !this.areZonesDisconnected(zone, node.zone);
    return this.callInstance(instance, isDirectionOpen, handleRequest, timeoutMs);
  }

  /** Delivers the recorded heartbeats that list no tasks to every controller. */
  replayEmptyHeartbeats(): void {
    for (const { zone, text } of this.recordedHeartbeats.splice(0)) {
      if (!text.includes('"pieces":[]')) continue;
      for (const node of this.nodes) this.deliverHeartbeat(zone, node, text, 4000).catch(() => undefined);
    }
  }

  /** Registers a callback for the next start of a task; it is called once. */
  onFirstStart(task: string, callback: () => void): void {
    this.firstStartCallbacks.set(task, callback);
  }

  /** The number of the job's tasks that run on any machine. */
  runningTaskCount(job: UserJob): number {
    let count = 0;
    for (const { running } of this.cloud.machines.values())
      for (const task of running) if (this.jobOfTask(task) === job) count++;
    return count;
  }

  /** The job that a task belongs to. */
  jobOfTask(task: string): UserJob | undefined {
    return this.jobs.get(task.slice(0, task.indexOf("/")));
  }

  private recordCompletion(task: string): void {
    this.jobOfTask(task)!.completedTasks.add(task);
  }

  /** Records the violation of an invariant once, however often it is found. */
  recordViolation(description: string): void {
    if (!this.violations.includes(description)) this.violations.push(description);
  }

  // --- users

  /** Sends one request of a user to a controller; the status is 0 if it does not respond. */
  async requestFrom(node: SimulatedNode, method: string, path: string, body?: unknown): Promise<Answer> {
    const { instance } = node;
    if (instance === null) return { status: 0, body: {} };
    const handleRequest = (): Promise<{ status: number; body: object }> =>
      instance.controller.httpDependencies.users.handle({ method, path, body: jsonCopy(body) });
    const timeoutMs = method === "GET" ? USER_QUERY_TIMEOUT_MS : 5000;
    try {
      const isDirectionOpen = (direction: Direction): boolean => isOpen(node.cut.users, direction);
      const response = await this.callInstance(instance, isDirectionOpen, handleRequest, timeoutMs);
      return { status: response.status, body: jsonCopy(response.body) as Record<string, unknown> };
    } catch {
      return { status: 0, body: {} };
    }
  }

  /** Picks a healthy controller at random, as a load balancer does; any controller if none is healthy. */
  private pickHealthyNode(): SimulatedNode {
    const healthy = this.nodes.filter(
      (n) => n.cut.users === false && n.instance?.controller.httpDependencies.isHealthy(),
    );
    return healthy[this.randomBelow(healthy.length)] ?? this.nodes[this.randomBelow(this.nodes.length)]!;
  }

  /** Has a user submit a job, retry until it is accepted or rejected, and poll its state until it has ended. */
  submit(id: string, overrides: Record<string, unknown> = {}): UserJob {
    const job = new UserJob(id, submission(id, overrides));
    this.jobs.set(id, job);
    void this.submitAndPoll(job);
    return job;
  }

  private async submitAndPoll(job: UserJob): Promise<void> {
    while (!job.isAccepted) {
      const { status, body } = await this.requestFrom(this.pickHealthyNode(), "POST", "/work", job.body);
      if (status === 201 || status === 200) {
        job.isAccepted = true;
        this.recordResponse(job, body);
      } else if (status === 400 || status === 422) {
        job.rejectionStatus = status;
        return;
      } else await sleep(RETRY_MS);
    }
    job.lastResponseAt = this.now;
    while (!job.hasEnded) {
      await sleep(POLL_MS * (0.8 + 0.4 * this.randomFraction()));
      await this.queryJob(job);
    }
  }

  /** Queries the state of a job once, from a given controller or from any healthy one. */
  async queryJob(job: UserJob, node = this.pickHealthyNode()): Promise<Answer> {
    const { hasEnded } = job;
    const response = await this.requestFrom(node, "GET", `/work/${job.id}`);
    if (response.status === 404 && job.isAccepted) this.recordViolation(`forgotten: ${job.id} gets 404`);
    if (response.status === 200) this.recordResponse(job, response.body, hasEnded);
    return response;
  }

  /** Has a user cancel a job, and retry until the job is known to have ended. */
  async cancel(job: UserJob, node?: SimulatedNode): Promise<void> {
    job.isCancelRequested = true;
    while (!job.hasEnded) {
      const target = node?.instance ? node : this.pickHealthyNode();
      const { status, body } = await this.requestFrom(target, "POST", `/work/${job.id}/withdraw`);
      if (status === 404 && job.isAccepted) this.recordViolation(`forgotten: ${job.id} gets 404`);
      if (status === 200) this.recordResponse(job, body);
      else await sleep(RETRY_MS);
    }
  }

  /** Submits an accepted job once more, which must neither be rejected nor create a second job. */
  async resubmit(job: UserJob): Promise<void> {
    const { hasEnded } = job;
    const { status, body } = await this.requestFrom(this.pickHealthyNode(), "POST", "/work", job.body);
    if (status === 400 || status === 422 || status === 404)
      this.recordViolation(`forgotten: ${job.id} gets ${status}`);
    if (status === 201) this.recordViolation(`forgotten: ${job.id} is accepted as a new job`);
    if (status === 200) this.recordResponse(job, body, hasEnded);
  }

  /** Submits a job that must be rejected with the given status, and checks that the job is not created. */
  async submitInvalid(body: Record<string, unknown>, expectedStatus: number): Promise<void> {
    const node = this.pickHealthyNode();
    const { status } = await this.requestFrom(node, "POST", "/work", body);
    if (status !== expectedStatus && status !== 503 && status !== 0)
      this.recordViolation(`accepted: status ${status} instead of ${expectedStatus}`);
    const query = await this.requestFrom(node, "GET", `/work/${String(body.nameId)}`);
    if (query.status === 200) this.recordViolation(`invented: ${String(body.nameId)}`);
  }

  /** Checks the state in a response: once the job has ended for any user, every later request gets the same state. */
  private recordResponse(job: UserJob, { stage }: Record<string, unknown>, hadEnded = job.hasEnded): void {
    job.lastResponseAt = this.now;
    if (stage === "done") {
      if (job.cancelledAt !== null) this.recordViolation(`went_back: ${job.id} cancelled, then done`);
      if (job.completedTasks.size < Number(job.body.pieces))
        this.recordViolation(`not_done: ${job.id} has uncompleted tasks`);
      job.isDone = true;
    } else if (stage === "aborted") {
      if (job.isDone) this.recordViolation(`went_back: ${job.id} done, then cancelled`);
      if (!job.isCancelRequested) this.recordViolation(`went_back: ${job.id} cancelled without a request`);
      job.cancelledAt ??= this.now;
    } else if (hadEnded) this.recordViolation(`went_back: ${job.id} ended, then ${String(stage)}`);
  }

  /** The jobs that are neither done nor cancelled nor rejected. */
  unfinishedJobs(): string[] {
    return [...this.jobs.values()].filter((j) => !j.hasEnded && j.rejectionStatus === 0).map((j) => j.id);
  }
}

/** Users and workers keep running when a controller stops. */
const EXTERNAL_CALLER: Partial<ControllerInstance> = { isAlive: true };

type Reply = Promise<{ status: number; body?: unknown }>;

const jsonCopy = <T>(value: T): T => (value === undefined ? value : (JSON.parse(JSON.stringify(value)) as T));

/** Lets pending promise callbacks and stream events run, and those that they schedule. */
async function drainEventLoop(): Promise<void> {
  for (let i = 0; i < 2; i++) await new Promise((resolve) => setImmediate(resolve));
}
