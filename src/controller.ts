/** One controller: makes the actors and connects them. */
import { pipeline } from "node:stream";
import { CloudClient } from "./cloud/client.js";
import type { OperatorSettings } from "./config/operator.js";
import type { Settings } from "./config/settings.js";
import { dependenciesOf, type Dependencies } from "./dependencies.js";
import { answerPeerRequest, NOTHING } from "./peer-requests.js";
import { deriveTimings, type Timings } from "./timings.js";
import type { AppParts } from "./http/app.js";
import { Relay } from "./http/relay.js";
import { serve } from "./http/server.js";
import { JobRequestHandler, type UserAnswer, type UserRequest } from "./http/users.js";
import { ShardAssignment } from "./jobs/shard-assignment.js";
import { JobService } from "./jobs/service.js";
import { Membership } from "./membership/membership.js";
import type { PeerReply, PeerRequest } from "./peers/messages.js";
import type { PeerNetwork, ViewExchange } from "./peers/network.js";
import { DecisionMetrics } from "./placement/decision-metrics.js";
import { ShardHost } from "./shard-host.js";
import { LinkMonitoring } from "./link-monitoring.js";
import type { SteadyClock } from "./runtime/clock.js";
import { parseJson } from "./runtime/http-client.js";
import type { Logger } from "./runtime/log.js";
import { ReportRouter } from "./report-router.js";
import { SummaryExchange } from "./summary-exchange.js";
import { Autoscaler } from "./autoscaling/autoscaler.js";
import { StateClient } from "./state/client.js";
import { changeFeed } from "./state/feed.js";
import { Freshness } from "./state/freshness.js";
import { LIVE, ROOT, keys, prefixes } from "./state/keys.js";
import { Replica } from "./state/replica.js";
import { REPORT_TIMEOUT_S, type Change, type MachineType } from "./wire/index.js";
import { Fleet } from "./workers/fleet.js";

/** A controller that listens. */
export interface Running {
  port: number;
  peerPort: number;
  close(): void;
}

const concernsMembership = (key: string): boolean =>
  key === keys.leader || key.startsWith(prefixes.members) || key.startsWith(prefixes.shards);

/** One controller process: owns the actors, passes on what the records and peers say, and routes requests. */
export class Controller {
  private readonly replica = new Replica();
  private readonly state: StateClient;
  private readonly membership: Membership;
  private readonly fleet: Fleet;
  private readonly autoscaler: Autoscaler;
  private readonly peers: PeerNetwork;
  readonly clock: SteadyClock;
  private readonly jobs: JobService;
  private readonly requestHandler: JobRequestHandler;
  private readonly relay: Relay;
  private readonly router: ReportRouter;
  private readonly summaries: SummaryExchange;
  private readonly shardAssignment: ShardAssignment;
  private readonly shards: ShardHost;
  private readonly links: LinkMonitoring;
  private readonly metrics = new DecisionMetrics();
  /** This life of the controller, told from earlier ones. */
  private readonly incarnation = crypto.randomUUID();
  private lastPing = -Infinity;
  private readonly figures: Timings;
  private typesByName = new Map<string, MachineType>();
  private ticker: NodeJS.Timeout | null = null;

  constructor(
    private readonly settings: Settings,
    private readonly operator: OperatorSettings,
    private readonly log: Logger,
    network: Dependencies = dependenciesOf(settings, log),
  ) {
    const { clock } = network;
    const figures = (this.figures = deriveTimings(settings, operator));
    this.links = new LinkMonitoring(settings, operator, figures, this.incarnation, network, log);
    const around = this.links.watch(network);
    this.clock = clock;
    this.peers = around.peers;
    this.fleet = new Fleet(log);
    this.shardAssignment = new ShardAssignment(settings.teams, settings.controllers);
    this.state = new StateClient(
      around.state,
      around.watches,
      settings.state,
      settings.controllers,
      clock,
      figures.callMs,
    );
    const cloud = new CloudClient(
      around.cloud,
      settings.cloud.rps,
      clock,
      // A call to the cloud takes a good part of a second; a lost one is sent again under the same name.
      REPORT_TIMEOUT_S * 1000,
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
      this.follow(changes);
    });
  }

  private makeMembership(): Membership {
    return new Membership(
      { node: this.settings.node, incarnation: this.incarnation },
      this.settings.controllers,
      this.settings.controllers,
      this.figures,
      this.state,
      this.replica,
      this.clock,
      {
        ownership: () => {
          this.shards.followOwnership();
        },
        askHandOver: (owner, shard, to) =>
          void this.askNode(owner, { handOver: { shard, to } }).catch(() => undefined),
        unsuited: (node) => this.links.policy.cannotHearWorkers(node),
      },
      this.log,
    );
  }

  private makeRouter(): ReportRouter {
    return new ReportRouter({
      node: this.settings.node,
      fleet: this.fleet,
      membership: this.membership,
      autoscaler: this.autoscaler,
      ownerOf: (shard) => this.shards.ownerOf(shard),
      askNode: (node, request) => this.askNode(node, request),
      clock: this.clock,
      misroutedSpacingMs: this.figures.misroutedSpacingMs,
      maxMachines: this.operator.maxMachines,
      links: this.links,
    });
  }

  private makeSummaryExchange(): SummaryExchange {
    return new SummaryExchange({
      assignment: this.shardAssignment,
      state: this.state,
      leader: () => this.membership.leader(),
      askNode: (node, request) => this.askNode(node, request),
      clock: this.clock,
      log: this.log,
      spacingMs: this.operator.passSpacingMs,
      valueBytes: this.settings.state.valueBytes,
      queueTimeoutMs: this.figures.submitQueueTimeoutMs,
    });
  }

  private makeShardHost(): ShardHost {
    const { roundMs, preemptMs, quietTicks, staleMs } = this.figures;
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
    return new Autoscaler(
      this.settings,
      this.operator,
      cloud,
      this.state,
      this.replica,
      this.fleet,
      this.clock,
      {
        leadership: () => this.membership.leadership(),
        askOwner: (shard, request) => this.askNode(this.membership.owner(shard), request),
        mayCallCloud: () => this.links.policy.allows("order"),
      },
      this.log,
    );
  }

  private makeJobService(): JobService {
    return new JobService(
      this.settings,
      this.state,
      this.replica,
      new Freshness(this.state, this.replica, this.figures.lookupTimeoutMs),
      () => this.typesByName,
      this.shardAssignment,
      (shard, job) => this.countsOf(shard, job),
      (shard, job) => {
        this.tellCancelled(shard, job);
      },
      this.figures.submitQueueTimeoutMs,
      this.log,
    );
  }

  private makeRelay(): Relay {
    return new Relay({
      own: this.requestHandler,
      peers: this.settings.peers.map((p) => p.node),
      ask: (peer, request) => this.forward(peer, request),
      behind: () => this.behind() || !this.links.policy.allows("accept"),
      nobodyCan: () => this.links.policy.refuses("accept"),
      pauseMs: this.figures.peerMs,
      clock: this.clock,
      log: this.log,
    });
  }

  /** What users, workers and health checks reach. */
  get door(): AppParts {
    return {
      users: this.links.watchUsers(this.relay),
      report: (report) => this.router.route(report),
      healthy: () => {
        this.links.noteUserRequest();
        return this.healthy();
      },
      linkStatus: () => this.links.status(),
      decisions: () => this.metrics.report(this.settings.node),
      log: this.log,
    };
  }

  /** Follows the records and acts on them from now on; the answer ends that. */
  begin(): () => void {
    const { figures } = this;
    const pace = {
      waitMs: figures.feedWaitMs,
      spacingMs: figures.feedSpacingMs,
      retryMs: figures.feedSpacingMs * 4,
    };
    const feed = changeFeed(this.state, { whole: LIVE, followed: ROOT }, pace, this.clock, this.log);
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

  async start(): Promise<Running> {
    const end = this.begin();
    const peerPort = await this.peers.listen(this.settings.peerListen, (request) => this.answerPeer(request));
    const server = await serve(this.door, this.settings.listen, this.figures.idleConnectionMs);
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
  private behind(): boolean {
    return this.clock() - this.replica.asOf > this.figures.behindMs;
  }

  /**
   * A node that cannot follow the records stays up while peers answer it: either they answer its users' requests too,
   * or the state service is down for all and no node would do better. Cut off from both, it sends users elsewhere.
   */
  private healthy(): boolean {
    if (this.replica.asOf === -Infinity) return false;
    if (!this.behind() || this.settings.peers.length === 0) return true;
    return this.clock() - this.peers.heardAt < this.figures.behindMs;
  }

  private async forward(peer: string, { method, path, body }: UserRequest): Promise<UserAnswer> {
    const text = body === undefined ? "" : JSON.stringify(body);
    const request = { forward: { method, path, body: text } };
    const reply = await this.peers.ask(peer, request, this.figures.lookupTimeoutMs);
    if (!("answer" in reply)) return { status: 503, body: { error: "no answer" } };
    return { status: reply.answer.status, body: parseJson(reply.answer.body) ?? {} };
  }

  private tick(): void {
    this.membership.tell({ kind: "tick" });
    this.shards.tick();
    this.autoscaler.tell({ kind: "tick" });
    this.links.tick();
    if (this.behind()) this.pingPeers();
  }

  /** Whether this node is of any use without the records is for its peers' answers to show: see `healthy`. */
  private pingPeers(): void {
    const now = this.clock();
    if (now - this.lastPing < this.figures.behindMs / 4) return;
    this.lastPing = now;
    for (const { node } of this.settings.peers) this.peers.ask(node, { ping: {} }).catch(() => undefined);
  }

  private follow(changes: Change[] | null): void {
    if (changes !== null) {
      this.state.seen(changes.length);
      this.jobs.follow(changes);
    }
    this.fleet.follow(this.replica, changes);
    if (changes === null || changes.some((c) => c.key.startsWith(prefixes.types)))
      this.typesByName = new Map(
        this.replica
          .under(prefixes.types)
          .map((entry) => [(entry.value as MachineType).name, entry.value as MachineType]),
      );
    this.shards.followRecords(changes);
    if (changes === null || changes.some((c) => concernsMembership(c.key)))
      this.membership.tell({ kind: "records" });
  }

  /** Where views of links come from and go to; null while the monitor is off. */
  get viewExchange(): ViewExchange | null {
    return this.peers.viewExchange;
  }

  private askNode(node: string | null, request: PeerRequest): Promise<PeerReply> {
    if (node === this.settings.node) return this.answerPeer(request);
    return node === null ? Promise.resolve(NOTHING) : this.peers.ask(node, request);
  }

  /** Answers another controller's request, or one of this process itself. */
  answerPeer(request: PeerRequest): Promise<PeerReply> {
    return answerPeerRequest(request, {
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
  private tellCancelled(shard: number, job: string): void {
    this.askNode(this.membership.owner(shard), { cancelled: { shard, job } }).catch(() => undefined);
  }

  private async countsOf(shard: number, job: string): Promise<{ done: number; running: number } | null> {
    const reply = await this.askNode(this.membership.owner(shard), { lookup: { shard, job } }).catch(
      () => null,
    );
    return reply !== null && "counts" in reply && reply.counts.known ? reply.counts : null;
  }
}
