/** Connects the link monitor with the rest of the process, or leaves everything as it is while the monitor is off. */
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

/** The number of missed health checks after which the users' load balancer counts as silent. */
const MISSED_HEALTH_CHECKS_UNTIL_SILENT = 5;

/** What the link monitoring is made from. */
export interface LinkMonitoringDependencies {
  readonly settings: Settings;
  readonly operator: OperatorSettings;
  readonly timings: Timings;
  /** Tells this life of the controller from earlier ones. */
  readonly incarnation: string;
  readonly clock: SteadyClock;
  readonly log: Logger;
}

/** The actors that the monitor queries and sends messages to; they are made after it. */
export interface MonitoredActors {
  membership: Membership;
  shards: ShardHost;
  cloud: CloudClient;
  peers: PeerNetwork;
}

/** The link monitor of one controller, if operators have switched it on. */
export class LinkMonitoring {
  private readonly node: string;
  private readonly monitor: LinkMonitor | null;
  private actors: MonitoredActors | null = null;

  constructor(dependencies: LinkMonitoringDependencies) {
    this.node = dependencies.settings.node;
    const { mode } = dependencies.operator.links;
    this.monitor =
      mode === "off"
        ? null
        : new LinkMonitor(monitorOptions(dependencies, mode), this.monitorCallbacks(), dependencies.log);
  }

  /** The policy as it applies right now. */
  get policy(): LinkPolicy {
    return this.monitor ?? UNRESTRICTED;
  }

  /** Connects the actors, which exist from now on. */
  attach(actors: MonitoredActors): void {
    this.actors = actors;
    if (this.monitor !== null) actors.peers.viewExchange = this.monitor;
  }

  /** The network with all calls observed by the monitor; unchanged while the monitor is off. */
  observe(network: ControllerDependencies): ControllerDependencies {
    if (this.monitor === null) return network;
    const { clock } = network;
    const { sink } = this;
    const state = { link: "state" as const, isRefusal: isUnavailable, sink, clock };
    const cloud = { link: "cloud" as const, isRefusal: isCloudUnavailable, sink, clock };
    return {
      clock,
      state: new ObservedJsonClient(network.state, { ...state, timed: true }),
      watches: new ObservedJsonClient(network.watches, { ...state, timed: false }),
      cloud: new ObservedJsonClient(network.cloud, { ...cloud, timed: false }),
      peers: new ObservedPeerNetwork(network.peers, sink),
    };
  }

  /** A handler whose requests are observed by the monitor; unchanged while the monitor is off. */
  observeUsers(users: UserRequestHandler): UserRequestHandler {
    if (this.monitor === null) return users;
    return {
      handle: (request) => {
        this.recordUserRequest();
        return users.handle(request);
      },
    };
  }

  /** Notes that a user's request or a health check was received. */
  recordUserRequest(): void {
    if (this.monitor !== null) this.sink({ kind: "delivered", link: "users", direction: "inbound" });
  }

  /** Notes a heartbeat for a shard of this process; the token of the present term shows that the worker got an answer. */
  recordHeartbeat(shard: number, token: number): void {
    if (this.monitor === null) return;
    this.sink({ kind: "delivered", link: "workers", direction: "inbound" });
    if (token === this.actors?.membership.token(shard))
      this.sink({ kind: "delivered", link: "workers", direction: "outbound" });
  }

  /** Notes a heartbeat of a worker of another controller's shard. */
  recordMisroutedHeartbeat(shard: number, term: number, host: string): void {
    this.monitor?.tell({ kind: "misrouted", shard, term, host });
  }

  /** Has the monitor act on the time that has passed. */
  tick(): void {
    this.monitor?.tell({ kind: "tick" });
  }

  /** The state of all links, as operators see it. */
  status(): LinkStatus {
    return this.monitor?.status() ?? statusWhileOff(this.node);
  }

  private readonly sink: ObservationSink = (observation) => {
    this.monitor?.tell({ kind: "observed", observation });
  };

  private monitorCallbacks(): LinkMonitorCallbacks {
    return {
      ownedShards: () => this.actors?.shards.statuses() ?? [],
      isLeader: () => this.actors !== null && this.actors.membership.leaderVersion() !== null,
      isMember: (node) => this.actors?.membership.cluster.members.has(node) ?? false,
      probe: (link) => {
        this.probe(link);
      },
      handOver: (shard, targetNode) => {
        this.actors?.membership.tell({ kind: "hand_over", shard, successor: targetNode });
      },
      resign: () => {
        this.actors?.membership.tell({ kind: "resign" });
      },
    };
  }

  /** Probes a link; the result is observed like that of any other call. */
  private probe(link: LinkName): void {
    if (this.actors === null) return;
    const { cloud, peers } = this.actors;
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
    // A worker that gets no answer sends its heartbeat to another controller after its time-out.
    misroutedWindowMs: HEARTBEAT_TIMEOUT_S * 1000 + 2 * workers.heartbeatIntervalMs,
    maxMachines,
    usersSilentMs: MISSED_HEALTH_CHECKS_UNTIL_SILENT * HEALTH_CHECK_S * 1000,
    clock,
  };
}
