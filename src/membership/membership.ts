/**
 * The actor that keeps this process's hold on its membership, takes part in choosing the leader and owns or
 * passes on shares. Others ask it one thing: may I act for this share, now?
 */
import { Actor } from "../runtime/actor.js";
import type { SteadyClock } from "../runtime/clock.js";
import type { Logger } from "../runtime/log.js";
import { sleep } from "../runtime/wait.js";
import { keys } from "../state/keys.js";
import { StateFailure, type StateClient } from "../state/client.js";
import type { ReplicaView } from "../state/replica.js";
import { CLOCK_DRIFT } from "../wire/index.js";
import { claimOf, decideMembership, entryOf, type MembershipAction } from "./decide.js";
import {
  passedOn,
  readCluster,
  sameProcess,
  sameTerm,
  type Cluster,
  type Process,
  type Raise,
} from "./records.js";

export interface MembershipFigures {
  /** How long the state service keeps this process's records without a renewal. */
  holdMs: number;
  /** What is taken off the hold on this side: drift, and time between a check and the act. */
  marginMs: number;
  /** The oldest view of the records on which a worker's lease may still be renewed. */
  staleMs: number;
  sharePeriodMs: number;
}

export type MembershipMessage =
  | { kind: "tick" }
  | { kind: "records" }
  | { kind: "hold_ended" }
  | { kind: "acted" }
  | { kind: "raise"; share: number }
  | { kind: "hand_over"; share: number; to: string };

export interface MembershipHooks {
  /** Which shares this process owns may have changed. */
  ownership(): void;
  askHandOver(owner: string, share: number, to: string): void;
}

/** How many renewals may be under way at once. */
const MAX_RENEWALS = 3;

export class Membership extends Actor<MembershipMessage> {
  cluster: Cluster;
  private lease: number | null = null;
  private heldUntil = -Infinity;
  /** The revision at which this process last entered the records: older views say nothing about its claims. */
  private enteredAt = Infinity;
  private entering = false;
  /** Renewals without an answer so far: a slow service must not keep the next one from being sent. */
  private renewing = 0;
  private lastRenewal = -Infinity;
  private ledSince: number | null = null;
  private lastMove = -Infinity;
  private busy = false;
  /** A share to be passed on as soon as nothing else is under way. */
  private askedHandOver: { share: number; to: string } | null = null;
  /** The last time that this process raised a share's token itself. */
  private readonly raises = new Map<number, Raise>();
  /** Shares that this process has stepped back from while it passes them on. */
  private readonly released = new Set<number>();

  constructor(
    readonly me: Process,
    private readonly shares: number,
    private readonly controllers: number,
    private readonly figures: MembershipFigures,
    private readonly state: StateClient,
    private readonly view: ReplicaView,
    private readonly clock: SteadyClock,
    private readonly hooks: MembershipHooks,
    log: Logger,
  ) {
    super(log);
    this.cluster = readCluster(view, shares);
  }

  /** The token of a share, if this process may act for it right now; otherwise null. */
  token(share: number): number | null {
    const record = this.cluster.shares[share];
    if (record === null || record === undefined || !sameProcess(record, this.me)) return null;
    return this.released.has(share) || !this.holds() ? null : record.version;
  }

  /** Whether what an owner knew of its share at a version still holds at the present one. */
  continues(share: number, known: number): boolean {
    const record = this.cluster.shares[share];
    return record !== null && record !== undefined && sameTerm(known, record, this.raises.get(share));
  }

  /** Whether this process leads right now, and the version of the record that says so. */
  leadership(): number | null {
    return sameProcess(this.cluster.leader, this.me) && this.holds() ? this.cluster.leader!.version : null;
  }

  /** The live owner of a share, as far as the records say. */
  owner(share: number): string | null {
    const record = this.cluster.shares[share];
    return record && this.cluster.members.has(record.node) ? record.node : null;
  }

  leader(): string | null {
    return this.cluster.leader?.node ?? null;
  }

  /** Another may be given this process's shares only after its hold has ended, which is never before `heldUntil`. */
  private holds(): boolean {
    const now = this.clock();
    return (
      now < this.heldUntil &&
      this.view.revision >= this.enteredAt &&
      // Guards against renewing leases for a task whose cancellation has not reached us.
      now - this.view.asOf < this.figures.staleMs
    );
  }

  protected override receive(message: MembershipMessage): void {
    switch (message.kind) {
      case "tick":
        this.keepHold();
        this.act();
        return;
      case "records":
        this.follow(readCluster(this.view, this.shares));
        this.noteChanges();
        this.act();
        return;
      case "hold_ended":
        this.lease = null;
        this.heldUntil = -Infinity;
        this.keepHold();
        return;
      case "acted":
        this.busy = false;
        this.handOverAsked();
        return;
      case "raise":
        void this.raise(message.share);
        return;
      case "hand_over":
        // Guards against a leader that owns every share and never passes one on: it asks itself in the middle of acting.
        this.askedHandOver = { share: message.share, to: message.to };
        this.handOverAsked();
        return;
    }
  }

  private follow(cluster: Cluster): void {
    // Guards against giving a share straight back to a node that has just passed it on: every move counts for the period.
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
    // A share that another owns by now has been passed on; should it come back, it starts afresh.
    for (const share of this.released)
      if (!sameProcess(this.cluster.shares[share], this.me)) this.released.delete(share);
    const member = this.cluster.members.get(this.me.node);
    if (this.lease !== null && this.view.revision >= this.enteredAt && !sameProcess(member, this.me)) {
      // The record is gone although we renewed: the service has dropped the lease, so the claim is void.
      this.log.info("membership record is gone");
      this.tell({ kind: "hold_ended" });
    }
    this.hooks.ownership();
  }

  private keepHold(): void {
    if (this.lease === null) {
      if (!this.entering) void this.enter();
      return;
    }
    const now = this.clock();
    if (this.renewing < MAX_RENEWALS && now - this.lastRenewal >= this.figures.holdMs / 5)
      void this.renew(this.lease);
  }

  private validFrom(sentAt: number): number {
    return sentAt + this.figures.holdMs * (1 - CLOCK_DRIFT) - this.figures.marginMs;
  }

  private async enter(): Promise<void> {
    this.entering = true;
    try {
      const sentAt = this.clock();
      const lease = await this.state.grant(this.figures.holdMs);
      const known = await this.state.read(keys.member(this.me.node));
      const { guards, writes } = entryOf(this.me, lease, known?.version ?? 0);
      const commit = await this.state.commit(guards, writes, "ownership");
      if (!commit.ok) return;
      this.lease = lease;
      this.enteredAt = commit.revision;
      this.heldUntil = this.validFrom(sentAt);
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
      if (await this.state.renew(lease)) {
        this.heldUntil = Math.max(this.heldUntil, this.validFrom(sentAt));
      } else if (lease === this.lease) {
        this.log.info("hold ended");
        this.tell({ kind: "hold_ended" });
      }
    } catch (err) {
      this.log.debug({ err: (err as Error).message }, "renewal failed");
      // After an outage every hold has its full time again: the sooner it is proven, the sooner work goes on.
      this.lastRenewal = Math.min(this.lastRenewal, sentAt - (this.figures.holdMs * 3) / 20);
    } finally {
      this.renewing--;
    }
  }

  private act(): void {
    if (this.busy || !this.holds()) return;
    const now = this.clock();
    const actions = decideMembership({
      me: this.me,
      cluster: this.cluster,
      controllers: this.controllers,
      ledMs: this.ledSince === null ? 0 : now - this.ledSince,
      gatherMs: this.figures.holdMs,
      mayMove: now - this.lastMove >= this.figures.sharePeriodMs,
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
      return this.hooks.askHandOver(action.owner, action.share, action.to);
    }
    if (this.lease === null) return;
    const { guards, writes } = claimOf(action, this.me, this.lease, this.cluster);
    const commit = await this.state.commit(guards, writes, "ownership");
    if (!commit.ok || action.kind !== "assign") return;
    const { share, from, to } = action;
    this.log.info({ share, from: from?.node, to: to.node, token: commit.revision }, "share assigned");
  }

  /** A worker has seen a higher token than this share's, for example with a machine's former share. */
  private async raise(share: number): Promise<void> {
    const record = this.cluster.shares[share];
    if (!record || this.token(share) === null || this.busy) return;
    this.busy = true;
    // Guards against not knowing an earlier try's success: the feed may show it only after this one has failed.
    const earlier = this.raises.get(share);
    const mark = earlier?.from === record.version ? earlier.mark : crypto.randomUUID();
    this.raises.set(share, { from: record.version, mark });
    try {
      const commit = await this.state.commit(
        [{ key: keys.share(share), version: record.version }],
        [{ put: keys.share(share), value: { ...this.me, mark } }],
        "ownership",
      );
      if (!commit.ok) return;
      this.log.info({ share, token: commit.revision }, "token raised");
    } catch (err) {
      this.log.debug({ err: (err as Error).message, share }, "token not raised");
    } finally {
      this.tell({ kind: "acted" });
    }
  }

  private handOverAsked(): void {
    const asked = this.askedHandOver;
    if (asked === null || this.busy) return;
    this.askedHandOver = null;
    void this.handOver(asked.share, asked.to);
  }

  /** Steps back first, writes second: by the time the new owner reads its name, this one has stopped. */
  private async handOver(share: number, to: string): Promise<void> {
    const record = this.cluster.shares[share];
    const heir = this.cluster.members.get(to);
    if (!record || !heir || this.token(share) === null) return;
    this.busy = true;
    this.released.add(share);
    const key = keys.share(share);
    const guards = [
      { key, version: record.version },
      { key: keys.member(to), version: heir.version },
    ];
    const value: Process = { node: heir.node, incarnation: heir.incarnation };
    try {
      const commit = await this.state.commit(guards, [{ put: key, value }], "ownership");
      if (commit.ok) this.log.info({ share, to, token: commit.revision }, "share handed over");
      if (!commit.ok) this.released.delete(share);
    } catch {
      // It may yet be applied. Only a newer version of the record, written by us, rules that out.
      await this.settleRelease(share);
    }
    this.tell({ kind: "acted" });
  }

  private async settleRelease(share: number): Promise<void> {
    const key = keys.share(share);
    for (let settled = false; !settled;) {
      try {
        const now = await this.state.read(key);
        const owner = now?.value as Process | undefined;
        if (now === null || !sameProcess(owner, this.me)) return;
        const guards = [{ key, version: now.version }];
        settled = (await this.state.commit(guards, [{ put: key, value: this.me }], "ownership")).ok;
        if (settled) this.released.delete(share);
      } catch {
        await sleep(this.figures.marginMs);
      }
    }
  }
}
