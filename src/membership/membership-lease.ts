/**
 * This process's membership lease: acquires it, renews it, and knows how long it can be proven to last. Another
 * controller may be given this process's shards only after the lease has ended in the state store, which is never before
 * it has ended here.
 */
import type { SteadyClock } from "../runtime/clock.js";
import type { Logger } from "../runtime/log.js";
import { keys } from "../state/keys.js";
import type { ReplicaView } from "../state/replica.js";
import type { StateStoreClient } from "../state/state-store-client.js";
import { receivedResponse } from "../state/state-store-error.js";
import { CLOCK_DRIFT } from "../wire/index.js";
import { isSameInstance, type ControllerInstance, type ControllerRecord } from "./cluster-records.js";
import type { MembershipTimings } from "./membership-messages.js";
import { joinTransaction } from "./membership-transactions.js";
import { leaseRefusal, type LeaseEvidence } from "./shard-authority.js";

/** How many renewals may be in flight at once. */
const MAX_RENEWALS = 3;

/** How often a lease is renewed within its length. */
const RENEWALS_PER_LEASE = 5;

/** What the membership lease is made from. */
export interface MembershipLeaseDependencies {
  readonly self: ControllerInstance;
  readonly timings: MembershipTimings;
  readonly state: StateStoreClient;
  readonly view: ReplicaView;
  readonly clock: SteadyClock;
  readonly log: Logger;
  /** Called when the state store has ended the lease. */
  readonly onEnded: () => void;
}

/** Acquires and renews the membership lease of this process. */
export class MembershipLease {
  private leaseId: number | null = null;
  /** Steady time up to which the lease can be proven. */
  private validUntil = -Infinity;
  /** The revision at which this process last joined: older views say nothing about what it owns. */
  private joinedAtRevision = Infinity;
  private joining = false;
  /** Renewals without an answer so far: a slow state store must not keep the next one from being sent. */
  private pendingRenewals = 0;
  private lastRenewalAt = -Infinity;
  /** Whether the last renewal that ended got no answer, so that the state store may have renewed the lease all the same. */
  private renewalUnanswered = false;

  constructor(private readonly dependencies: MembershipLeaseDependencies) {}

  /** The id of the lease in the state store; null if this process has none. */
  get id(): number | null {
    return this.leaseId;
  }

  /** How far the lease and the replica carry decisions at present. */
  evidence(): LeaseEvidence {
    const { clock, view, timings } = this.dependencies;
    const now = clock();
    return {
      leaseLeftMs: this.validUntil - now,
      viewAgeMs: now - view.completeAsOf,
      hasViewReachedJoin: this.viewShowsJoin(),
      maxViewAgeMs: timings.maxViewAgeMs,
    };
  }

  /** Whether the lease can be proven to last, on a replica that is new enough. */
  isHeld(): boolean {
    return leaseRefusal(this.evidence()) === null;
  }

  /** Acquires the lease if there is none, or renews it if that is due. */
  maintain(): void {
    if (this.leaseId === null) {
      if (!this.joining) void this.join();
      return;
    }
    const now = this.dependencies.clock();
    const renewalIntervalMs = this.dependencies.timings.membershipLeaseMs / RENEWALS_PER_LEASE;
    if (this.pendingRenewals >= MAX_RENEWALS || now - this.lastRenewalAt < renewalIntervalMs) return;
    if (this.renewalUnanswered && now >= this.validUntil) void this.awaitStateStore();
    else void this.renew(this.leaseId);
  }

  /** Forgets a lease that has ended. */
  clear(): void {
    this.leaseId = null;
    this.validUntil = -Infinity;
  }

  /** Checks the lease against this node's member record: the state store removes the record when it ends the lease. */
  checkRecord(member: ControllerRecord | undefined): void {
    const { self, log, onEnded } = this.dependencies;
    if (this.leaseId === null || !this.viewShowsJoin() || isSameInstance(member, self)) return;
    log.info("membership record removed");
    onEnded();
  }

  private viewShowsJoin(): boolean {
    return this.dependencies.view.revision >= this.joinedAtRevision;
  }

  private expiryOf(sentAt: number): number {
    const { membershipLeaseMs, marginMs } = this.dependencies.timings;
    return sentAt + membershipLeaseMs * (1 - CLOCK_DRIFT) - marginMs;
  }

  private async join(): Promise<void> {
    const { self, timings, state, clock, log } = this.dependencies;
    this.joining = true;
    try {
      const sentAt = clock();
      const leaseId = await state.grantLease(timings.membershipLeaseMs);
      const known = await state.read(keys.member(self.node));
      const { conditions, writes } = joinTransaction(self, leaseId, known?.version ?? 0);
      const result = await state.compareAndSwap(conditions, writes, "ownership");
      if (!result.ok) return;
      this.leaseId = leaseId;
      this.joinedAtRevision = result.revision;
      this.validUntil = this.expiryOf(sentAt);
      this.lastRenewalAt = sentAt;
      log.info({ incarnation: self.incarnation }, "membership lease acquired");
    } catch (err) {
      log.debug({ err }, "membership lease not acquired");
    } finally {
      this.joining = false;
    }
  }

  private async renew(leaseId: number): Promise<void> {
    const { timings, state, clock, log, onEnded } = this.dependencies;
    this.pendingRenewals++;
    const sentAt = clock();
    this.lastRenewalAt = sentAt;
    try {
      const renewed = await state.renewLease(leaseId);
      this.renewalUnanswered = false;
      if (renewed) {
        this.validUntil = Math.max(this.validUntil, this.expiryOf(sentAt));
      } else if (leaseId === this.leaseId) {
        log.info("membership lease ended");
        onEnded();
      }
    } catch (err) {
      log.debug({ err }, "membership lease renewal failed");
      this.renewalUnanswered = !receivedResponse(err);
      // After an outage every lease has its full length again, and the sooner it is proven, the sooner work goes on: the
      // next renewal is due after a twentieth of the lease in place of a fifth.
      const broughtForwardMs = (timings.membershipLeaseMs * 3) / 20;
      this.lastRenewalAt = Math.min(this.lastRenewalAt, sentAt - broughtForwardMs);
    } finally {
      this.pendingRenewals--;
    }
  }

  /**
   * Waits until the state store answers, without renewing the lease. Guards against holding shards that this process may
   * not act for: while requests reach the state store and answers do not come back, each renewal would keep the lease
   * from ending, and no other controller could take its shards over. Once the lease can no longer be proven here it is
   * left to end, until some answer shows that a renewal can be proven again.
   */
  private async awaitStateStore(): Promise<void> {
    const { state, clock } = this.dependencies;
    this.pendingRenewals++;
    this.lastRenewalAt = clock();
    try {
      await state.currentRevision();
      this.renewalUnanswered = false;
    } catch (err) {
      this.renewalUnanswered = !receivedResponse(err);
    } finally {
      this.pendingRenewals--;
    }
    if (!this.renewalUnanswered) this.lastRenewalAt = -Infinity;
  }
}
