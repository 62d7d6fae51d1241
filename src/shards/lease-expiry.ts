/** Expiry of worker leases: once a lease has certainly expired, no task runs on its machine any more. */
import { releaseAll } from "../workers/placement.js";
import type { Machine } from "../workers/machine.js";
import type { Logger } from "../runtime/log.js";

/** Dependencies of a shard's lease expiry. */
export interface LeaseExpiryDependencies {
  readonly shard: number;
  readonly machines: ReadonlyMap<string, Machine>;
  /** Start of this owner's term: steady time in milliseconds. */
  readonly termStartedAt: number;
  /** Worker lease duration including clock drift and response delay, in milliseconds. */
  readonly leaseMs: number;
  readonly log: Logger;
}

/** Expires the leases of machines that have stopped sending heartbeats. */
export class LeaseExpiry {
  /** Number of machines whose lease had not expired at the last check: heartbeats are expected from these. */
  expectedHeartbeatSources = 0;

  constructor(private readonly dependencies: LeaseExpiryDependencies) {}

  /** Releases all placements on machines whose lease has certainly expired by `now`, steady time in milliseconds. */
  expire(now: number): void {
    const { machines, leaseMs } = this.dependencies;
    this.expectedHeartbeatSources = 0;
    for (const machine of machines.values()) {
      const renewedAt = this.latestPossibleRenewalAt(machine);
      if (renewedAt === null || machine.leaseExpiredAt !== null) continue;
      if (now - renewedAt <= leaseMs) this.expectedHeartbeatSources++;
      else this.expireLease(machine, now);
    }
  }

  /**
   * Latest time at which the lease may have been renewed; null if it never was. An earlier owner may have renewed it
   * until this term began, as long as no heartbeat has arrived in this term.
   */
  private latestPossibleRenewalAt(machine: Machine): number | null {
    if (machine.lastHeartbeatAt !== null) return machine.lastHeartbeatAt;
    return machine.isUnreconciled ? this.dependencies.termStartedAt : machine.firstHeartbeatAt;
  }

  private expireLease(machine: Machine, now: number): void {
    const { shard, log } = this.dependencies;
    machine.leaseExpiredAt = now;
    const lost = machine.placements.size;
    releaseAll(machine);
    machine.emptySince = null;
    machine.emptyHeartbeats = 0;
    machine.isUnreconciled = false;
    log.info({ host: machine.host, shard, lost }, "worker lease expired");
  }
}
