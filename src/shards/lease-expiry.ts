/** Expiry of workers' leases: from when on everything on a machine that does not report is surely gone. */
import { releaseAll } from "../workers/placement.js";
import type { Machine } from "../workers/machine.js";
import type { Logger } from "../runtime/log.js";

/** What lease expiry of one shard is made from. */
export interface LeaseExpiryDependencies {
  readonly shard: number;
  readonly machines: ReadonlyMap<string, Machine>;
  /** When this owner's term began: steady time in milliseconds. */
  readonly termStartedAt: number;
  /** A worker's lease with everything that may delay its end, in milliseconds. */
  readonly leaseMs: number;
  readonly log: Logger;
}

/** Expires the leases of machines that do not report any more. */
export class LeaseExpiry {
  /** How many machines have reported and hold a lease, as of the last check: these are expected to report. */
  expectedHeartbeatSources = 0;

  constructor(private readonly dependencies: LeaseExpiryDependencies) {}

  /** Releases everything on machines whose lease has surely expired by `now`, steady time in milliseconds. */
  expire(now: number): void {
    const { machines, leaseMs } = this.dependencies;
    this.expectedHeartbeatSources = 0;
    for (const machine of machines.values()) {
      const renewedAt = this.lastPossibleRenewal(machine);
      if (renewedAt === null || machine.leaseExpiredAt !== null) continue;
      if (now - renewedAt <= leaseMs) this.expectedHeartbeatSources++;
      else this.expireLease(machine, now);
    }
  }

  /** Before the first heartbeat in this term, an earlier owner may have renewed the lease until the term began. */
  private lastPossibleRenewal(machine: Machine): number | null {
    if (machine.lastHeartbeatAt !== null) return machine.lastHeartbeatAt;
    return machine.mayHaveUnreportedTasks ? this.dependencies.termStartedAt : machine.firstHeartbeatAt;
  }

  private expireLease(machine: Machine, now: number): void {
    const { shard, log } = this.dependencies;
    machine.leaseExpiredAt = now;
    const lost = machine.placements.size;
    releaseAll(machine);
    machine.emptySince = null;
    machine.emptyHeartbeats = 0;
    machine.mayHaveUnreportedTasks = false;
    log.info({ host: machine.host, shard, lost }, "worker lease expired");
  }
}
