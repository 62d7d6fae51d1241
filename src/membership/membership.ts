/**
 * The actor that maintains this process's membership lease, takes part in choosing the leader and owns or
 * passes on shards. Others ask it one thing: may I act for this shard, now?
 */
import { Actor } from "../runtime/actor.js";
import type { SteadyClock } from "../runtime/clock.js";
import type { Logger } from "../runtime/log.js";
import { sleep } from "../runtime/sleep.js";
import { keys } from "../state/keys.js";
import type { StateStoreClient } from "../state/state-store-client.js";
import { receivedResponse, StateStoreError } from "../state/state-store-error.js";
import type { ReplicaView } from "../state/replica.js";
import type { MembershipCallbacks, MembershipMessage, MembershipTimings } from "./membership-messages.js";
import { CLOCK_DRIFT } from "../wire/index.js";
import {
  decideShardAuthority,
  leaseRefusal,
  type ShardAuthority,
  type LeaseEvidence,
} from "./shard-authority.js";
import {
  handOverTransaction,
  transactionFor,
  planMembership,
  joinTransaction,
  type MembershipAction,
} from "./membership-planner.js";
import {
  hasShardHandOver,
  readCluster,
  isSameInstance,
  continuesTerm,
  type Cluster,
  type ControllerInstance,
  type TokenAdvance,
} from "./cluster-records.js";

/** So many membership leases a process that gave leadership up leaves it to others. */
const ABSTAIN_LEASES = 2;

/** How many renewals may be under way at once. */
const MAX_RENEWALS = 3;

/** Maintains this process's lease and tells what it may act for right now. */
export class Membership extends Actor<MembershipMessage> {
  cluster: Cluster;
  private leaseId: number | null = null;
  private leaseValidUntil = -Infinity;
  /** The revision at which this process last entered the records: older views say nothing about what it owns. */
  private joinedAtRevision = Infinity;
  private joining = false;
  /** Renewals without an answer so far: a slow service must not keep the next one from being sent. */
  private pendingRenewals = 0;
  private lastRenewalAt = -Infinity;
  /** Whether the latest renewal that ended got no answer, so that the service may have renewed the lease all the same. */
  private renewalUnanswered = false;
  private leadingSince: number | null = null;
  private lastHandOverAt = -Infinity;
  private abstainsUntil = -Infinity;
  private transactionPending = false;
  /** A shard to be passed on as soon as nothing else is under way. */
  private requestedHandOver: { shard: number; to: string } | null = null;
  /** The last time that this process advanced a shard's token itself. */
  private readonly tokenAdvances = new Map<number, TokenAdvance>();
  /** Shards that this process has stepped back from while it passes them on. */
  private readonly relinquishedShards = new Set<number>();

  constructor(
    readonly self: ControllerInstance,
    private readonly shards: number,
    private readonly controllers: number,
    private readonly timings: MembershipTimings,
    private readonly state: StateStoreClient,
    private readonly view: ReplicaView,
    private readonly clock: SteadyClock,
    private readonly callbacks: MembershipCallbacks,
    log: Logger,
  ) {
    super(log);
    this.cluster = readCluster(view, shards);
  }

  /** Whether this process may act for a shard right now, and on what evidence. */
  authority(shard: number): ShardAuthority {
    const record = this.cluster.shards[shard];
    const token = record && isSameInstance(record, this.self) ? record.version : null;
    return decideShardAuthority({
      ...this.leaseEvidence(),
      token,
      handingOver: this.relinquishedShards.has(shard),
    });
  }

  /** The token of a shard, if this process may act for it right now; otherwise null. */
  token(shard: number): number | null {
    const authority = this.authority(shard);
    return authority.held ? authority.token : null;
  }

  /** Whether what an owner knew of its shard at a version is still true at the present one. */
  continuesTerm(shard: number, known: number): boolean {
    const record = this.cluster.shards[shard];
    return (
      record !== null && record !== undefined && continuesTerm(known, record, this.tokenAdvances.get(shard))
    );
  }

  /** Whether this process leads right now, and the version of the record that says so. */
  leadership(): number | null {
    return isSameInstance(this.cluster.leader, this.self) && this.holdsLease()
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
      viewAgeMs: now - this.view.completeAsOf,
      viewShowsJoin: this.view.revision >= this.joinedAtRevision,
      staleMs: this.timings.staleMs,
    };
  }

  private holdsLease(): boolean {
    return leaseRefusal(this.leaseEvidence()) === null;
  }

  protected override receive(message: MembershipMessage): void {
    switch (message.kind) {
      case "tick":
        this.maintainLease();
        this.takeActions();
        return;
      case "records_changed":
        this.updateCluster(readCluster(this.view, this.shards));
        this.handleClusterChange();
        this.takeActions();
        return;
      case "lease_ended":
        this.leaseId = null;
        this.leaseValidUntil = -Infinity;
        this.maintainLease();
        return;
      case "transaction_ended":
        this.transactionPending = false;
        this.startRequestedHandOver();
        return;
      case "advance_token":
        void this.advanceToken(message.shard);
        return;
      case "hand_over":
        // Guards against a leader that owns every shard and never passes one on: it asks itself in the middle of acting.
        this.requestedHandOver = { shard: message.shard, to: message.to };
        this.startRequestedHandOver();
        return;
      case "resign":
        void this.resign();
        return;
    }
  }

  private updateCluster(cluster: Cluster): void {
    // Guards against giving a shard straight back to a node that has just passed it on: every move counts for the period.
    if (hasShardHandOver(this.cluster, cluster)) this.lastHandOverAt = this.clock();
    this.cluster = cluster;
  }

  private handleClusterChange(): void {
    const leads = isSameInstance(this.cluster.leader, this.self);
    if (leads && this.leadingSince === null) {
      this.leadingSince = this.clock();
      this.log.info({ token: this.cluster.leader?.version }, "leading");
    } else if (!leads) {
      if (this.leadingSince !== null) this.log.info({ leader: this.leader() }, "no longer leading");
      this.leadingSince = null;
    }
    // A shard that another owns by now has been passed on; should it come back, it starts afresh.
    for (const shard of this.relinquishedShards)
      if (!isSameInstance(this.cluster.shards[shard], this.self)) this.relinquishedShards.delete(shard);
    const member = this.cluster.members.get(this.self.node);
    if (
      this.leaseId !== null &&
      this.view.revision >= this.joinedAtRevision &&
      !isSameInstance(member, this.self)
    ) {
      // The record is gone although we renewed: the service has dropped the lease, so nothing is owned any more.
      this.log.info("membership record is gone");
      this.tell({ kind: "lease_ended" });
    }
    this.callbacks.onOwnershipChanged();
  }

  private maintainLease(): void {
    if (this.leaseId === null) {
      if (!this.joining) void this.join();
      return;
    }
    const now = this.clock();
    if (this.pendingRenewals >= MAX_RENEWALS || now - this.lastRenewalAt < this.timings.membershipLeaseMs / 5)
      return;
    if (this.renewalUnanswered && now >= this.leaseValidUntil) void this.awaitStateStore();
    else void this.renew(this.leaseId);
  }

  /**
   * Guards against holding shards that this process may not act for: while requests reach the state service and answers
   * do not come back, each renewal would keep the lease from ending, and nobody could take its shards over. Once the lease
   * can no longer be proven here it is left to end, until some answer shows that renewing it can be proven again.
   */
  private async awaitStateStore(): Promise<void> {
    this.pendingRenewals++;
    this.lastRenewalAt = this.clock();
    try {
      await this.state.currentRevision();
      this.renewalUnanswered = false;
    } catch (err) {
      this.renewalUnanswered = !receivedResponse(err);
    } finally {
      this.pendingRenewals--;
    }
    if (!this.renewalUnanswered) this.lastRenewalAt = -Infinity;
  }

  private leaseExpiryFrom(sentAt: number): number {
    return sentAt + this.timings.membershipLeaseMs * (1 - CLOCK_DRIFT) - this.timings.marginMs;
  }

  private async join(): Promise<void> {
    this.joining = true;
    try {
      const sentAt = this.clock();
      const lease = await this.state.grantLease(this.timings.membershipLeaseMs);
      const known = await this.state.read(keys.member(this.self.node));
      const { conditions: guards, writes } = joinTransaction(this.self, lease, known?.version ?? 0);
      const commit = await this.state.compareAndSwap(guards, writes, "ownership");
      if (!commit.ok) return;
      this.leaseId = lease;
      this.joinedAtRevision = commit.revision;
      this.leaseValidUntil = this.leaseExpiryFrom(sentAt);
      this.lastRenewalAt = sentAt;
      this.log.info({ incarnation: this.self.incarnation }, "entered");
    } catch (err) {
      this.log.debug({ err: (err as Error).message }, "cannot enter yet");
    } finally {
      this.joining = false;
    }
  }

  private async renew(lease: number): Promise<void> {
    this.pendingRenewals++;
    const sentAt = this.clock();
    this.lastRenewalAt = sentAt;
    try {
      const renewed = await this.state.renewLease(lease);
      this.renewalUnanswered = false;
      if (renewed) {
        this.leaseValidUntil = Math.max(this.leaseValidUntil, this.leaseExpiryFrom(sentAt));
      } else if (lease === this.leaseId) {
        this.log.info("membership lease ended");
        this.tell({ kind: "lease_ended" });
      }
    } catch (err) {
      this.log.debug({ err: (err as Error).message }, "renewal failed");
      this.renewalUnanswered = !receivedResponse(err);
      // After an outage every lease has its full time again: the sooner it is proven, the sooner work goes on.
      this.lastRenewalAt = Math.min(this.lastRenewalAt, sentAt - (this.timings.membershipLeaseMs * 3) / 20);
    } finally {
      this.pendingRenewals--;
    }
  }

  private takeActions(): void {
    if (this.transactionPending || !this.holdsLease()) return;
    const now = this.clock();
    const actions = planMembership({
      self: this.self,
      cluster: this.cluster,
      controllers: this.controllers,
      leadingForMs: this.leadingSince === null ? 0 : now - this.leadingSince,
      bootstrapGraceMs: this.timings.membershipLeaseMs,
      mayMove: now - this.lastHandOverAt >= this.timings.shardMovePeriodMs,
      mayLead: now >= this.abstainsUntil,
      isCutOffFromWorkers: (node) => this.callbacks.isCutOffFromWorkers(node),
    });
    if (actions.length === 0) return;
    this.transactionPending = true;
    void this.performAll(actions);
  }

  private async performAll(actions: MembershipAction[]): Promise<void> {
    for (const action of actions) {
      try {
        await this.performAction(action);
      } catch (err) {
        if (!(err instanceof StateStoreError)) this.log.error({ err }, "membership action failed");
        else this.log.debug({ err: err.message, action: action.kind }, "membership action failed");
      }
    }
    this.tell({ kind: "transaction_ended" });
  }

  private async performAction(action: MembershipAction): Promise<void> {
    if (action.kind === "ask_hand_over") {
      this.lastHandOverAt = this.clock();
      this.callbacks.requestHandOver(action.owner, action.shard, action.to);
      return;
    }
    if (this.leaseId === null) return;
    const { conditions: guards, writes } = transactionFor(action, this.self, this.leaseId, this.cluster);
    const commit = await this.state.compareAndSwap(guards, writes, "ownership");
    if (!commit.ok || action.kind !== "assign") return;
    const { shard, from, to } = action;
    this.log.info({ shard, from: from?.node, to: to.node, token: commit.revision }, "shard assigned");
  }

  /** A worker has seen a higher token than this shard's, for example with a machine's former shard. */
  private async advanceToken(shard: number): Promise<void> {
    const record = this.cluster.shards[shard];
    if (!record || this.token(shard) === null || this.transactionPending) return;
    this.transactionPending = true;
    // Guards against not knowing an earlier try's success: the feed may show it only after this one has failed.
    const earlier = this.tokenAdvances.get(shard);
    const mark = earlier?.fromVersion === record.version ? earlier.advanceId : crypto.randomUUID();
    this.tokenAdvances.set(shard, { fromVersion: record.version, advanceId: mark });
    try {
      const commit = await this.state.compareAndSwap(
        [{ key: keys.shard(shard), version: record.version }],
        [{ put: keys.shard(shard), value: { ...this.self, mark } }],
        "ownership",
      );
      if (!commit.ok) return;
      this.log.info({ shard, token: commit.revision }, "fencing token advanced");
    } catch (err) {
      this.log.debug({ err: (err as Error).message, shard }, "fencing token not advanced");
    } finally {
      this.tell({ kind: "transaction_ended" });
    }
  }

  /**
   * Gives leadership up on the condition of its own record: a copy that is carried out late removes nobody else's. Until
   * the feed shows it this process may still lead, and what it writes as the leader is guarded by the same version.
   */
  private async resign(): Promise<void> {
    const version = this.leadership();
    if (version === null || this.transactionPending) return;
    this.transactionPending = true;
    this.abstainsUntil = this.clock() + ABSTAIN_LEASES * this.timings.membershipLeaseMs;
    try {
      const guards = [{ key: keys.leader, version }];
      const commit = await this.state.compareAndSwap(guards, [{ remove: keys.leader }], "ownership");
      if (commit.ok) this.log.info({ version }, "leadership given up");
    } catch (err) {
      this.log.debug({ err: (err as Error).message }, "leadership not known to be given up");
    } finally {
      this.tell({ kind: "transaction_ended" });
    }
  }

  private startRequestedHandOver(): void {
    const asked = this.requestedHandOver;
    if (asked === null || this.transactionPending) return;
    this.requestedHandOver = null;
    void this.handOver(asked.shard, asked.to);
  }

  /** Steps back first, writes second: by the time the new owner reads its name, this one has stopped. */
  private async handOver(shard: number, to: string): Promise<void> {
    const record = this.cluster.shards[shard];
    const heir = this.cluster.members.get(to);
    if (!record || !heir || this.token(shard) === null) return;
    this.transactionPending = true;
    this.relinquishedShards.add(shard);
    const { conditions, writes } = handOverTransaction(shard, record, heir);
    try {
      const commit = await this.state.compareAndSwap(conditions, writes, "ownership");
      if (commit.ok) this.log.info({ shard, to, token: commit.revision }, "shard handed over");
      if (!commit.ok) this.relinquishedShards.delete(shard);
    } catch {
      // It may yet be applied. Only a newer version of the record, written by us, rules that out.
      await this.resolveRelinquishment(shard);
    }
    this.tell({ kind: "transaction_ended" });
  }

  private async resolveRelinquishment(shard: number): Promise<void> {
    const key = keys.shard(shard);
    for (let settled = false; !settled;) {
      try {
        const now = await this.state.read(key);
        const owner = now?.value as ControllerInstance | undefined;
        if (now === null || !isSameInstance(owner, this.self)) return;
        const guards = [{ key, version: now.version }];
        settled = (await this.state.compareAndSwap(guards, [{ put: key, value: this.self }], "ownership")).ok;
        if (settled) this.relinquishedShards.delete(shard);
      } catch {
        await sleep(this.timings.marginMs);
      }
    }
  }
}
