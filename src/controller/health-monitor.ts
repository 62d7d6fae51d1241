/** Determines whether this controller can serve users; pings peers while its replica of the records is behind. */
import type { PeerNetwork } from "../peers/peer-network.js";
import type { SteadyClock } from "../runtime/clock.js";
import type { Replica } from "../state/replica.js";

/** Number of pings to each peer within the time after which a node without a response counts as cut off. */
const PINGS_PER_MAX_REPLICA_LAG = 4;

/** Dependencies of the health monitor. */
export interface HealthMonitorDependencies {
  readonly replica: Pick<Replica, "completeAsOf">;
  readonly peers: Pick<PeerNetwork, "lastResponseAt" | "request">;
  /** Names of all other controllers. */
  readonly peerNames: readonly string[];
  /** Maximum time since the replica was last known to be current before it counts as behind, in milliseconds. */
  readonly maxReplicaLagMs: number;
  readonly clock: SteadyClock;
}

/** Determines the health of this controller, as reported to health checks. */
export class HealthMonitor {
  private lastPingAt = -Infinity;

  constructor(private readonly dependencies: HealthMonitorDependencies) {}

  /** Whether the replica lags by more than the maximum, which is longer than an idle watch stays open. */
  isBehind(): boolean {
    const { clock, replica, maxReplicaLagMs } = this.dependencies;
    return clock() - replica.completeAsOf > maxReplicaLagMs;
  }

  /**
   * Whether users should be sent to this node. A node that cannot follow the records stays healthy while peers respond
   * to it: either they also answer its users' requests, or the state store is down for every node and no other node
   * would do better. A node cut off from both is unhealthy, so that users are sent elsewhere.
   */
  isHealthy(): boolean {
    const { clock, replica, peers, peerNames, maxReplicaLagMs } = this.dependencies;
    if (replica.completeAsOf === -Infinity) return false;
    if (!this.isBehind() || peerNames.length === 0) return true;
    return clock() - peers.lastResponseAt < maxReplicaLagMs;
  }

  /** Pings all peers periodically while the replica is behind; `isHealthy` relies on their responses. */
  tick(): void {
    if (!this.isBehind()) return;
    const { clock, peers, peerNames, maxReplicaLagMs } = this.dependencies;
    const now = clock();
    if (now - this.lastPingAt < maxReplicaLagMs / PINGS_PER_MAX_REPLICA_LAG) return;
    this.lastPingAt = now;
    for (const name of peerNames) peers.request(name, { ping: {} }).catch(() => undefined);
  }
}
