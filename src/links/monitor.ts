/**
 * The actor that watches this controller's links: it takes in evidence from the traffic that flows anyway and peers'
 * views, derives a state per link and direction at every tick, and says what the controller may do. What it does at a
 * tick depends on the number of links, and a report costs it the same however many machines there are.
 */
import { Actor } from "../runtime/actor.js";
import type { SteadyClock } from "../runtime/clock.js";
import type { Logger } from "../runtime/log.js";
import { AwakeClock } from "./awake-clock.js";
import { Backoff } from "./backoff.js";
import { diagnose } from "./diagnosis.js";
import type { DirectionTrack } from "./direction-track.js";
import { LinkTable, type TrackEntry } from "./link-table.js";
import { MisroutedWorkers } from "./misrouted-workers.js";
import { peerLink, type DirectionReport, type LinkName, type Observation } from "./model.js";
import { ACTIVITIES, NORMAL_RULES, rulesWithout, type Activity, type Loss, type Rules } from "./policy.js";
import { ProbeBudget, type ProbeRates } from "./probes.js";
import { ReportRate } from "./heartbeat-rate.js";
import {
  decideRemedies,
  hasLostWorkers,
  misroutedAt,
  type OwnedShardStatus,
  type Remedy,
} from "./remedies.js";
import type { LinkTimings, MonitorMode } from "./settings.js";
import type { LinkStatus } from "./status.js";
import { ViewBook, type Votes } from "./view-book.js";
import { encodeView, VIEW_VERSION, type ViewRejection } from "./views.js";

/** What the monitor is told. */
export type LinkMonitorMessage =
  | { kind: "observed"; observation: Observation }
  /** A worker of another controller's shard came here although it follows that controller's token. */
  | { kind: "misrouted"; shard: number; term: number; host: string }
  | { kind: "tick" };

/** What the monitor needs of the rest of the process. */
export interface LinkMonitorHooks {
  ownedShards(): OwnedShardStatus[];
  leads(): boolean;
  /** Whether a controller holds a membership lease, as far as the records say. */
  isMember(node: string): boolean;
  probe(link: LinkName): void;
  handOver(shard: number, to: string): void;
  resign(): void;
}

/** What the monitor is made with. */
export interface LinkMonitorOptions {
  node: string;
  incarnation: string;
  /** The other controllers. */
  peers: string[];
  mode: Exclude<MonitorMode, "off">;
  timings: LinkTimings;
  probes: Omit<ProbeRates, "peerSpacingMs">;
  /** How long a worker that turned elsewhere counts as misrouted. */
  misroutedWindowMs: number;
  maxMachines: number;
  /** Without a health check for so long, users' load balancer is not heard. */
  usersSilentMs: number;
  clock: SteadyClock;
}

/** The part of a shard's machines that must turn elsewhere before answers count as lost. */
const LOST_ANSWERS_PART = 0.5;
const RESIGNATION = "leadership";

/** Watches the links of one controller. */
export class LinkMonitor extends Actor<LinkMonitorMessage> {
  private readonly awake: AwakeClock;
  private readonly table: LinkTable;
  private readonly views: ViewBook;
  private readonly misrouted: MisroutedWorkers;
  private readonly budget: ProbeBudget;
  private readonly reportRate: ReportRate;
  private readonly moves: Backoff<number | typeof RESIGNATION>;
  private readonly dropped = new Map<ViewRejection, number>();
  private readonly viewSentAt = new Map<string, number>();
  private sequence = 0;
  /** The losses that the rules were derived from. */
  private lost: ReadonlySet<Loss> = new Set();
  private wanted: Rules = NORMAL_RULES;
  /** Whether most workers of a shard turn to peers, although they are answered here. */
  private answersLost = false;
  /** Since when, in awake time, workers have been expected to report. */
  private workersExpectedSince: number | null = null;

  constructor(
    private readonly options: LinkMonitorOptions,
    private readonly hooks: LinkMonitorHooks,
    log: Logger,
  ) {
    super(log);
    const { clock, timings, peers, probes } = options;
    this.awake = new AwakeClock(clock, timings);
    this.table = new LinkTable(peers, timings, clock());
    this.views = new ViewBook(new Set(peers), timings.viewTtlMs);
    this.misrouted = new MisroutedWorkers(options.misroutedWindowMs, options.maxMachines);
    this.budget = new ProbeBudget({ ...probes, peerSpacingMs: 2 * timings.viewSpacingMs }, clock);
    this.reportRate = new ReportRate(timings.reportMs);
    this.moves = new Backoff({ firstMs: timings.moveBackoffMs, boundMs: timings.moveBackoffBoundMs });
  }

  /** Whether the policy lets this controller do something itself now. */
  allows(activity: Activity): boolean {
    return this.options.mode !== "enforce" || this.wanted[activity].decision === "allowed";
  }

  /** Whether the policy keeps an activity from being passed on to peers: nobody would do better. */
  refuses(activity: Activity): boolean {
    return this.options.mode === "enforce" && this.wanted[activity].decision === "refused";
  }

  /** Whether a shard may be handed over again for the sake of its workers; asking counts as an attempt. */
  tryHandOver(shard: number): boolean {
    if (this.options.mode !== "enforce") return true;
    const now = this.options.clock();
    if (!this.moves.mayTry(shard, now)) return false;
    this.moves.note(shard, now);
    return true;
  }

  /** Whether a peer, by its latest view, does not hear workers: shards are better off elsewhere. */
  cannotHearWorkers(node: string): boolean {
    if (this.options.mode !== "enforce") return false;
    const view = this.views.of(node, this.options.clock());
    return view !== undefined && hasLostWorkers(view);
  }

  /** The view to attach to a frame to a peer, if it is time for one. */
  outgoing(node: string): Uint8Array | undefined {
    const now = this.options.clock();
    if (now - (this.viewSentAt.get(node) ?? -Infinity) < this.options.timings.viewSpacingMs) return undefined;
    this.viewSentAt.set(node, now);
    const links = Array.from(this.table.all(), ({ link, direction, track }) => {
      const state = this.awake.delayed ? ("unknown" as const) : track.state;
      return { link, direction, state };
    });
    return encodeView({
      version: VIEW_VERSION,
      node: this.options.node,
      incarnation: this.options.incarnation,
      sequence: ++this.sequence,
      links,
      misrouted: this.misrouted.counts(now),
    });
  }

  /** Takes in a view that came with a frame, and tells from whom it is; null where it is dropped. */
  incoming(bytes: Uint8Array): string | null {
    const result = this.views.receive(bytes, this.options.clock());
    if (!result.ok) {
      this.drop(result.reason);
      return null;
    }
    const { node } = result.view;
    this.observe({ kind: "delivered", link: peerLink(node), direction: "inbound" });
    return node;
  }

  /** What operators are shown. */
  status(): LinkStatus {
    const { node, mode } = this.options;
    return {
      node,
      mode,
      links: Array.from(this.table.all(), (entry) => this.report(entry)),
      lost: [...this.lost],
      activities: ACTIVITIES.map((activity) => ({ activity, ...this.wanted[activity] })),
      droppedViews: Object.fromEntries(this.dropped),
    };
  }

  protected override receive(message: LinkMonitorMessage): void {
    switch (message.kind) {
      case "observed":
        this.observe(message.observation);
        return;
      case "misrouted":
        this.misrouted.note(message.shard, message.term, message.host, this.options.clock());
        return;
      case "tick":
        this.tick();
        return;
    }
  }

  private observe(observation: Observation): void {
    if (observation.kind === "delivered" && observation.link === "workers") {
      if (observation.direction === "inbound") this.reportRate.note();
      // A worker shows a token that it took long ago: that it still hears us, its staying here has to show.
      else if (this.answersLost) return;
    }
    this.table.observe(observation, this.awake.now());
  }

  private tick(): void {
    this.awake.tick();
    const shards = this.hooks.ownedShards();
    if (this.awake.delayed) this.forgetSilence();
    else {
      this.missWorkers(shards);
      this.missUsers();
    }
    this.review(shards);
    this.probeLinks();
    if (this.options.mode === "enforce") this.carryOutRemedies(shards);
  }

  private drop(reason: ViewRejection): void {
    const count = (this.dropped.get(reason) ?? 0) + 1;
    this.dropped.set(reason, count);
    // The first of a kind is worth a line; a peer that keeps sending them is seen in the status.
    if (count === 1) this.log.info({ reason }, "peer's view of its links dropped");
    else this.log.debug({ reason, count }, "peer's view of its links dropped");
  }

  /** While this process is late itself, what it has not heard proves nothing, and starts anew once it is in time. */
  private forgetSilence(): void {
    const now = this.awake.now();
    this.answersLost = false;
    this.reportRate.restart(now);
    for (const { link, track } of this.table.all())
      if (link === "workers" || link === "users") track.forgetFailures(now);
  }

  /** Workers of owned shards are expected to report, and to stay here. */
  private missWorkers(shards: OwnedShardStatus[]): void {
    const now = this.awake.now();
    const machines = shards.reduce((sum, shard) => sum + shard.machines, 0);
    const elsewhere = shards.reduce((sum, shard) => sum + this.workersElsewhere(shard), 0);
    this.reportRate.review(now, machines);
    // Late copies of reports reach peers as well, but they do not keep a worker from reporting here as often as ever.
    this.answersLost = machines > 0 && this.reportRate.sparse && elsewhere >= LOST_ANSWERS_PART * machines;
    if (this.answersLost) this.table.track("workers", "outbound")?.failed(now, "answers_lost");
    if (machines === 0) this.workersExpectedSince = null;
    else this.workersExpectedSince ??= now;
    if (this.workersExpectedSince !== null)
      this.missSilent("workers", this.workersExpectedSince, this.options.timings.silenceMs);
  }

  private workersElsewhere(shard: OwnedShardStatus): number {
    const views = this.views.fresh(this.options.clock());
    return Math.max(0, ...views.map((view) => misroutedAt(view, shard)));
  }

  /** A load balancer that has asked before asks on. */
  private missUsers(): void {
    const lastHeard = this.table.track("users", "inbound")?.lastDeliveredAt ?? -Infinity;
    if (lastHeard !== -Infinity) this.missSilent("users", lastHeard, this.options.usersSilentMs);
  }

  private missSilent(link: LinkName, expectedSince: number, silentMs: number): void {
    const track = this.table.track(link, "inbound");
    const now = this.awake.now();
    if (track === undefined) return;
    const silentSince = Math.max(expectedSince, track.lastDeliveredAt) + silentMs;
    if (now >= silentSince) track.failed(now, "silent", silentSince);
  }

  private review(shards: OwnedShardStatus[]): void {
    const now = this.awake.now();
    for (const entry of this.table.all()) {
      const before = entry.diagnosis.state;
      entry.track.review(now);
      if (!entry.track.inDoubt) entry.failingSince = null;
      else entry.failingSince ??= this.options.clock();
      const { link, direction, track } = entry;
      entry.diagnosis = diagnose({
        link,
        direction,
        state: track.state,
        evidence: track.evidence,
        stalled: this.awake.delayed,
        votes: this.votesOn(entry, shards),
      });
      if (entry.diagnosis.state !== before) this.noteTransition(entry, before);
    }
    this.updateRules();
  }

  /**
   * Only views from after a failure began say whether it is one for all. Peers' workers are others than ours: what counts
   * there is whether ours turn to them.
   */
  private votesOn({ link, direction, failingSince }: TrackEntry, shards: OwnedShardStatus[]): Votes {
    const now = this.options.clock();
    if (link !== "workers") return this.views.votes(link, direction, now, failingSince ?? -Infinity);
    const heardBy = this.views
      .fresh(now)
      .filter((view) => shards.some((shard) => misroutedAt(view, shard) > 0));
    return { working: heardBy.map((view) => view.node), failing: [] };
  }

  private noteTransition(entry: TrackEntry, from: string): void {
    const { state, evidence, scope } = entry.diagnosis;
    const now = this.options.clock();
    const afterMs = Math.round(now - entry.since);
    entry.since = now;
    const { link, direction } = entry;
    this.log.info({ link, direction, from, to: state, evidence, scope, afterMs }, "link state changed");
  }

  private updateRules(): void {
    const lost = this.losses();
    const same = lost.size === this.lost.size && [...lost].every((loss) => this.lost.has(loss));
    if (same) return;
    this.lost = lost;
    this.wanted = rulesWithout(lost, lost.has("peers") || this.options.peers.length === 0);
    const restricted = ACTIVITIES.filter((activity) => this.wanted[activity].decision !== "allowed");
    this.log.info({ lost: [...lost], restricted, mode: this.options.mode }, "degradation policy changed");
  }

  private losses(): Set<Loss> {
    const lost = new Set<Loss>();
    const state = [this.table.diagnosis("state", "outbound"), this.table.diagnosis("state", "inbound")];
    const stateDown = state.find((direction) => direction.state === "down");
    if (stateDown !== undefined) lost.add(stateDown.scope === "everyone" ? "state_for_all" : "state");
    for (const link of ["workers", "cloud", "users"] as const) if (this.isDown(link)) lost.add(link);
    const { peers } = this.options;
    if (peers.length > 0 && peers.every((node) => this.isDown(peerLink(node)))) lost.add("peers");
    return lost;
  }

  private isDown(link: LinkName): boolean {
    return (
      this.table.diagnosis(link, "outbound").state === "down" ||
      this.table.diagnosis(link, "inbound").state === "down"
    );
  }

  private report(entry: TrackEntry): DirectionReport {
    const { link, direction } = entry;
    const forMs = this.options.clock() - entry.since;
    return { link, direction, forMs, ...entry.diagnosis };
  }

  private probeLinks(): void {
    const now = this.options.clock();
    for (const { link, direction, track } of this.table.all())
      if (direction === "outbound" && this.wantsProbe(link, track, now) && this.budget.tryTake(link))
        this.hooks.probe(link);
  }

  /**
   * A quiet peer is asked whether it is there, and any peer for its view while something fails here. The cloud is probed
   * only where a peer finds that it fails: the answer then says who should lead.
   */
  private wantsProbe(link: LinkName, track: DirectionTrack, now: number): boolean {
    const peer = this.options.peers.find((node) => peerLink(node) === link);
    if (peer !== undefined && this.serviceInDoubt() && now - this.views.receivedAt(peer) >= this.viewAgeMs)
      return true;
    if (!track.wantsProbe(this.awake.now())) return false;
    return link !== "cloud" || this.views.votes("cloud", "outbound", now, -Infinity).failing.length > 0;
  }

  private serviceInDoubt(): boolean {
    for (const { link, failingSince } of this.table.all())
      if (failingSince !== null && !link.startsWith("peer:")) return true;
    return false;
  }

  /** While something fails a peer's view should not be older than this. */
  private get viewAgeMs(): number {
    return 2 * this.options.timings.viewSpacingMs;
  }

  private carryOutRemedies(shards: OwnedShardStatus[]): void {
    const now = this.options.clock();
    const remedies = decideRemedies({
      diagnosis: (link, direction) => this.table.diagnosis(link, direction),
      shards,
      leads: this.hooks.leads(),
      peers: this.views.fresh(now).filter((view) => this.hooks.isMember(view.node)),
      mayHandOver: (shard) => this.moves.mayTry(shard, now),
      mayResign: this.moves.mayTry(RESIGNATION, now),
    });
    for (const remedy of remedies) this.carryOut(remedy, now);
  }

  private carryOut(remedy: Remedy, now: number): void {
    this.log.info({ ...remedy }, "link lost here: passing on");
    switch (remedy.kind) {
      case "hand_over":
        this.moves.note(remedy.shard, now);
        this.hooks.handOver(remedy.shard, remedy.to);
        return;
      case "resign":
        this.moves.note(RESIGNATION, now);
        this.hooks.resign();
        return;
    }
  }
}
