/** Whether this controller follows the records and is of use to its users; pings peers while it does not follow them. */
import type { PeerNetwork } from "../peers/peer-network.js";
import type { SteadyClock } from "../runtime/clock.js";
import type { Replica } from "../state/replica.js";

/** Pings that are sent to each peer within the time after which a node without an answer counts as cut off. */
const PINGS_PER_MAX_REPLICA_LAG = 4;

/** What the health monitor needs of the rest of the process. */
export interface HealthMonitorDependencies {
  readonly replica: Pick<Replica, "completeAsOf">;
  readonly peers: Pick<PeerNetwork, "lastResponseAt" | "request">;
  /** Names of all other controllers. */
  readonly peerNames: readonly string[];
  /** A replica that has not been current for longer than this is behind, in milliseconds. */
  readonly maxReplicaLagMs: number;
  readonly clock: SteadyClock;
}

/** Judges the health of this controller. */
export class HealthMonitor {
  private lastPingAt = -Infinity;

  constructor(private readonly dependencies: HealthMonitorDependencies) {}

  /** Whether the records have not been followed for longer than a quiet watch stays open. */
  isBehind(): boolean {
    const { clock, replica, maxReplicaLagMs } = this.dependencies;
    return clock() - replica.completeAsOf > maxReplicaLagMs;
  }

  /**
   * A node that cannot follow the records stays healthy while peers answer it: either they answer its users' requests
   * too, or the state service is down for all and no node would do better. Cut off from both, it sends users elsewhere.
   */
  isHealthy(): boolean {
    const { clock, replica, peers, peerNames, maxReplicaLagMs } = this.dependencies;
    if (replica.completeAsOf === -Infinity) return false;
    if (!this.isBehind() || peerNames.length === 0) return true;
    return clock() - peers.lastResponseAt < maxReplicaLagMs;
  }

  /** Pings all peers from time to time while the records are not followed: `isHealthy` goes by their answers. */
  tick(): void {
    if (!this.isBehind()) return;
    const { clock, peers, peerNames, maxReplicaLagMs } = this.dependencies;
    const now = clock();
    if (now - this.lastPingAt < maxReplicaLagMs / PINGS_PER_MAX_REPLICA_LAG) return;
    this.lastPingAt = now;
    for (const name of peerNames) peers.request(name, { ping: {} }).catch(() => undefined);
  }
}
