/** One controller: makes the actors and connects them. */
import { pipeline } from "node:stream";
import { CloudClient } from "../cloud/cloud-client.js";
import type { OperatorSettings } from "../config/operator.js";
import type { Settings } from "../config/settings.js";
import { createDependencies, type ControllerDependencies } from "./dependencies.js";
import { handlePeerRequest, EMPTY_REPLY } from "./peer-request-handler.js";
import { deriveTimings, type Timings } from "./timings.js";
import type { HttpDependencies } from "../http/app.js";
import { RequestForwarder } from "../http/request-forwarder.js";
import { serve } from "../http/server.js";
import { JobRequestHandler, type UserResponse, type UserRequest } from "../http/user-requests.js";
import { ShardAssignment } from "../jobs/shard-assignment.js";
import { JobService } from "../jobs/job-service.js";
import { Membership } from "../membership/membership.js";
import type { PeerReply, PeerRequest } from "../peers/peer-messages.js";
import type { PeerNetwork, LinkViewExchange } from "../peers/peer-network.js";
import { DecisionMetrics } from "../shards/decision-metrics.js";
import { ShardHost } from "./shard-host.js";
import { LinkMonitoring } from "./link-monitoring.js";
import type { SteadyClock } from "../runtime/clock.js";
import { parseJson } from "../runtime/http-body.js";
import type { Logger } from "../runtime/log.js";
import { HeartbeatRouter } from "./heartbeat-router.js";
import { SummaryExchange } from "./summary-exchange.js";
import { Autoscaler } from "../autoscaling/autoscaler.js";
import { StateStoreClient } from "../state/state-store-client.js";
import { watchRecords } from "../state/watch.js";
import { ReadBarrier } from "../state/read-barrier.js";
import { LIVE_PREFIX, ROOT_PREFIX, keys, prefixes } from "../state/keys.js";
import { Replica } from "../state/replica.js";
import { HEARTBEAT_TIMEOUT_S, type RecordChange, type MachineType } from "../wire/index.js";
import { Fleet } from "../workers/fleet.js";

/** A controller that listens. */
export interface RunningController {
  port: number;
  peerPort: number;
  close(): void;
}

const isMembershipKey = (key: string): boolean =>
  key === keys.leader || key.startsWith(prefixes.members) || key.startsWith(prefixes.shards);

/** One controller process: owns the actors, passes on what the records and peers say, and routes requests. */
export class Controller {
  private readonly replica = new Replica();
  private readonly state: StateStoreClient;
  private readonly membership: Membership;
  private readonly fleet: Fleet;
  private readonly autoscaler: Autoscaler;
  private readonly peers: PeerNetwork;
  readonly clock: SteadyClock;
  private readonly jobs: JobService;
  private readonly requestHandler: JobRequestHandler;
  private readonly relay: RequestForwarder;
  private readonly router: HeartbeatRouter;
  private readonly summaries: SummaryExchange;
  private readonly shardAssignment: ShardAssignment;
  private readonly shards: ShardHost;
  private readonly links: LinkMonitoring;
  private readonly metrics = new DecisionMetrics();
  /** This life of the controller, told from earlier ones. */
  private readonly incarnation = crypto.randomUUID();
  private lastPing = -Infinity;
  private readonly timings: Timings;
  private typesByName = new Map<string, MachineType>();
  private ticker: NodeJS.Timeout | null = null;

  constructor(
    private readonly settings: Settings,
    private readonly operator: OperatorSettings,
    private readonly log: Logger,
    network: ControllerDependencies = createDependencies(settings, log),
  ) {
    const { clock } = network;
    const figures = (this.timings = deriveTimings(settings, operator));
    this.links = new LinkMonitoring(settings, operator, figures, this.incarnation, network, log);
    const around = this.links.watch(network);
    this.clock = clock;
    this.peers = around.peers;
    this.fleet = new Fleet(log);
    this.shardAssignment = new ShardAssignment(settings.teams, settings.controllers);
    this.state = new StateStoreClient({
      http: around.state,
      watchHttp: around.watches,
      limits: settings.state,
      controllers: settings.controllers,
      clock,
      timeoutMs: figures.callMs,
    });
    const cloud = new CloudClient(
      around.cloud,
      settings.cloud.rps,
      clock,
      // A call to the cloud takes a good part of a second; a lost one is sent again under the same name.
      HEARTBEAT_TIMEOUT_S * 1000,
    );
    this.membership = this.makeMembership();
    this.shards = this.makeShardHost();
    this.links.attach({ membership: this.membership, shards: this.shards, cloud, peers: this.peers });
    this.autoscaler = this.makeAutoscaler(cloud);
    this.jobs = this.makeJobService();
    this.requestHandler = new JobRequestHandler(this.jobs);
    this.relay = this.makeRelay();
    this.router = this.makeRouter();
    this.summaries = this.makeSummaryExchange();
    this.replica.onChange((changes) => {
      this.applyChanges(changes);
    });
  }

  private makeMembership(): Membership {
    return new Membership({
      self: { node: this.settings.node, incarnation: this.incarnation },
      // There are as many shards as controllers.
      shards: this.settings.controllers,
      controllers: this.settings.controllers,
      timings: this.timings,
      state: this.state,
      view: this.replica,
      clock: this.clock,
      callbacks: {
        onOwnershipChanged: () => {
          this.shards.reconcileOwnership();
        },
        requestHandOver: (owner, shard, to) =>
          void this.requestController(owner, { handOver: { shard, targetNode: to } }).catch(() => undefined),
        isCutOffFromWorkers: (node) => this.links.policy.isCutOffFromWorkers(node),
      },
      log: this.log,
    });
  }

  private makeRouter(): HeartbeatRouter {
    return new HeartbeatRouter({
      node: this.settings.node,
      fleet: this.fleet,
      membership: this.membership,
      autoscaler: this.autoscaler,
      ownerOf: (shard) => this.shards.ownerOf(shard),
      askNode: (node, request) => this.requestController(node, request),
      clock: this.clock,
      misroutedSpacingMs: this.timings.misroutedSpacingMs,
      maxMachines: this.operator.maxMachines,
      links: this.links,
    });
  }

  private makeSummaryExchange(): SummaryExchange {
    return new SummaryExchange({
      assignment: this.shardAssignment,
      state: this.state,
      leader: () => this.membership.leader(),
      askNode: (node, request) => this.requestController(node, request),
      clock: this.clock,
      log: this.log,
      spacingMs: this.operator.passSpacingMs,
      valueBytes: this.settings.state.valueBytes,
      queueTimeoutMs: this.timings.submitQueueTimeoutMs,
    });
  }

  private makeShardHost(): ShardHost {
    const { roundMs, preemptMs, quietTicks, staleMs } = this.timings;
    return new ShardHost({
      settings: this.settings,
      timings: { roundMs, preemptMs, quietTicks, staleMs, spacingMs: this.operator.passSpacingMs },
      metrics: this.metrics,
      state: this.state,
      replica: this.replica,
      fleet: this.fleet,
      membership: this.membership,
      links: this.links.policy,
      types: () => this.typesByName,
      sendSummary: (summary) => {
        this.summaries.send(summary);
      },
      clock: this.clock,
      log: this.log,
    });
  }

  private makeAutoscaler(cloud: CloudClient): Autoscaler {
    return new Autoscaler({
      settings: this.settings,
      operator: this.operator,
      cloud,
      state: this.state,
      view: this.replica,
      fleet: this.fleet,
      clock: this.clock,
      callbacks: {
        leadership: () => this.membership.leadership(),
        requestOwner: (shard, request) => this.requestController(this.membership.owner(shard), request),
        mayCallCloud: () => this.links.policy.allows("order"),
      },
      log: this.log,
    });
  }

  private makeJobService(): JobService {
    return new JobService(
      this.settings,
      this.state,
      this.replica,
      new ReadBarrier(this.state, this.replica, this.timings.lookupTimeoutMs),
      () => this.typesByName,
      this.shardAssignment,
      (shard, job) => this.taskCounts(shard, job),
      (shard, job) => {
        this.notifyOwnerOfCancellation(shard, job);
      },
      this.timings.submitQueueTimeoutMs,
      this.log,
    );
  }

  private makeRelay(): RequestForwarder {
    return new RequestForwarder({
      own: this.requestHandler,
      peers: this.settings.peers.map((p) => p.node),
      ask: (peer, request) => this.forward(peer, request),
      behind: () => this.isBehind() || !this.links.policy.allows("accept"),
      nobodyCan: () => this.links.policy.refuses("accept"),
      pauseMs: this.timings.peerMs,
      clock: this.clock,
      log: this.log,
    });
  }

  /** What users, workers and health checks reach. */
  get httpDependencies(): HttpDependencies {
    return {
      users: this.links.watchUsers(this.relay),
      routeHeartbeat: (report) => this.router.route(report),
      isHealthy: () => {
        this.links.noteUserRequest();
        return this.isHealthy();
      },
      linkStatus: () => this.links.status(),
      decisions: () => this.metrics.report(this.settings.node),
      log: this.log,
    };
  }

  /** Follows the records and acts on them from now on; the answer ends that. */
  followRecords(): () => void {
    const { timings: figures } = this;
    const pace = {
      waitMs: figures.feedWaitMs,
      spacingMs: figures.feedSpacingMs,
      retryMs: figures.feedSpacingMs * 4,
    };
    const feed = watchRecords(
      this.state,
      { listed: LIVE_PREFIX, watched: ROOT_PREFIX },
      pace,
      this.clock,
      this.log,
    );
    pipeline(feed, this.replica, (err) => {
      if (err && this.ticker !== null) this.log.error({ err }, "the feed of records ended");
    });
    this.ticker = setInterval(() => {
      this.tick();
    }, figures.tickMs);
    this.membership.tell({ kind: "tick" });
    return () => {
      if (this.ticker !== null) clearInterval(this.ticker);
      this.ticker = null;
      feed.destroy();
      this.peers.close();
    };
  }

  async start(): Promise<RunningController> {
    const end = this.followRecords();
    const peerPort = await this.peers.listen(this.settings.peerListen, (request) => this.answerPeer(request));
    const server = await serve(this.httpDependencies, this.settings.listen, this.timings.idleConnectionMs);
    const { port } = server;
    this.log.info({ port, peerPort }, "listening");
    return {
      port,
      peerPort,
      close: () => {
        end();
        server.close();
      },
    };
  }

  /** Whether the records have not been followed for longer than a quiet watch stays open. */
  private isBehind(): boolean {
    return this.clock() - this.replica.completeAsOf > this.timings.behindMs;
  }

  /**
   * A node that cannot follow the records stays up while peers answer it: either they answer its users' requests too,
   * or the state service is down for all and no node would do better. Cut off from both, it sends users elsewhere.
   */
  private isHealthy(): boolean {
    if (this.replica.completeAsOf === -Infinity) return false;
    if (!this.isBehind() || this.settings.peers.length === 0) return true;
    return this.clock() - this.peers.lastResponseAt < this.timings.behindMs;
  }

  private async forward(peer: string, { method, path, body }: UserRequest): Promise<UserResponse> {
    const text = body === undefined ? "" : JSON.stringify(body);
    const request = { forwardUserRequest: { method, path, body: text } };
    const reply = await this.peers.request(peer, request, this.timings.lookupTimeoutMs);
    if (!("userResponse" in reply)) return { status: 503, body: { error: "no answer" } };
    return { status: reply.userResponse.status, body: parseJson(reply.userResponse.body) ?? {} };
  }

  private tick(): void {
    this.membership.tell({ kind: "tick" });
    this.shards.tick();
    this.autoscaler.tell({ kind: "tick" });
    this.links.tick();
    if (this.isBehind()) this.pingPeers();
  }

  /** Whether this node is of any use without the records is for its peers' answers to show: see `healthy`. */
  private pingPeers(): void {
    const now = this.clock();
    if (now - this.lastPing < this.timings.behindMs / 4) return;
    this.lastPing = now;
    for (const { node } of this.settings.peers) this.peers.request(node, { ping: {} }).catch(() => undefined);
  }

  private applyChanges(changes: RecordChange[] | null): void {
    if (changes !== null) {
      this.state.recordObservedWrites(changes.length);
      this.jobs.applyChanges(changes);
    }
    this.fleet.applyChanges(this.replica, changes);
    if (changes === null || changes.some((c) => c.key.startsWith(prefixes.machineTypes)))
      this.typesByName = new Map(
        this.replica
          .list(prefixes.machineTypes)
          .map((entry) => [(entry.value as MachineType).name, entry.value as MachineType]),
      );
    this.shards.applyChanges(changes);
    if (changes === null || changes.some((c) => isMembershipKey(c.key)))
      this.membership.tell({ kind: "records_changed" });
  }

  /** Where views of links come from and go to; null while the monitor is off. */
  get viewExchange(): LinkViewExchange | null {
    return this.peers.viewExchange;
  }

  private requestController(node: string | null, request: PeerRequest): Promise<PeerReply> {
    if (node === this.settings.node) return this.answerPeer(request);
    return node === null ? Promise.resolve(EMPTY_REPLY) : this.peers.request(node, request);
  }

  /** Answers another controller's request, or one of this process itself. */
  answerPeer(request: PeerRequest): Promise<PeerReply> {
    return handlePeerRequest(request, {
      autoscaler: this.autoscaler,
      membership: this.membership,
      users: this.requestHandler,
      ownerOf: (shard) => this.shards.ownerOf(shard),
      mayHandOver: (shard) => this.links.policy.tryHandOver(shard),
      linkStatus: () => this.links.status(),
      recordSummary: (summary) => this.summaries.receive(summary),
    });
  }

  /**
   * Guards against starts after a confirmed cancellation where the owner alone cannot follow the records: the feed tells
   * it otherwise, and the bound on the age of its view holds whether or not this arrives.
   */
  private notifyOwnerOfCancellation(shard: number, job: string): void {
    this.requestController(this.membership.owner(shard), { jobCancelled: { shard, job } }).catch(
      () => undefined,
    );
  }

  private async taskCounts(shard: number, job: string): Promise<{ done: number; running: number } | null> {
    const reply = await this.requestController(this.membership.owner(shard), {
      taskCounts: { shard, job },
    }).catch(() => null);
    return reply !== null && "counts" in reply && reply.counts.known ? reply.counts : null;
  }
}
