/**
 * Acquires and renews this process's membership lease, and tracks until when it is guaranteed to be valid. The leader
 * assigns the shards of this process to another controller only after the lease has expired in the state store; the
 * expiry tracked here is never later than that.
 */
import type { SteadyClock } from "../runtime/clock.js";
import type { Logger } from "../runtime/log.js";
import { keys } from "../state/keys.js";
import type { ReplicaView } from "../state/replica.js";
import type { StateStoreClient } from "../state/state-store-client.js";
import { hasResponse } from "../state/state-store-error.js";
import { CLOCK_DRIFT } from "../wire/index.js";
import { isSameInstance, type ControllerInstance, type ControllerRecord } from "./cluster-records.js";
import type { MembershipTimings } from "./membership-messages.js";
import { joinTransaction } from "./membership-transactions.js";
import { leaseRefusal, type LeaseEvidence } from "./shard-authority.js";

/** The maximum number of renewals and probes in flight. */
const MAX_RENEWALS_IN_FLIGHT = 3;

/** How many times the lease is renewed within one lease duration. */
const RENEWALS_PER_LEASE = 5;

/** Dependencies of `MembershipLease`. */
export interface MembershipLeaseDependencies {
  readonly self: ControllerInstance;
  readonly timings: MembershipTimings;
  readonly state: StateStoreClient;
  readonly view: ReplicaView;
  readonly clock: SteadyClock;
  readonly log: Logger;
  /** Called when the lease is found to have expired in the state store. */
  readonly onEnded: () => void;
}

/** Acquires and renews the membership lease of this process. */
export class MembershipLease {
  private leaseId: number | null = null;
  /** Steady time, in milliseconds, until which the lease is guaranteed to be valid. */
  private validUntil = -Infinity;
  /** The revision at which this process last joined: an older replica does not show which shards it owns. */
  private joinedAtRevision = Infinity;
  private isJoining = false;
  /**
   * Renewals and probes in flight. More than one is allowed, so that a slow state store does not delay the next one.
   */
  private pendingRenewals = 0;
  private lastRenewalAt = -Infinity;
  /** Whether the last completed renewal or probe got no response: a renewal may have been executed nevertheless. */
  private isRenewalOutcomeUnknown = false;

  constructor(private readonly dependencies: MembershipLeaseDependencies) {}

  /** The id of the lease in the state store; null if this process holds no lease. */
  get id(): number | null {
    return this.leaseId;
  }

  /** The current state of the lease and the age of the replica, on which decisions about shard authority are based. */
  evidence(): LeaseEvidence {
    const { clock, view, timings } = this.dependencies;
    const now = clock();
    return {
      leaseLeftMs: this.validUntil - now,
      viewAgeMs: now - view.completeAsOf,
      hasViewReachedJoin: this.hasViewReachedJoin(),
      maxViewAgeMs: timings.maxViewAgeMs,
    };
  }

  /** Whether the lease is guaranteed to be valid and the replica is recent enough to act on. */
  isHeld(): boolean {
    return leaseRefusal(this.evidence()) === null;
  }

  /** Acquires the lease if there is none, or renews it if a renewal is due. */
  maintain(): void {
    if (this.leaseId === null) {
      if (!this.isJoining) void this.join();
      return;
    }
    const now = this.dependencies.clock();
    const renewalIntervalMs = this.dependencies.timings.membershipLeaseMs / RENEWALS_PER_LEASE;
    if (this.pendingRenewals >= MAX_RENEWALS_IN_FLIGHT || now - this.lastRenewalAt < renewalIntervalMs)
      return;
    if (this.isRenewalOutcomeUnknown && now >= this.validUntil) void this.probeStateStore();
    else void this.renew(this.leaseId);
  }

  /** Discards a lease that has expired. */
  clear(): void {
    this.leaseId = null;
    this.validUntil = -Infinity;
  }

  /**
   * Detects the loss of the lease from this node's member record, which the state store removes when the lease expires.
   */
  checkRecord(member: ControllerRecord | undefined): void {
    const { self, log, onEnded } = this.dependencies;
    if (this.leaseId === null || !this.hasViewReachedJoin() || isSameInstance(member, self)) return;
    log.info("member record no longer names this process");
    onEnded();
  }

  private hasViewReachedJoin(): boolean {
    return this.dependencies.view.revision >= this.joinedAtRevision;
  }

  private expiryOf(sentAt: number): number {
    const { membershipLeaseMs, marginMs } = this.dependencies.timings;
    return sentAt + membershipLeaseMs * (1 - CLOCK_DRIFT) - marginMs;
  }

  private async join(): Promise<void> {
    const { self, timings, state, clock, log } = this.dependencies;
    this.isJoining = true;
    try {
      const sentAt = clock();
      const leaseId = await state.grantLease(timings.membershipLeaseMs);
      const memberEntry = await state.read(keys.member(self.node));
      const { conditions, writes } = joinTransaction(self, leaseId, memberEntry?.version ?? 0);
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
      this.isJoining = false;
    }
  }

  private async renew(leaseId: number): Promise<void> {
    const { timings, state, clock, log, onEnded } = this.dependencies;
    this.pendingRenewals++;
    const sentAt = clock();
    this.lastRenewalAt = sentAt;
    try {
      const renewed = await state.renewLease(leaseId);
      this.isRenewalOutcomeUnknown = false;
      if (renewed) {
        this.validUntil = Math.max(this.validUntil, this.expiryOf(sentAt));
      } else if (leaseId === this.leaseId) {
        log.info("membership lease expired");
        onEnded();
      }
    } catch (err) {
      log.debug({ err }, "membership lease renewal failed");
      this.isRenewalOutcomeUnknown = !hasResponse(err);
      // The state store restores every lease to its full duration after an outage. To resume work soon, the next
      // renewal is due after a twentieth of the lease duration instead of a fifth.
      const retryAdvanceMs = (timings.membershipLeaseMs * 3) / 20;
      this.lastRenewalAt = Math.min(this.lastRenewalAt, sentAt - retryAdvanceMs);
    } finally {
      this.pendingRenewals--;
    }
  }

  /**
   * Checks whether the state store responds, without renewing the lease. If requests reach the state store but
   * responses are lost, each renewal would extend a lease that this process cannot rely on: it could not act for its
   * shards, and no other controller could take them over. Once the lease has expired locally it is therefore not
   * renewed until a response arrives.
   */
  private async probeStateStore(): Promise<void> {
    const { state, clock } = this.dependencies;
    this.pendingRenewals++;
    this.lastRenewalAt = clock();
    try {
      await state.currentRevision();
      this.isRenewalOutcomeUnknown = false;
    } catch (err) {
      this.isRenewalOutcomeUnknown = !hasResponse(err);
    } finally {
      this.pendingRenewals--;
    }
    if (!this.isRenewalOutcomeUnknown) this.lastRenewalAt = -Infinity;
  }
}
