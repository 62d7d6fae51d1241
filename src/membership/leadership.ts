/** Tracks how long this process has been the leader, and lets it resign in favour of another controller. */
import type { SteadyClock } from "../runtime/clock.js";
import { keys } from "../state/keys.js";
import { isSameInstance, type ControllerRecord } from "./cluster-records.js";
import type { TransactionDependencies } from "./membership-messages.js";

/** How long a process does not try to acquire leadership after it has resigned, in membership lease durations. */
const RESIGNATION_COOLDOWN_LEASES = 2;

/** Dependencies of `Leadership`. */
export interface LeadershipDependencies extends TransactionDependencies {
  readonly clock: SteadyClock;
  readonly membershipLeaseMs: number;
}

/** Tracks whether this process is the leader, and removes its leader record when it resigns. */
export class Leadership {
  private leadingSince: number | null = null;
  private cooldownEndsAt = -Infinity;

  constructor(private readonly dependencies: LeadershipDependencies) {}

  /** Updates the leadership state from the leader record; must be called after each change of the cluster. */
  update(leader: ControllerRecord | null): void {
    const { self, clock, log } = this.dependencies;
    const isLeading = leader !== null && isSameInstance(leader, self);
    if (isLeading && this.leadingSince === null) {
      this.leadingSince = clock();
      log.info({ token: leader.version }, "leadership acquired");
    } else if (!isLeading) {
      if (this.leadingSince !== null) log.info({ leader: leader?.node ?? null }, "leadership lost");
      this.leadingSince = null;
    }
  }

  /** How long this process has been the leader, in milliseconds; 0 if it is not the leader. */
  leadingForMs(now: number): number {
    return this.leadingSince === null ? 0 : now - this.leadingSince;
  }

  /** Whether this process may acquire vacant leadership: false during the cooldown after a resignation. */
  canLead(now: number): boolean {
    return now >= this.cooldownEndsAt;
  }

  /**
   * Removes the leader record if it still has the given version, so that a request that is executed late cannot remove
   * another leader's record. Until the watch shows the removal, this process may continue to act as the leader: its
   * writes as leader are conditional on the same version.
   */
  async resign(version: number): Promise<void> {
    const { state, clock, membershipLeaseMs, log, onTransactionEnded } = this.dependencies;
    this.cooldownEndsAt = clock() + RESIGNATION_COOLDOWN_LEASES * membershipLeaseMs;
    try {
      const conditions = [{ key: keys.leader, version }];
      const result = await state.compareAndSwap(conditions, [{ remove: keys.leader }], "ownership");
      if (result.ok) log.info({ version }, "leadership resigned");
    } catch (err) {
      log.debug({ err }, "resignation failed or its outcome is unknown");
    } finally {
      onTransactionEnded();
    }
  }
}
