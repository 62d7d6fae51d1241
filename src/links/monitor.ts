/**
 * The actor that watches this controller's links: it collects evidence from the traffic that flows anyway and peers'
 * views, derives a state per link and direction at every tick, and says what the controller may do. The cost of a tick
 * depends on the number of links, and a heartbeat costs the same however many machines there are.
 */
import { Actor } from "../runtime/actor.js";
import type { SteadyClock } from "../runtime/clock.js";
import type { Logger } from "../runtime/log.js";
import { ACTIVITIES, type Activity } from "./degradation-policy.js";
import { DegradationState } from "./degradation-state.js";
import { diagnose } from "./diagnosis.js";
import type { LinkPolicy } from "./link-policy.js";
import { LinkProber } from "./link-prober.js";
import { LinkTable, type LinkTableEntry } from "./link-table.js";
import type { ViewRejection } from "./link-view.js";
import { MisroutedWorkers } from "./misrouted-workers.js";
import { peerLink, type DirectionReport, type LinkName, type Observation } from "./model.js";
import { PeerViews, type Votes } from "./peer-views.js";
import { ProbeBudget, type ProbeRates } from "./probe-budget.js";
import { hasLostWorkers, misroutedWorkersSeenBy, type OwnedShardStatus } from "./remediation.js";
import { RemediationRunner, type RemediationCallbacks } from "./remediation-runner.js";
import type { LinkTimings, MonitorMode } from "./settings.js";
import { SilenceDetector } from "./silence-detector.js";
import { StallAwareClock } from "./stall-aware-clock.js";
import type { LinkStatus } from "./status.js";
import { ViewSender } from "./view-sender.js";

/** Messages to the monitor. */
export type LinkMonitorMessage =
  | { kind: "observed"; observation: Observation }
  /** A worker of another controller's shard came here although it follows that controller's token. */
  | { kind: "misrouted"; shard: number; term: number; host: string }
  | { kind: "tick" };

/** What the monitor needs of the rest of the process. */
export interface LinkMonitorCallbacks extends RemediationCallbacks {
  ownedShards(): OwnedShardStatus[];
  /** Sends a probe; its outcome is observed where all calls are. */
  probe(link: LinkName): void;
}

/** What the monitor is made with. */
export interface LinkMonitorOptions {
  node: string;
  incarnation: string;
  /** The other controllers. */
  peers: string[];
  mode: Exclude<MonitorMode, "off">;
  timings: LinkTimings;
  probes: Omit<ProbeRates, "minPeerIntervalMs">;
  /** How long a worker that turned elsewhere counts as misrouted. */
  misroutedWindowMs: number;
  maxMachines: number;
  /** Without a health check for so long, the users' load balancer counts as silent; milliseconds. */
  usersSilenceMs: number;
  clock: SteadyClock;
}

/** Watches the links of one controller. */
export class LinkMonitor extends Actor<LinkMonitorMessage> implements LinkPolicy {
  private readonly stallAwareClock: StallAwareClock;
  private readonly table: LinkTable;
  private readonly views: PeerViews;
  private readonly misrouted: MisroutedWorkers;
  private readonly viewSender: ViewSender;
  private readonly silence: SilenceDetector;
  private readonly degradation: DegradationState;
  private readonly prober: LinkProber;
  private readonly remediation: RemediationRunner;
  private readonly droppedViewCounts = new Map<ViewRejection, number>();

  constructor(
    private readonly options: LinkMonitorOptions,
    private readonly callbacks: LinkMonitorCallbacks,
    log: Logger,
  ) {
    super(log);
    const { node, incarnation, clock, timings, peers, probes, mode, usersSilenceMs } = options;
    const { minViewIntervalMs } = timings;
    const stallAwareClock = (this.stallAwareClock = new StallAwareClock(clock, timings));
    const table = (this.table = new LinkTable(peers, timings, clock()));
    const views = (this.views = new PeerViews(new Set(peers), timings.viewTtlMs));
    const misrouted = (this.misrouted = new MisroutedWorkers(options.misroutedWindowMs, options.maxMachines));
    const watched = { clock, stallAwareClock, table };
    this.viewSender = new ViewSender({
      ...watched,
      node,
      incarnation,
      misrouted,
      minIntervalMs: minViewIntervalMs,
    });
    this.silence = new SilenceDetector({ ...watched, views, timings, usersSilenceMs });
    this.degradation = new DegradationState({ table, peers, mode, log });
    this.prober = new LinkProber({
      ...watched,
      views,
      budget: new ProbeBudget({ ...probes, minPeerIntervalMs: 2 * minViewIntervalMs }, clock),
      peers,
      maxViewAgeMs: 2 * minViewIntervalMs,
      probe: (link) => {
        callbacks.probe(link);
      },
    });
    this.remediation = new RemediationRunner({ clock, table, views, timings, callbacks, log });
  }

  private get isEnforcing(): boolean {
    return this.options.mode === "enforce";
  }

  /** Whether the policy lets this controller do something itself now. */
  allows(activity: Activity): boolean {
    return !this.isEnforcing || this.degradation.rules[activity].decision === "allowed";
  }

  /** Whether the policy keeps an activity from being passed on to peers: nobody would do better. */
  refuses(activity: Activity): boolean {
    return this.isEnforcing && this.degradation.rules[activity].decision === "refused";
  }

  /** Whether a shard may be handed over again for the sake of its workers; asking counts as an attempt. */
  tryHandOver(shard: number): boolean {
    return !this.isEnforcing || this.remediation.tryHandOver(shard);
  }

  /** Whether a peer, by its latest view, receives no heartbeats: shards are better off elsewhere. */
  isCutOffFromWorkers(node: string): boolean {
    if (!this.isEnforcing) return false;
    const view = this.views.currentOf(node, this.options.clock());
    return view !== undefined && hasLostWorkers(view);
  }

  /** The view to attach to a frame to a peer, if it is time for one. */
  outgoing(node: string): Uint8Array | undefined {
    return this.viewSender.nextViewFor(node);
  }

  /** Takes a view that came with a frame, and returns the node that it is from; null where it is dropped. */
  incoming(bytes: Uint8Array): string | null {
    const result = this.views.receive(bytes, this.options.clock());
    if (!result.ok) {
      this.recordDroppedView(result.reason);
      return null;
    }
    const { node } = result.view;
    this.observe({ kind: "delivered", link: peerLink(node), direction: "inbound" });
    return node;
  }

  /** What operators are shown. */
  status(): LinkStatus {
    const { node, mode } = this.options;
    const { losses, rules } = this.degradation;
    return {
      node,
      mode,
      links: Array.from(this.table.all(), (entry) => this.directionReport(entry)),
      lost: [...losses],
      activities: ACTIVITIES.map((activity) => ({ activity, ...rules[activity] })),
      droppedViews: Object.fromEntries(this.droppedViewCounts),
    };
  }

  protected override receive(message: LinkMonitorMessage): void {
    switch (message.kind) {
      case "observed":
        this.observe(message.observation);
        return;
      case "misrouted":
        this.misrouted.record(message.shard, message.term, message.host, this.options.clock());
        return;
      case "tick":
        this.tick();
        return;
    }
  }

  private observe(observation: Observation): void {
    if (observation.kind === "delivered" && observation.link === "workers") {
      if (observation.direction === "inbound") this.silence.recordHeartbeat();
      // A worker shows a token that it took long ago: whether responses still reach it has to show by its staying here.
      else if (this.silence.hasLostResponses) return;
    }
    this.table.observe(observation, this.stallAwareClock.now());
  }

  private tick(): void {
    this.stallAwareClock.tick();
    const shards = this.callbacks.ownedShards();
    if (this.stallAwareClock.isDelayed) this.silence.reset();
    else this.silence.check(shards);
    this.reviewLinks(shards);
    this.prober.probeLinks();
    if (this.isEnforcing) this.remediation.run(shards);
  }

  private recordDroppedView(reason: ViewRejection): void {
    const count = (this.droppedViewCounts.get(reason) ?? 0) + 1;
    this.droppedViewCounts.set(reason, count);
    // The first of a kind is worth a line; a peer that keeps sending them is seen in the status.
    if (count === 1) this.log.info({ reason }, "peer's view of its links dropped");
    else this.log.debug({ reason, count }, "peer's view of its links dropped");
  }

  private reviewLinks(shards: OwnedShardStatus[]): void {
    const now = this.stallAwareClock.now();
    for (const entry of this.table.all()) {
      const before = entry.diagnosis.state;
      entry.tracker.evaluate(now);
      if (!entry.tracker.isFailingOrRecovering) entry.failingSince = null;
      else entry.failingSince ??= this.options.clock();
      const { link, direction, tracker } = entry;
      entry.diagnosis = diagnose({
        link,
        direction,
        state: tracker.state,
        evidence: tracker.evidence,
        isStalled: this.stallAwareClock.isDelayed,
        votes: this.votesFor(entry, shards),
      });
      if (entry.diagnosis.state !== before) this.logTransition(entry, before);
    }
    this.degradation.update();
  }

  /**
   * Only views from after a failure began say whether it is one for all. Peers' workers are others than ours: what counts
   * there is whether ours turn to them.
   */
  private votesFor({ link, direction, failingSince }: LinkTableEntry, shards: OwnedShardStatus[]): Votes {
    const now = this.options.clock();
    if (link !== "workers") return this.views.votes(link, direction, now, failingSince ?? -Infinity);
    const reachedBy = this.views
      .current(now)
      .filter((view) => shards.some((shard) => misroutedWorkersSeenBy(view, shard) > 0));
    return { working: reachedBy.map((view) => view.node), failing: [] };
  }

  private logTransition(entry: LinkTableEntry, from: string): void {
    const { state, evidence, scope } = entry.diagnosis;
    const now = this.options.clock();
    const afterMs = Math.round(now - entry.stateChangedAt);
    entry.stateChangedAt = now;
    const { link, direction } = entry;
    this.log.info({ link, direction, from, to: state, evidence, scope, afterMs }, "link state changed");
  }

  private directionReport(entry: LinkTableEntry): DirectionReport {
    const { link, direction } = entry;
    const forMs = this.options.clock() - entry.stateChangedAt;
    return { link, direction, forMs, ...entry.diagnosis };
  }
}
