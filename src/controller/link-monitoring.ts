/** Connects the link monitor with the rest of the process, or leaves everything as it is while the monitor is off. */
import type { CloudClient } from "../cloud/cloud-client.js";
import type { OperatorSettings } from "../config/operator.js";
import type { Settings } from "../config/settings.js";
import type { ControllerDependencies } from "./dependencies.js";
import type { UserRequestHandler } from "../http/user-requests.js";
import { UNRESTRICTED, type LinkPolicy } from "../links/link-policy.js";
import type { LinkName, ObservationSink } from "../links/model.js";
import { LinkMonitor, type LinkMonitorCallbacks } from "../links/monitor.js";
import { isCloudUnavailable, isUnavailable, ObservedJsonClient } from "../links/observed-json-client.js";
import { deriveLinkTimings } from "../links/settings.js";
import { statusWhileOff, type LinkStatus } from "../links/status.js";
import type { Membership } from "../membership/membership.js";
import type { PeerNetwork } from "../peers/peer-network.js";
import { ObservedPeerNetwork } from "../peers/observed-peer-network.js";
import type { Logger } from "../runtime/log.js";
import type { ShardHost } from "./shard-host.js";
import type { Timings } from "./timings.js";
import { HEALTH_CHECK_S, HEARTBEAT_TIMEOUT_S } from "../wire/index.js";

/** So many missed health checks make users' load balancer silent. */
const SILENT_HEALTH_CHECKS = 5;

/** The actors that the monitor asks and tells; they are made after it. */
export interface MonitoredActors {
  membership: Membership;
  shards: ShardHost;
  cloud: CloudClient;
  peers: PeerNetwork;
}

/** The link monitor of one controller, if operators have switched it on. */
export class LinkMonitoring {
  private readonly monitor: LinkMonitor | null;
  private parts: MonitoredActors | null = null;

  constructor(
    private readonly settings: Settings,
    operator: OperatorSettings,
    timings: Timings,
    incarnation: string,
    { clock }: ControllerDependencies,
    log: Logger,
  ) {
    const { links } = operator;
    const { workers, peers, cloud, controllers } = settings;
    const { callMs, tickMs, shardMovePeriodMs } = timings;
    this.monitor =
      links.mode === "off"
        ? null
        : new LinkMonitor(
            {
              node: settings.node,
              incarnation,
              peers: peers.map((peer) => peer.node),
              mode: links.mode,
              timings: deriveLinkTimings(links, { ...workers, callMs, tickMs, shardMovePeriodMs }),
              probes: { cloudRps: cloud.rps, controllers, share: links.probe_share },
              // A worker that gets no answer goes on to another controller after its time-out.
              misroutedWindowMs: HEARTBEAT_TIMEOUT_S * 1000 + 2 * workers.reportMs,
              maxMachines: operator.maxMachines,
              usersSilentMs: SILENT_HEALTH_CHECKS * HEALTH_CHECK_S * 1000,
              clock,
            },
            this.hooks(),
            log,
          );
  }

  /** The policy as it applies right now. */
  get policy(): LinkPolicy {
    return this.monitor ?? UNRESTRICTED;
  }

  /** The actors exist from now on. */
  attach(parts: MonitoredActors): void {
    this.parts = parts;
    if (this.monitor !== null) parts.peers.viewExchange = this.monitor;
  }

  /** The network, watched. */
  watch(around: ControllerDependencies): ControllerDependencies {
    if (this.monitor === null) return around;
    const { clock } = around;
    const { sink } = this;
    const state = { link: "state" as const, isRefusal: isUnavailable, sink, clock };
    const cloud = { link: "cloud" as const, isRefusal: isCloudUnavailable, sink, clock };
    return {
      clock,
      state: new ObservedJsonClient(around.state, { ...state, timed: true }),
      watches: new ObservedJsonClient(around.watches, { ...state, timed: false }),
      cloud: new ObservedJsonClient(around.cloud, { ...cloud, timed: false }),
      peers: new ObservedPeerNetwork(around.peers, sink),
    };
  }

  /** Users' requests, watched. */
  watchUsers(users: UserRequestHandler): UserRequestHandler {
    if (this.monitor === null) return users;
    return {
      handle: (request) => {
        this.noteUserRequest();
        return users.handle(request);
      },
    };
  }

  /** A user's request or a health check came. */
  noteUserRequest(): void {
    if (this.monitor !== null) this.sink({ kind: "delivered", link: "users", direction: "inbound" });
  }

  /** A report of a worker of an own shard came; the token of the present term shows that an answer was taken. */
  noteReport(shard: number, token: number): void {
    if (this.monitor === null) return;
    this.sink({ kind: "delivered", link: "workers", direction: "inbound" });
    if (token === this.parts?.membership.token(shard))
      this.sink({ kind: "delivered", link: "workers", direction: "outbound" });
  }

  /** A worker that follows the token of another controller's shard came here. */
  noteMisrouted(shard: number, term: number, host: string): void {
    this.monitor?.tell({ kind: "misrouted", shard, term, host });
  }

  tick(): void {
    this.monitor?.tell({ kind: "tick" });
  }

  status(): LinkStatus {
    return this.monitor?.status() ?? statusWhileOff(this.settings.node);
  }

  private readonly sink: ObservationSink = (observation) => {
    this.monitor?.tell({ kind: "observed", observation });
  };

  private hooks(): LinkMonitorCallbacks {
    return {
      ownedShards: () => this.parts?.shards.statuses() ?? [],
      isLeader: () => this.parts !== null && this.parts.membership.leadership() !== null,
      isMember: (node) => this.parts?.membership.cluster.members.has(node) ?? false,
      probe: (link) => {
        this.probe(link);
      },
      handOver: (shard, successor) =>
        void this.parts?.membership.tell({ kind: "hand_over", shard, successor }),
      resign: () => void this.parts?.membership.tell({ kind: "resign" }),
    };
  }

  /** Whatever comes of a probe is seen where all calls are. */
  private probe(link: LinkName): void {
    if (this.parts === null) return;
    const { cloud, peers } = this.parts;
    if (link === "cloud" && cloud.tryAcquireCall()) cloud.listMachineTypes().catch(() => undefined);
    const peer = /^peer:(.+)$/.exec(link)?.[1];
    if (peer !== undefined) peers.request(peer, { ping: {} }).catch(() => undefined);
  }
}
