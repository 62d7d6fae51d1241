/**
 * The actor that monitors this controller's links. It collects evidence from regular traffic and peers' views, derives
 * the state of each link and direction at every tick, and applies the degradation policy. The cost of a tick depends on
 * the number of links only; the cost of a heartbeat does not depend on the number of machines.
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
  /** A worker sent a heartbeat to this controller although it holds the token of another controller's shard. */
  | { kind: "misrouted"; shard: number; term: number; host: string }
  | { kind: "tick" };

/** What the monitor requires of the rest of the process. */
export interface LinkMonitorCallbacks extends RemediationCallbacks {
  ownedShards(): OwnedShardStatus[];
  /** Sends a probe. Its result is observed like that of any other call. */
  probe(link: LinkName): void;
}

/** Options of a `LinkMonitor`. */
export interface LinkMonitorOptions {
  node: string;
  incarnation: string;
  /** The other controllers. */
  peers: string[];
  mode: Exclude<MonitorMode, "off">;
  timings: LinkTimings;
  probes: Omit<ProbeRates, "minPeerIntervalMs">;
  /** How long a worker counts as misrouted after its last misrouted heartbeat, in milliseconds. */
  misroutedWindowMs: number;
  maxMachines: number;
  /** The users' load balancer counts as silent after this time without a health check, in milliseconds. */
  usersSilenceMs: number;
  clock: SteadyClock;
}

/** Monitors the links of one controller. */
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
    const sharedDependencies = { clock, stallAwareClock, table };
    this.viewSender = new ViewSender({
      ...sharedDependencies,
      node,
      incarnation,
      misrouted,
      minIntervalMs: minViewIntervalMs,
    });
    this.silence = new SilenceDetector({ ...sharedDependencies, views, timings, usersSilenceMs });
    this.degradation = new DegradationState({ table, peers, mode, log });
    this.prober = new LinkProber({
      ...sharedDependencies,
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

  /** Whether the policy currently lets this controller perform an activity itself. */
  allows(activity: Activity): boolean {
    return !this.isEnforcing || this.degradation.rules[activity].decision === "allowed";
  }

  /** Whether the policy refuses an activity, so that it is not delegated to peers either. */
  refuses(activity: Activity): boolean {
    return this.isEnforcing && this.degradation.rules[activity].decision === "refused";
  }

  /** Whether a shard may be handed over because its workers reach a peer instead. If true, it counts as an attempt. */
  tryHandOver(shard: number): boolean {
    return !this.isEnforcing || this.remediation.tryHandOver(shard);
  }

  /** Whether a peer's latest view shows its workers as lost, so that it should not be assigned shards. */
  isCutOffFromWorkers(node: string): boolean {
    if (!this.isEnforcing) return false;
    const view = this.views.currentOf(node, this.options.clock());
    return view !== undefined && hasLostWorkers(view);
  }

  /** Returns the view to attach to a frame to a peer; undefined if the last one was sent too recently. */
  nextOutgoingView(node: string): Uint8Array | undefined {
    return this.viewSender.nextViewFor(node);
  }

  /** Processes a view that came with a frame. Returns the node that sent it, or null if the view is dropped. */
  receiveView(bytes: Uint8Array): string | null {
    const result = this.views.receive(bytes, this.options.clock());
    if (!result.ok) {
      this.recordDroppedView(result.reason);
      return null;
    }
    const { node } = result.view;
    this.observe({ kind: "delivered", link: peerLink(node), direction: "inbound" });
    return node;
  }

  /** Returns the status that operators see. */
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
      // The worker may have received its token long ago, so the token does not show that responses still reach it. That
      // shows once the worker stays with this controller.
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
    // Only the first of each reason is logged at info level; the status counts them all.
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
   * Only views received after a failure began count as votes on its scope. For the workers' link, peers' own states do
   * not count since their workers are different ones; a peer votes `working` if workers of owned shards reach it.
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
