/** This process's terms as the leader: since when it leads, and resigning in favour of another controller. */
import type { SteadyClock } from "../runtime/clock.js";
import { keys } from "../state/keys.js";
import { isSameInstance, type ControllerRecord } from "./cluster-records.js";
import type { TransactionDependencies } from "./membership-messages.js";

/** For how many membership leases a process that has resigned leaves leadership to others. */
const ABSTAIN_LEASES = 2;

/** What leadership is made from. */
export interface LeadershipDependencies extends TransactionDependencies {
  readonly clock: SteadyClock;
  readonly membershipLeaseMs: number;
}

/** Follows whether this process leads, and resigns. */
export class Leadership {
  private leadingSince: number | null = null;
  private abstainsUntil = -Infinity;

  constructor(private readonly dependencies: LeadershipDependencies) {}

  /** Follows the leader's record; to be called after each change of the cluster. */
  update(leader: ControllerRecord | null): void {
    const { self, clock, log } = this.dependencies;
    const leads = leader !== null && isSameInstance(leader, self);
    if (leads && this.leadingSince === null) {
      this.leadingSince = clock();
      log.info({ token: leader.version }, "leadership acquired");
    } else if (!leads) {
      if (this.leadingSince !== null) log.info({ leader: leader?.node ?? null }, "leadership lost");
      this.leadingSince = null;
    }
  }

  /** How long this process has led, in milliseconds; 0 if it does not lead. */
  leadingForMs(now: number): number {
    return this.leadingSince === null ? 0 : now - this.leadingSince;
  }

  /** Whether this process may acquire vacant leadership: not soon after it has resigned. */
  mayLead(now: number): boolean {
    return now >= this.abstainsUntil;
  }

  /**
   * Removes the leader's record if it still has the given version: a copy that is executed late removes no other leader's.
   * Until the watch shows the removal this process may still lead, and what it writes as the leader is conditional on the
   * same version.
   */
  async resign(version: number): Promise<void> {
    const { state, clock, membershipLeaseMs, log, onTransactionEnded } = this.dependencies;
    this.abstainsUntil = clock() + ABSTAIN_LEASES * membershipLeaseMs;
    try {
      const conditions = [{ key: keys.leader, version }];
      const result = await state.compareAndSwap(conditions, [{ remove: keys.leader }], "ownership");
      if (result.ok) log.info({ version }, "leadership given up");
    } catch (err) {
      log.debug({ err }, "leadership not known to be given up");
    } finally {
      onTransactionEnded();
    }
  }
}
