/** The composition root: creates the components of one controller and wires them together. */
import { Autoscaler } from "../autoscaling/autoscaler.js";
import { CloudClient } from "../cloud/cloud-client.js";
import type { OperatorSettings } from "../config/operator.js";
import type { Settings } from "../config/settings.js";
import { RequestForwarder } from "../http/request-forwarder.js";
import { JobRequestHandler } from "../http/user-requests.js";
import { JobService } from "../jobs/job-service.js";
import { ShardAssignment } from "../jobs/shard-assignment.js";
import { Membership } from "../membership/membership.js";
import type { PeerNetwork } from "../peers/peer-network.js";
import type { Logger } from "../runtime/log.js";
import { DecisionMetrics } from "../shards/decision-metrics.js";
import { ReadBarrier } from "../state/read-barrier.js";
import { Replica } from "../state/replica.js";
import { StateStoreClient } from "../state/state-store-client.js";
import { HEARTBEAT_TIMEOUT_S } from "../wire/index.js";
import { Fleet } from "../workers/fleet.js";
import { ControllerRequests } from "./controller-requests.js";
import type { ControllerDependencies } from "./dependencies.js";
import { HealthMonitor } from "./health-monitor.js";
import { HeartbeatRouter } from "./heartbeat-router.js";
import { LinkMonitoring } from "./link-monitoring.js";
import { MachineTypes } from "./machine-types.js";
import { PeerRequestHandler } from "./peer-request-handler.js";
import { RecordDispatcher } from "./record-dispatcher.js";
import { ShardHost } from "./shard-host.js";
import { SummaryExchange } from "./summary-exchange.js";
import { deriveTimings, type Timings } from "./timings.js";

/**
 * The components of one controller. Some depend on each other cyclically; a component that is created later is accessed
 * through a callback, and no callback is called before all components exist.
 */
export class ControllerParts {
  readonly timings: Timings;
  readonly links: LinkMonitoring;
  readonly peers: PeerNetwork;
  readonly state: StateStoreClient;
  readonly replica = new Replica();
  readonly membership: Membership;
  readonly shards: ShardHost;
  readonly autoscaler: Autoscaler;
  readonly health: HealthMonitor;
  readonly heartbeatRouter: HeartbeatRouter;
  readonly requestForwarder: RequestForwarder;
  readonly peerRequests: PeerRequestHandler;
  readonly metrics = new DecisionMetrics();

  /** Distinguishes this run of the controller from earlier ones on the same node. */
  private readonly incarnation = crypto.randomUUID();
  private readonly machineTypes = new MachineTypes();
  private readonly fleet: Fleet;
  private readonly shardAssignment: ShardAssignment;
  private readonly controllerRequests: ControllerRequests;
  private readonly jobs: JobService;
  private readonly jobRequests: JobRequestHandler;
  private readonly summaries: SummaryExchange;

  constructor(
    private readonly settings: Settings,
    private readonly operator: OperatorSettings,
    private readonly log: Logger,
    private readonly dependencies: ControllerDependencies,
  ) {
    this.timings = deriveTimings(settings, operator);
    this.links = this.makeLinkMonitoring();
    const observed = this.links.observe(dependencies);
    this.peers = observed.peers;
    this.fleet = new Fleet(log);
    this.shardAssignment = new ShardAssignment(settings.teams, settings.controllers);
    this.state = this.makeStateStoreClient(observed);
    const cloud = this.makeCloudClient(observed);
    this.controllerRequests = this.makeControllerRequests();
    this.membership = this.makeMembership();
    this.shards = this.makeShardHost();
    this.links.attach({ membership: this.membership, shards: this.shards, cloud, peers: this.peers });
    this.autoscaler = this.makeAutoscaler(cloud);
    this.jobs = this.makeJobService();
    this.jobRequests = new JobRequestHandler(this.jobs);
    this.health = this.makeHealthMonitor();
    this.requestForwarder = this.makeRequestForwarder();
    this.heartbeatRouter = this.makeHeartbeatRouter();
    this.summaries = this.makeSummaryExchange();
    this.peerRequests = this.makePeerRequestHandler();
    this.dispatchRecordChanges();
  }

  private makeLinkMonitoring(): LinkMonitoring {
    return new LinkMonitoring({
      settings: this.settings,
      operator: this.operator,
      timings: this.timings,
      incarnation: this.incarnation,
      clock: this.dependencies.clock,
      log: this.log,
    });
  }

  private makeStateStoreClient(observed: ControllerDependencies): StateStoreClient {
    return new StateStoreClient({
      http: observed.state,
      watchHttp: observed.watches,
      limits: this.settings.state,
      controllers: this.settings.controllers,
      clock: this.dependencies.clock,
      timeoutMs: this.timings.callTimeoutMs,
    });
  }

  private makeCloudClient(observed: ControllerDependencies): CloudClient {
    return new CloudClient(
      observed.cloud,
      this.settings.cloud.rps,
      this.dependencies.clock,
      // Calls to the cloud can take most of a second; a lost order is retried under the same name, which is idempotent.
      HEARTBEAT_TIMEOUT_S * 1000,
    );
  }

  private makeControllerRequests(): ControllerRequests {
    return new ControllerRequests({
      node: this.settings.node,
      peers: this.peers,
      answerLocally: (request) => this.peerRequests.handle(request),
      ownerOf: (shard) => this.membership.owner(shard),
      forwardTimeoutMs: this.timings.lookupTimeoutMs,
    });
  }

  private makeMembership(): Membership {
    return new Membership({
      self: { node: this.settings.node, incarnation: this.incarnation },
      // The number of shards equals the number of controllers.
      shards: this.settings.controllers,
      controllers: this.settings.controllers,
      timings: this.timings,
      state: this.state,
      view: this.replica,
      clock: this.dependencies.clock,
      callbacks: {
        onOwnershipChanged: () => {
          this.shards.reconcileOwnership();
        },
        requestHandOver: (owner, shard, successor) => {
          this.controllerRequests.requestHandOver(owner, shard, successor);
        },
        isCutOffFromWorkers: (node) => this.links.policy.isCutOffFromWorkers(node),
      },
      log: this.log,
    });
  }

  private makeShardHost(): ShardHost {
    const { roundBudgetMs, minPreemptionIntervalMs, maxTicksWithoutHeartbeat, maxViewAgeMs } = this.timings;
    return new ShardHost({
      settings: this.settings,
      timings: {
        roundBudgetMs,
        minPreemptionIntervalMs,
        maxTicksWithoutHeartbeat,
        maxViewAgeMs,
        minIntervalMs: this.operator.passSpacingMs,
      },
      metrics: this.metrics,
      state: this.state,
      replica: this.replica,
      fleet: this.fleet,
      membership: this.membership,
      linkPolicy: this.links.policy,
      machineTypes: () => this.machineTypes.byName,
      sendSummary: (summary) => {
        this.summaries.send(summary);
      },
      clock: this.dependencies.clock,
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
      clock: this.dependencies.clock,
      callbacks: {
        leaderVersion: () => this.membership.leaderVersion(),
        requestOwner: (shard, request) => this.controllerRequests.sendToOwner(shard, request),
        canCallCloud: () => this.links.policy.allows("order"),
      },
      log: this.log,
    });
  }

  private makeJobService(): JobService {
    return new JobService({
      settings: this.settings,
      state: this.state,
      replica: this.replica,
      readBarrier: new ReadBarrier(this.state, this.replica, this.timings.lookupTimeoutMs),
      machineTypes: () => this.machineTypes.byName,
      shardAssignment: this.shardAssignment,
      taskCounts: (shard, job) => this.controllerRequests.taskCounts(shard, job),
      notifyOwnerOfCancellation: (shard, job) => {
        this.controllerRequests.notifyOwnerOfCancellation(shard, job);
      },
      queueTimeoutMs: this.timings.submitQueueTimeoutMs,
      log: this.log,
    });
  }

  private makeHealthMonitor(): HealthMonitor {
    return new HealthMonitor({
      replica: this.replica,
      peers: this.peers,
      peerNames: this.settings.peers.map(({ node }) => node),
      maxReplicaLagMs: this.timings.maxReplicaLagMs,
      clock: this.dependencies.clock,
    });
  }

  private makeRequestForwarder(): RequestForwarder {
    return new RequestForwarder({
      localHandler: this.jobRequests,
      peers: this.settings.peers.map(({ node }) => node),
      forward: (peer, request) => this.controllerRequests.forward(peer, request),
      isBehind: () => this.health.isBehind() || !this.links.policy.allows("accept"),
      isClusterUnavailable: () => this.links.policy.refuses("accept"),
      peerBackoffMs: this.timings.peerTimeoutMs,
      clock: this.dependencies.clock,
      log: this.log,
    });
  }

  private makeHeartbeatRouter(): HeartbeatRouter {
    return new HeartbeatRouter({
      node: this.settings.node,
      fleet: this.fleet,
      membership: this.membership,
      autoscaler: this.autoscaler,
      ownerOf: (shard) => this.shards.ownerOf(shard),
      requestController: (node, request) => this.controllerRequests.send(node, request),
      clock: this.dependencies.clock,
      minMisroutedNoticeIntervalMs: this.timings.minMisroutedNoticeIntervalMs,
      maxMachines: this.operator.maxMachines,
      links: this.links,
    });
  }

  private makeSummaryExchange(): SummaryExchange {
    return new SummaryExchange({
      assignment: this.shardAssignment,
      state: this.state,
      leader: () => this.membership.leader(),
      requestController: (node, request) => this.controllerRequests.send(node, request),
      clock: this.dependencies.clock,
      log: this.log,
      passSpacingMs: this.operator.passSpacingMs,
      valueBytes: this.settings.state.valueBytes,
      queueTimeoutMs: this.timings.submitQueueTimeoutMs,
    });
  }

  private makePeerRequestHandler(): PeerRequestHandler {
    return new PeerRequestHandler({
      autoscaler: this.autoscaler,
      membership: this.membership,
      userRequestHandler: this.jobRequests,
      ownerOf: (shard) => this.shards.ownerOf(shard),
      tryAcquireHandOver: (shard) => this.links.policy.tryHandOver(shard),
      linkStatus: () => this.links.status(),
      recordSummary: (summary) => this.summaries.receive(summary),
    });
  }

  private dispatchRecordChanges(): void {
    const dispatcher = new RecordDispatcher({
      replica: this.replica,
      state: this.state,
      jobs: this.jobs,
      fleet: this.fleet,
      machineTypes: this.machineTypes,
      shards: this.shards,
      membership: this.membership,
    });
    this.replica.onChange((changes) => {
      dispatcher.dispatch(changes);
    });
  }
}
