/** One controller: makes the actors and connects them. */
import { createServer } from "node:http";
import { pipeline } from "node:stream";
import { CloudClient } from "./cloud/client.js";
import type { OperatorSettings } from "./config/operator.js";
import type { Settings } from "./config/settings.js";
import { createApp, type AppParts, type Routed } from "./http/app.js";
import { Relay } from "./http/relay.js";
import { JobDesk, type UserAnswer, type UserRequest } from "./http/users.js";
import { Parting } from "./jobs/parting.js";
import { JobService } from "./jobs/service.js";
import { Membership } from "./membership/membership.js";
import type { PeerReply, PeerRequest, ShareLoadNote, Summary } from "./peers/messages.js";
import { Peers, type PeerNetwork } from "./peers/links.js";
import { Share } from "./placement/share.js";
import { ShareKeeper, type ReportAnswer } from "./placement/share-keeper.js";
import { steadyClock, type SteadyClock } from "./runtime/clock.js";
import { JsonHttp, parseJson, type JsonCalls } from "./runtime/http-client.js";
import { listenOn } from "./runtime/listening.js";
import type { Logger } from "./runtime/log.js";
import { toDemandRecord } from "./sizing/demand-record.js";
import { Sizer } from "./sizing/sizer.js";
import { StateClient } from "./state/client.js";
import { changeFeed } from "./state/feed.js";
import { Freshness } from "./state/freshness.js";
import { LIVE, ROOT, keys, prefixes } from "./state/keys.js";
import { Replica } from "./state/replica.js";
import { REPORT_TIMEOUT_S, type Change, type MachineType, type WorkerReport } from "./wire/index.js";
import { Fleet } from "./workers/fleet.js";

export interface Running {
  port: number;
  peerPort: number;
  close(): void;
}

/** What a controller stands in: its clock and its ways to everybody else. */
export interface Surroundings {
  clock: SteadyClock;
  state: JsonCalls;
  /** Watches hold a connection each, so they must not stand in line with calls. */
  watches: JsonCalls;
  cloud: JsonCalls;
  peers: PeerNetwork;
}

/** The real network, as the settings name it. */
export function surroundingsOf(settings: Settings, log: Logger): Surroundings {
  const { stateAddress, cloudAddress, sockets } = settings;
  return {
    clock: steadyClock,
    state: new JsonHttp(stateAddress, Math.max(4, Math.floor(sockets / 50))),
    watches: new JsonHttp(stateAddress, 2),
    cloud: new JsonHttp(cloudAddress, 4),
    peers: new Peers(settings.peers, peerTimeoutMs(settings), log),
  };
}

/** Peers answer at once or not in time for a user. */
const peerTimeoutMs = ({ workers }: Settings): number =>
  Math.min(workers.leaseMs / 20, (REPORT_TIMEOUT_S * 1000) / 8);

const NOTHING: PeerReply = { accepted: { hosts: [] } };

/** The part of the state service's requests that may go to following its changes. */
const FEED_PART = 0.2;

const TICKS_PER_REPORT = 5;

/** What the figures of the settings come to for this program; each is a ratio to one of them, with its reason. */
export function deriveFigures(settings: Settings, operator: OperatorSettings) {
  const { leaseMs, reportMs, cancelMs } = settings.workers;
  const { controllers } = settings;
  const { rps } = settings.state;
  const holdMs = Math.round(leaseMs / 2);
  return {
    /** Half a lease: after an owner's silent end there is time to find another before its workers give up. */
    holdMs,
    /** Time between checking a right and acting on it, on a machine with a part of a core. */
    marginMs: holdMs / 10,
    /** A cancelled task must be gone in time even where the last renewal was made on the oldest allowed view. */
    staleMs: cancelMs - leaseMs - 2 * reportMs,
    sharePeriodMs: operator.sharePeriodMs,
    /** Calls to the state service take milliseconds; four of these fit into a hold. */
    callMs: holdMs / 5,
    /** A quiet watch is answered after a report interval; past two of them something is wrong. */
    behindMs: 2 * reportMs,
    peerMs: peerTimeoutMs(settings),
    feedWaitMs: reportMs,
    /** Watches of all nodes together take a part of the service's requests, but none comes more often than needed. */
    feedSpacingMs: Math.max(reportMs / 10, (controllers / (FEED_PART * rps)) * 1000),
    /** A user waits five seconds for an answer to a submission, and two for one to a question. */
    submitPatienceMs: holdMs / 4,
    lookPatienceMs: holdMs / 5,
    tickMs: reportMs / TICKS_PER_REPORT,
    /** A worker that can reach its owner reports within one and a quarter of the interval. */
    quietTicks: (3 / 2) * TICKS_PER_REPORT,
    /** How often an owner is told that its workers come elsewhere. */
    astrayMs: reportMs / 4,
    /** A round of placing may take so much of the time between two reports of one worker. */
    roundMs: reportMs / 50,
    preemptMs: reportMs / 2,
  };
}

const concernsMembership = (key: string): boolean =>
  key === keys.leader || key.startsWith(prefixes.members) || key.startsWith(prefixes.shares);

/** A share in this process's hands, and the version of its record that was last found to continue its term. */
interface Kept {
  keeper: ShareKeeper;
  token: number;
}

export class Controller {
  private readonly replica = new Replica();
  private readonly state: StateClient;
  private readonly membership: Membership;
  private readonly fleet: Fleet;
  private readonly sizer: Sizer;
  private readonly peers: PeerNetwork;
  readonly clock: SteadyClock;
  private readonly jobs: JobService;
  private readonly desk: JobDesk;
  private readonly relay: Relay;
  private readonly parting: Parting;
  private readonly keepers = new Map<number, Kept>();
  /** When a share's summary was last left in the records. */
  private readonly leftAt = new Map<number, number>();
  /** When the owner of a share was last told that its workers come here. */
  private readonly astrayAt = new Map<number, number>();
  /** How full each share was when it was last heard of. */
  private readonly loads = new Map<number, ShareLoadNote>();
  private lastPing = -Infinity;
  private readonly figures: ReturnType<typeof deriveFigures>;
  private typesByName = new Map<string, MachineType>();
  private ticker: NodeJS.Timeout | null = null;

  constructor(
    private readonly settings: Settings,
    private readonly operator: OperatorSettings,
    private readonly log: Logger,
    around: Surroundings = surroundingsOf(settings, log),
  ) {
    const { clock } = around;
    const figures = (this.figures = deriveFigures(settings, operator));
    this.clock = clock;
    this.peers = around.peers;
    this.fleet = new Fleet(log);
    this.parting = new Parting(settings.teams, settings.controllers);
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
    this.membership = new Membership(
      { node: settings.node, incarnation: crypto.randomUUID() },
      settings.controllers,
      settings.controllers,
      figures,
      this.state,
      this.replica,
      clock,
      {
        ownership: () => this.followOwnership(),
        askHandOver: (owner, share, to) =>
          void this.askNode(owner, { handOver: { share, to } }).catch(() => undefined),
      },
      log,
    );
    this.sizer = new Sizer(
      settings,
      operator,
      cloud,
      this.state,
      this.replica,
      this.fleet,
      clock,
      {
        leadership: () => this.membership.leadership(),
        askOwner: (share, request) => this.askNode(this.membership.owner(share), request),
      },
      log,
    );
    this.jobs = new JobService(
      settings,
      this.state,
      this.replica,
      new Freshness(this.state, this.replica, figures.lookPatienceMs),
      () => this.typesByName,
      this.parting,
      (share, job) => this.countsOf(share, job),
      (share, job) => this.tellCancelled(share, job),
      figures.submitPatienceMs,
      log,
    );
    this.desk = new JobDesk(this.jobs);
    this.relay = new Relay({
      own: this.desk,
      peers: settings.peers.map((p) => p.node),
      ask: (peer, request) => this.forward(peer, request),
      behind: () => this.behind(),
      pauseMs: figures.peerMs,
      clock,
      log,
    });
    this.replica.onChange((changes) => this.follow(changes));
  }

  /** What users, workers and health checks reach. */
  get door(): AppParts {
    return {
      users: this.relay,
      report: (report) => this.routeReport(report),
      healthy: () => this.healthy(),
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
    this.ticker = setInterval(() => this.tick(), figures.tickMs);
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
    const server = createServer(createApp(this.door).callback());
    // Users and workers keep their connections; closing them between two polls costs both sides.
    server.keepAliveTimeout = 2 * this.settings.workers.cancelMs;
    const port = await listenOn(server, this.settings.listen, this.log);
    this.log.info({ port, peerPort }, "listening");
    return {
      port,
      peerPort,
      close: () => {
        end();
        server.closeAllConnections();
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
    const reply = await this.peers.ask(peer, request, this.figures.lookPatienceMs);
    if (!("answer" in reply)) return { status: 503, body: { error: "no answer" } };
    return { status: reply.answer.status, body: (parseJson(reply.answer.body) ?? {}) as object };
  }

  private tick(): void {
    this.membership.tell({ kind: "tick" });
    for (const { keeper } of this.keepers.values()) keeper.tell({ kind: "tick" });
    this.sizer.tell({ kind: "tick" });
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
    for (const { keeper } of this.keepers.values()) keeper.tell({ kind: "records", changes });
    if (changes === null || changes.some((c) => concernsMembership(c.key)))
      this.membership.tell({ kind: "records" });
  }

  /** Starts keepers for shares that have become ours and drops those of shares that have not stayed so. */
  private followOwnership(): void {
    const { cluster, me } = this.membership;
    cluster.shares.forEach((record, n) => {
      const ours = record !== null && record.node === me.node && record.incarnation === me.incarnation;
      let kept = this.keepers.get(n);
      if (kept && (!ours || !this.membership.continues(n, kept.token))) {
        this.keepers.delete(n);
        kept.keeper.retire();
        kept = undefined;
        this.log.info({ share: n, owner: record?.node }, "share lost");
      }
      if (!ours) return;
      if (kept) kept.token = record.version;
      else {
        this.keepers.set(n, this.keep(n, record.version));
        this.log.info({ share: n, token: record.version }, "share owned");
      }
    });
  }

  private keep(n: number, token: number): Kept {
    const share = new Share(
      n,
      token,
      this.clock(),
      this.settings,
      () => this.typesByName,
      this.replica,
      this.log,
    );
    const { roundMs, preemptMs, quietTicks } = this.figures;
    const figures = { roundMs, preemptMs, quietTicks, spacingMs: this.operator.passSpacingMs };
    const hooks = {
      // The token counts only for the keeper whose term it belongs to.
      token: () => {
        const current = this.membership.token(n);
        return current === kept.token && this.keepers.get(n) === kept ? current : null;
      },
      raiseToken: () => void this.membership.tell({ kind: "raise", share: n }),
      summary: (summary: Summary) => this.sendSummary(summary),
    };
    const keeper = new ShareKeeper(
      share,
      figures,
      this.state,
      this.replica,
      this.fleet,
      this.clock,
      hooks,
      this.log,
    );
    const kept: Kept = { keeper, token };
    return kept;
  }

  /** To the leader alone, who sizes by it and says how full the other shares are: what nodes say to each other adds up. */
  private sendSummary(summary: Summary): void {
    this.noteLoad(summary);
    this.askNode(this.membership.leader(), { summary })
      .then((reply) => {
        if ("loads" in reply) for (const note of reply.loads.notes) this.noteLoad(note);
      })
      .catch(() => this.leaveSummary(summary));
  }

  /** The leader cannot be reached, or not by us: it may still read the records. */
  private leaveSummary(summary: Summary): void {
    const now = this.clock();
    const { share, token } = summary;
    if (now - (this.leftAt.get(share) ?? -Infinity) < 2 * this.operator.passSpacingMs) return;
    this.leftAt.set(share, now);
    const write = { put: keys.demand(share), value: toDemandRecord(summary) };
    this.state
      .commit([{ key: keys.share(share), version: token }], [write], "note", this.figures.submitPatienceMs)
      .catch((err: Error) => this.log.debug({ share, err: err.message }, "summary not left in the records"));
  }

  private askNode(node: string | null, request: PeerRequest): Promise<PeerReply> {
    if (node === this.settings.node) return this.answerPeer(request);
    return node === null ? Promise.resolve(NOTHING) : this.peers.ask(node, request);
  }

  async answerPeer(request: PeerRequest): Promise<PeerReply> {
    if ("summary" in request) {
      this.noteLoad(request.summary);
      await this.sizer.ask<boolean>((reply) => ({ kind: "summary", summary: request.summary, reply }));
      return { loads: { notes: this.parting.byLoad ? [...this.loads.values()] : [] } };
    }
    if ("ping" in request) return NOTHING;
    if ("forward" in request) {
      const { method, path, body } = request.forward;
      const { status, body: said } = await this.desk.answer({ method, path, body: parseJson(body) });
      return { answer: { status, body: JSON.stringify(said) } };
    }
    if ("handOver" in request) {
      this.membership.tell({ kind: "hand_over", ...request.handOver });
      return NOTHING;
    }
    if ("astray" in request) {
      const { share, cameTo } = request.astray;
      // One worker alone says little; if none comes here any more, the share is better off where they go.
      if (this.keepers.get(share)?.keeper.unheard)
        this.membership.tell({ kind: "hand_over", share, to: cameTo });
      return NOTHING;
    }
    if ("lookup" in request) {
      const { share, job } = request.lookup;
      const kept = this.keepers.get(share)?.keeper;
      if (kept === undefined) return { counts: { known: false, done: 0, running: 0 } };
      return { counts: await kept.ask((reply) => ({ kind: "counts", job, reply })) };
    }
    if ("cancelled" in request) {
      const { share, job } = request.cancelled;
      this.keepers.get(share)?.keeper.tell({ kind: "cancelled", job });
      return NOTHING;
    }
    if ("cordon" in request) {
      const { share, to, demand } = request.cordon;
      this.keepers.get(share)?.keeper.tell({ kind: "cordon", to, demand });
      return NOTHING;
    }
    const message = "drain" in request ? request.drain : request.give;
    const keeper = this.keepers.get(message.share)?.keeper;
    if (keeper === undefined) return NOTHING;
    const hosts = await keeper.ask<string[]>((reply) =>
      "drain" in request
        ? { kind: "drain", hosts: request.drain.hosts, reply }
        : { kind: "give", to: request.give.to, hosts: request.give.hosts, reply },
    );
    return { accepted: { hosts } };
  }

  private noteLoad({ share, load }: ShareLoadNote): void {
    this.loads.set(share, { share, load });
    this.parting.note(share, { capacity: load.cpus, backlog: load.waiting + load.used - load.cpus });
  }

  /**
   * Guards against starts after a confirmed cancellation where the owner alone cannot follow the records: the feed tells
   * it otherwise, and the bound on the age of its view holds whether or not this arrives.
   */
  private tellCancelled(share: number, job: string): void {
    this.askNode(this.membership.owner(share), { cancelled: { share, job } }).catch(() => undefined);
  }

  private async countsOf(share: number, job: string): Promise<{ done: number; running: number } | null> {
    const reply = await this.askNode(this.membership.owner(share), { lookup: { share, job } }).catch(
      () => null,
    );
    return reply !== null && "counts" in reply && reply.counts.known ? reply.counts : null;
  }

  private async routeReport(report: WorkerReport): Promise<Routed> {
    const record = this.fleet.get(report.host);
    if (record === undefined) {
      // Only the leader gives machines to shares; the worker comes again until it has.
      const leader = this.membership.leader();
      if (leader !== this.settings.node) return { kind: "redirect", owner: leader };
      this.sizer.tell({ kind: "unknown_machine", report });
      return { kind: "redirect", owner: null };
    }
    const kept = this.keepers.get(record.share)?.keeper;
    if (kept === undefined) this.noteAstray(record.share, report);
    if (kept === undefined || kept.writableNeedDrain) return this.redirect(record.share);
    const answer = await kept.ask<ReportAnswer>((reply) => ({ kind: "report", report, reply }));
    return answer.kind === "commands" ? answer : this.redirect(record.share);
  }

  /**
   * Guards against losing all tasks of a share whose owner is cut off from its workers alone: its hold lives on, and the
   * others would send its workers back to it until their leases are over. A worker that follows the owner's token has
   * spoken to it before; if it comes here now, its owner is told, and passes the share on if it hears no worker at all.
   */
  private noteAstray(share: number, report: WorkerReport): void {
    const owner = this.membership.owner(share);
    if (owner === null || report.token !== this.membership.cluster.shares[share]?.version) return;
    const now = this.clock();
    if (now - (this.astrayAt.get(share) ?? -Infinity) < this.figures.astrayMs) return;
    this.astrayAt.set(share, now);
    this.askNode(owner, { astray: { share, cameTo: this.settings.node } }).catch(() => undefined);
  }

  private redirect(share: number): Routed {
    const owner = this.membership.owner(share);
    return { kind: "redirect", owner: owner === this.settings.node ? null : owner };
  }
}
