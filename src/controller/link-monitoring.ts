/** Connects the link monitor to the rest of the process; has no effect if the monitor is off. */
import type { CloudClient } from "../cloud/cloud-client.js";
import type { OperatorSettings } from "../config/operator.js";
import type { Settings } from "../config/settings.js";
import type { ControllerDependencies } from "./dependencies.js";
import type { UserRequestHandler } from "../http/user-requests.js";
import { UNRESTRICTED, type LinkPolicy } from "../links/link-policy.js";
import type { LinkName, ObservationSink } from "../links/model.js";
import { LinkMonitor, type LinkMonitorCallbacks, type LinkMonitorOptions } from "../links/monitor.js";
import { isCloudUnavailable, isUnavailable, ObservedJsonClient } from "../links/observed-json-client.js";
import { deriveLinkTimings } from "../links/settings.js";
import { statusWhileOff, type LinkStatus } from "../links/status.js";
import type { Membership } from "../membership/membership.js";
import type { PeerNetwork } from "../peers/peer-network.js";
import { ObservedPeerNetwork } from "../peers/observed-peer-network.js";
import type { SteadyClock } from "../runtime/clock.js";
import type { Logger } from "../runtime/log.js";
import type { ShardHost } from "./shard-host.js";
import type { Timings } from "./timings.js";
import { HEALTH_CHECK_S, HEARTBEAT_TIMEOUT_S } from "../wire/index.js";

/** Number of missed health checks after which the users' load balancer counts as silent. */
const MISSED_HEALTH_CHECKS_UNTIL_SILENT = 5;

/** Dependencies of the link monitoring. */
export interface LinkMonitoringDependencies {
  readonly settings: Settings;
  readonly operator: OperatorSettings;
  readonly timings: Timings;
  /** Distinguishes this run of the controller from earlier ones on the same node. */
  readonly incarnation: string;
  readonly clock: SteadyClock;
  readonly log: Logger;
}

/** The components that the monitor queries and sends messages to; they are created after it. */
export interface MonitoredComponents {
  membership: Membership;
  shards: ShardHost;
  cloud: CloudClient;
  peers: PeerNetwork;
}

/** The link monitor of one controller, if operators have enabled it. */
export class LinkMonitoring {
  private readonly node: string;
  private readonly monitor: LinkMonitor | null;
  private components: MonitoredComponents | null = null;

  constructor(dependencies: LinkMonitoringDependencies) {
    this.node = dependencies.settings.node;
    const { mode } = dependencies.operator.links;
    this.monitor =
      mode === "off"
        ? null
        : new LinkMonitor(monitorOptions(dependencies, mode), this.monitorCallbacks(), dependencies.log);
  }

  /** The policy that currently applies. */
  get policy(): LinkPolicy {
    return this.monitor ?? UNRESTRICTED;
  }

  /** Connects the monitor to the other components; called once, when they have been created. */
  attach(components: MonitoredComponents): void {
    this.components = components;
    if (this.monitor !== null) components.peers.viewExchange = this.monitor;
  }

  /** Wraps the clients so that the monitor observes their calls; returns them unchanged if the monitor is off. */
  observe(dependencies: ControllerDependencies): ControllerDependencies {
    if (this.monitor === null) return dependencies;
    const { clock } = dependencies;
    const { sink } = this;
    const state = { link: "state" as const, isRefusal: isUnavailable, sink, clock };
    const cloud = { link: "cloud" as const, isRefusal: isCloudUnavailable, sink, clock };
    return {
      clock,
      state: new ObservedJsonClient(dependencies.state, { ...state, isLatencyMeaningful: true }),
      watches: new ObservedJsonClient(dependencies.watches, { ...state, isLatencyMeaningful: false }),
      cloud: new ObservedJsonClient(dependencies.cloud, { ...cloud, isLatencyMeaningful: false }),
      peers: new ObservedPeerNetwork(dependencies.peers, sink),
    };
  }

  /** Wraps a handler so that the monitor observes its requests; returns it unchanged if the monitor is off. */
  observeUserRequests(handler: UserRequestHandler): UserRequestHandler {
    if (this.monitor === null) return handler;
    return {
      handle: (request) => {
        this.recordUserRequest();
        return handler.handle(request);
      },
    };
  }

  /** Records that a user request or a health check was received. */
  recordUserRequest(): void {
    if (this.monitor !== null) this.sink({ kind: "delivered", link: "users", direction: "inbound" });
  }

  /**
   * Records a heartbeat for a shard of this process. The current token proves that the worker has received a response.
   */
  recordHeartbeat(shard: number, token: number): void {
    if (this.monitor === null) return;
    this.sink({ kind: "delivered", link: "workers", direction: "inbound" });
    if (token === this.components?.membership.token(shard))
      this.sink({ kind: "delivered", link: "workers", direction: "outbound" });
  }

  /** Records a heartbeat from a worker of another controller's shard. */
  recordMisroutedHeartbeat(shard: number, term: number, host: string): void {
    this.monitor?.tell({ kind: "misrouted", shard, term, host });
  }

  /** Lets the monitor handle timeouts and periodic work. */
  tick(): void {
    this.monitor?.tell({ kind: "tick" });
  }

  /** The state of all links, as reported to operators. */
  status(): LinkStatus {
    return this.monitor?.status() ?? statusWhileOff(this.node);
  }

  private readonly sink: ObservationSink = (observation) => {
    this.monitor?.tell({ kind: "observed", observation });
  };

  private monitorCallbacks(): LinkMonitorCallbacks {
    return {
      ownedShards: () => this.components?.shards.statuses() ?? [],
      isLeader: () => this.components !== null && this.components.membership.leaderVersion() !== null,
      isMember: (node) => this.components?.membership.cluster.members.has(node) ?? false,
      probe: (link) => {
        this.probe(link);
      },
      handOver: (shard, successor) => {
        this.components?.membership.tell({ kind: "hand_over", shard, successor });
      },
      resign: () => {
        this.components?.membership.tell({ kind: "resign" });
      },
    };
  }

  /** Probes a link with an ordinary call, whose outcome is observed like that of any other call. */
  private probe(link: LinkName): void {
    if (this.components === null) return;
    const { cloud, peers } = this.components;
    if (link === "cloud" && cloud.tryAcquireCall()) cloud.listMachineTypes().catch(() => undefined);
    const peer = /^peer:(.+)$/.exec(link)?.[1];
    if (peer !== undefined) peers.request(peer, { ping: {} }).catch(() => undefined);
  }
}

function monitorOptions(
  { settings, operator, timings, incarnation, clock }: LinkMonitoringDependencies,
  mode: LinkMonitorOptions["mode"],
): LinkMonitorOptions {
  const { links, maxMachines } = operator;
  const { node, workers, peers, cloud, controllers } = settings;
  const { callTimeoutMs, tickMs, shardMovePeriodMs } = timings;
  return {
    node,
    incarnation,
    peers: peers.map((peer) => peer.node),
    mode,
    timings: deriveLinkTimings(links, {
      ...workers,
      callTimeoutMs,
      tickMs,
      shardMovePeriodMs,
    }),
    probes: { cloudRps: cloud.rps, controllers, share: links.probe_share },
    // A worker without a response sends its next heartbeat to another controller after its timeout.
    misroutedWindowMs: HEARTBEAT_TIMEOUT_S * 1000 + 2 * workers.heartbeatIntervalMs,
    maxMachines,
    usersSilenceMs: MISSED_HEALTH_CHECKS_UNTIL_SILENT * HEALTH_CHECK_S * 1000,
    clock,
  };
}
