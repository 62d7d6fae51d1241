/**
 * The actor that maintains this process's membership lease, takes part in choosing the leader and owns or
 * passes on shards. Others ask it one thing: may I act for this shard, now?
 */
import { Actor } from "../runtime/actor.js";
import type { SteadyClock } from "../runtime/clock.js";
import type { Logger } from "../runtime/log.js";
import { sleep } from "../runtime/wait.js";
import { keys } from "../state/keys.js";
import { StateFailure, type StateClient } from "../state/client.js";
import type { ReplicaView } from "../state/replica.js";
import { CLOCK_DRIFT } from "../wire/index.js";
import { decideAuthority, leaseRefusal, type Authority, type LeaseEvidence } from "./authority.js";
import { transactionFor, decideMembership, entryOf, type MembershipAction } from "./decide.js";
import {
  passedOn,
  readCluster,
  sameProcess,
  sameTerm,
  type Cluster,
  type Process,
  type TokenAdvance,
} from "./records.js";

/** Durations that membership goes by, in milliseconds. */
export interface MembershipFigures {
  /** How long the state service keeps this process's records without a renewal. */
  membershipLeaseMs: number;
  /** What is taken off the lease on this side: drift, and time between a check and the act. */
  marginMs: number;
  /** The oldest view of the records on which a worker's lease may still be renewed. */
  staleMs: number;
  shardMovePeriodMs: number;
}

/** What the membership actor is told. */
export type MembershipMessage =
  | { kind: "tick" }
  | { kind: "records" }
  | { kind: "lease_ended" }
  | { kind: "acted" }
  | { kind: "advance_token"; shard: number }
  | { kind: "hand_over"; shard: number; to: string }
  /** Another controller is better placed to lead. */
  | { kind: "resign" };

/** What membership needs of the rest of the process. */
export interface MembershipHooks {
  /** Which shards this process owns may have changed. */
  ownership(): void;
  askHandOver(owner: string, shard: number, to: string): void;
  /** Whether a controller is known not to be reached by workers. */
  unsuited(node: string): boolean;
}

/** So many membership leases a process that gave leadership up leaves it to others. */
const ABSTAIN_LEASES = 2;

/** How many renewals may be under way at once. */
const MAX_RENEWALS = 3;

/** A refusal is an answer, too. */
const isAnswered = (err: unknown): boolean => err instanceof StateFailure && err.status !== 0;

/** Maintains this process's lease and tells what it may act for right now. */
export class Membership extends Actor<MembershipMessage> {
  cluster: Cluster;
  private lease: number | null = null;
  private leaseValidUntil = -Infinity;
  /** The revision at which this process last entered the records: older views say nothing about what it owns. */
  private enteredAt = Infinity;
  private entering = false;
  /** Renewals without an answer so far: a slow service must not keep the next one from being sent. */
  private renewing = 0;
  private lastRenewal = -Infinity;
  /** Whether the latest renewal that ended got no answer, so that the service may have renewed the lease all the same. */
  private renewalUnanswered = false;
  private ledSince: number | null = null;
  private lastMove = -Infinity;
  private abstainsUntil = -Infinity;
  private busy = false;
  /** A shard to be passed on as soon as nothing else is under way. */
  private askedHandOver: { shard: number; to: string } | null = null;
  /** The last time that this process advanced a shard's token itself. */
  private readonly tokenAdvances = new Map<number, TokenAdvance>();
  /** Shards that this process has stepped back from while it passes them on. */
  private readonly released = new Set<number>();

  constructor(
    readonly me: Process,
    private readonly shards: number,
    private readonly controllers: number,
    private readonly figures: MembershipFigures,
    private readonly state: StateClient,
    private readonly view: ReplicaView,
    private readonly clock: SteadyClock,
    private readonly hooks: MembershipHooks,
    log: Logger,
  ) {
    super(log);
    this.cluster = readCluster(view, shards);
  }

  /** Whether this process may act for a shard right now, and on what evidence. */
  authority(shard: number): Authority {
    const record = this.cluster.shards[shard];
    const token = record && sameProcess(record, this.me) ? record.version : null;
    return decideAuthority({ ...this.leaseEvidence(), token, passingOn: this.released.has(shard) });
  }

  /** The token of a shard, if this process may act for it right now; otherwise null. */
  token(shard: number): number | null {
    const authority = this.authority(shard);
    return authority.held ? authority.token : null;
  }

  /** Whether what an owner knew of its shard at a version is still true at the present one. */
  continues(shard: number, known: number): boolean {
    const record = this.cluster.shards[shard];
    return record !== null && record !== undefined && sameTerm(known, record, this.tokenAdvances.get(shard));
  }

  /** Whether this process leads right now, and the version of the record that says so. */
  leadership(): number | null {
    return sameProcess(this.cluster.leader, this.me) && this.holdsLease()
      ? this.cluster.leader!.version
      : null;
  }

  /** The live owner of a shard, as far as the records say. */
  owner(shard: number): string | null {
    const record = this.cluster.shards[shard];
    return record && this.cluster.members.has(record.node) ? record.node : null;
  }

  leader(): string | null {
    return this.cluster.leader?.node ?? null;
  }

  /** Another may be given this process's shards only after its lease has ended, which is never before `leaseValidUntil`. */
  private leaseEvidence(): LeaseEvidence {
    const now = this.clock();
    return {
      leaseLeftMs: this.leaseValidUntil - now,
      viewAgeMs: now - this.view.asOf,
      viewShowsEntry: this.view.revision >= this.enteredAt,
      staleMs: this.figures.staleMs,
    };
  }

  private holdsLease(): boolean {
    return leaseRefusal(this.leaseEvidence()) === null;
  }

  protected override receive(message: MembershipMessage): void {
    switch (message.kind) {
      case "tick":
        this.maintainLease();
        this.act();
        return;
      case "records":
        this.follow(readCluster(this.view, this.shards));
        this.noteChanges();
        this.act();
        return;
      case "lease_ended":
        this.lease = null;
        this.leaseValidUntil = -Infinity;
        this.maintainLease();
        return;
      case "acted":
        this.busy = false;
        this.handOverAsked();
        return;
      case "advance_token":
        void this.advanceToken(message.shard);
        return;
      case "hand_over":
        // Guards against a leader that owns every shard and never passes one on: it asks itself in the middle of acting.
        this.askedHandOver = { shard: message.shard, to: message.to };
        this.handOverAsked();
        return;
      case "resign":
        void this.resign();
        return;
    }
  }

  private follow(cluster: Cluster): void {
    // Guards against giving a shard straight back to a node that has just passed it on: every move counts for the period.
    if (passedOn(this.cluster, cluster)) this.lastMove = this.clock();
    this.cluster = cluster;
  }

  private noteChanges(): void {
    const leads = sameProcess(this.cluster.leader, this.me);
    if (leads && this.ledSince === null) {
      this.ledSince = this.clock();
      this.log.info({ token: this.cluster.leader?.version }, "leading");
    } else if (!leads) {
      if (this.ledSince !== null) this.log.info({ leader: this.leader() }, "no longer leading");
      this.ledSince = null;
    }
    // A shard that another owns by now has been passed on; should it come back, it starts afresh.
    for (const shard of this.released)
      if (!sameProcess(this.cluster.shards[shard], this.me)) this.released.delete(shard);
    const member = this.cluster.members.get(this.me.node);
    if (this.lease !== null && this.view.revision >= this.enteredAt && !sameProcess(member, this.me)) {
      // The record is gone although we renewed: the service has dropped the lease, so nothing is owned any more.
      this.log.info("membership record is gone");
      this.tell({ kind: "lease_ended" });
    }
    this.hooks.ownership();
  }

  private maintainLease(): void {
    if (this.lease === null) {
      if (!this.entering) void this.enter();
      return;
    }
    const now = this.clock();
    if (this.renewing >= MAX_RENEWALS || now - this.lastRenewal < this.figures.membershipLeaseMs / 5) return;
    if (this.renewalUnanswered && now >= this.leaseValidUntil) void this.awaitAnswer();
    else void this.renew(this.lease);
  }

  /**
   * Guards against holding shards that this process may not act for: while requests reach the state service and answers
   * do not come back, each renewal would keep the lease from ending, and nobody could take its shards over. Once the lease
   * can no longer be proven here it is left to end, until some answer shows that renewing it can be proven again.
   */
  private async awaitAnswer(): Promise<void> {
    this.renewing++;
    this.lastRenewal = this.clock();
    try {
      await this.state.revision();
      this.renewalUnanswered = false;
    } catch (err) {
      this.renewalUnanswered = !isAnswered(err);
    } finally {
      this.renewing--;
    }
    if (!this.renewalUnanswered) this.lastRenewal = -Infinity;
  }

  private validFrom(sentAt: number): number {
    return sentAt + this.figures.membershipLeaseMs * (1 - CLOCK_DRIFT) - this.figures.marginMs;
  }

  private async enter(): Promise<void> {
    this.entering = true;
    try {
      const sentAt = this.clock();
      const lease = await this.state.grant(this.figures.membershipLeaseMs);
      const known = await this.state.read(keys.member(this.me.node));
      const { guards, writes } = entryOf(this.me, lease, known?.version ?? 0);
      const commit = await this.state.commit(guards, writes, "ownership");
      if (!commit.ok) return;
      this.lease = lease;
      this.enteredAt = commit.revision;
      this.leaseValidUntil = this.validFrom(sentAt);
      this.lastRenewal = sentAt;
      this.log.info({ incarnation: this.me.incarnation }, "entered");
    } catch (err) {
      this.log.debug({ err: (err as Error).message }, "cannot enter yet");
    } finally {
      this.entering = false;
    }
  }

  private async renew(lease: number): Promise<void> {
    this.renewing++;
    const sentAt = this.clock();
    this.lastRenewal = sentAt;
    try {
      const renewed = await this.state.renew(lease);
      this.renewalUnanswered = false;
      if (renewed) {
        this.leaseValidUntil = Math.max(this.leaseValidUntil, this.validFrom(sentAt));
      } else if (lease === this.lease) {
        this.log.info("membership lease ended");
        this.tell({ kind: "lease_ended" });
      }
    } catch (err) {
      this.log.debug({ err: (err as Error).message }, "renewal failed");
      this.renewalUnanswered = !isAnswered(err);
      // After an outage every lease has its full time again: the sooner it is proven, the sooner work goes on.
      this.lastRenewal = Math.min(this.lastRenewal, sentAt - (this.figures.membershipLeaseMs * 3) / 20);
    } finally {
      this.renewing--;
    }
  }

  private act(): void {
    if (this.busy || !this.holdsLease()) return;
    const now = this.clock();
    const actions = decideMembership({
      me: this.me,
      cluster: this.cluster,
      controllers: this.controllers,
      ledMs: this.ledSince === null ? 0 : now - this.ledSince,
      gatherMs: this.figures.membershipLeaseMs,
      mayMove: now - this.lastMove >= this.figures.shardMovePeriodMs,
      mayLead: now >= this.abstainsUntil,
      unsuited: (node) => this.hooks.unsuited(node),
    });
    if (actions.length === 0) return;
    this.busy = true;
    void this.perform(actions);
  }

  private async perform(actions: MembershipAction[]): Promise<void> {
    for (const action of actions) {
      try {
        await this.performOne(action);
      } catch (err) {
        if (!(err instanceof StateFailure)) this.log.error({ err }, "membership action failed");
        else this.log.debug({ err: err.message, action: action.kind }, "membership action failed");
      }
    }
    this.tell({ kind: "acted" });
  }

  private async performOne(action: MembershipAction): Promise<void> {
    if (action.kind === "ask_hand_over") {
      this.lastMove = this.clock();
      this.hooks.askHandOver(action.owner, action.shard, action.to);
      return;
    }
    if (this.lease === null) return;
    const { guards, writes } = transactionFor(action, this.me, this.lease, this.cluster);
    const commit = await this.state.commit(guards, writes, "ownership");
    if (!commit.ok || action.kind !== "assign") return;
    const { shard, from, to } = action;
    this.log.info({ shard, from: from?.node, to: to.node, token: commit.revision }, "shard assigned");
  }

  /** A worker has seen a higher token than this shard's, for example with a machine's former shard. */
  private async advanceToken(shard: number): Promise<void> {
    const record = this.cluster.shards[shard];
    if (!record || this.token(shard) === null || this.busy) return;
    this.busy = true;
    // Guards against not knowing an earlier try's success: the feed may show it only after this one has failed.
    const earlier = this.tokenAdvances.get(shard);
    const mark = earlier?.from === record.version ? earlier.mark : crypto.randomUUID();
    this.tokenAdvances.set(shard, { from: record.version, mark });
    try {
      const commit = await this.state.commit(
        [{ key: keys.shard(shard), version: record.version }],
        [{ put: keys.shard(shard), value: { ...this.me, mark } }],
        "ownership",
      );
      if (!commit.ok) return;
      this.log.info({ shard, token: commit.revision }, "fencing token advanced");
    } catch (err) {
      this.log.debug({ err: (err as Error).message, shard }, "fencing token not advanced");
    } finally {
      this.tell({ kind: "acted" });
    }
  }

  /**
   * Gives leadership up on the condition of its own record: a copy that is carried out late removes nobody else's. Until
   * the feed shows it this process may still lead, and what it writes as the leader is guarded by the same version.
   */
  private async resign(): Promise<void> {
    const version = this.leadership();
    if (version === null || this.busy) return;
    this.busy = true;
    this.abstainsUntil = this.clock() + ABSTAIN_LEASES * this.figures.membershipLeaseMs;
    try {
      const guards = [{ key: keys.leader, version }];
      const commit = await this.state.commit(guards, [{ remove: keys.leader }], "ownership");
      if (commit.ok) this.log.info({ version }, "leadership given up");
    } catch (err) {
      this.log.debug({ err: (err as Error).message }, "leadership not known to be given up");
    } finally {
      this.tell({ kind: "acted" });
    }
  }

  private handOverAsked(): void {
    const asked = this.askedHandOver;
    if (asked === null || this.busy) return;
    this.askedHandOver = null;
    void this.handOver(asked.shard, asked.to);
  }

  /** Steps back first, writes second: by the time the new owner reads its name, this one has stopped. */
  private async handOver(shard: number, to: string): Promise<void> {
    const record = this.cluster.shards[shard];
    const heir = this.cluster.members.get(to);
    if (!record || !heir || this.token(shard) === null) return;
    this.busy = true;
    this.released.add(shard);
    const key = keys.shard(shard);
    const guards = [
      { key, version: record.version },
      { key: keys.member(to), version: heir.version },
    ];
    const value: Process = { node: heir.node, incarnation: heir.incarnation };
    try {
      const commit = await this.state.commit(guards, [{ put: key, value }], "ownership");
      if (commit.ok) this.log.info({ shard, to, token: commit.revision }, "shard handed over");
      if (!commit.ok) this.released.delete(shard);
    } catch {
      // It may yet be applied. Only a newer version of the record, written by us, rules that out.
      await this.settleRelease(shard);
    }
    this.tell({ kind: "acted" });
  }

  private async settleRelease(shard: number): Promise<void> {
    const key = keys.shard(shard);
    for (let settled = false; !settled;) {
      try {
        const now = await this.state.read(key);
        const owner = now?.value as Process | undefined;
        if (now === null || !sameProcess(owner, this.me)) return;
        const guards = [{ key, version: now.version }];
        settled = (await this.state.commit(guards, [{ put: key, value: this.me }], "ownership")).ok;
        if (settled) this.released.delete(shard);
      } catch {
        await sleep(this.figures.marginMs);
      }
    }
  }
}
