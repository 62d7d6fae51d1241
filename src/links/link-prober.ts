/** Decides at every tick which links to probe, within the probe budget. */
import type { SteadyClock } from "../runtime/clock.js";
import type { DirectionTracker } from "./direction-tracker.js";
import type { LinkTable } from "./link-table.js";
import { peerLink, type LinkName } from "./model.js";
import type { PeerViews } from "./peer-views.js";
import type { ProbeBudget } from "./probe-budget.js";
import type { StallAwareClock } from "./stall-aware-clock.js";

/** What a prober is made from. */
export interface LinkProberDependencies {
  readonly clock: SteadyClock;
  readonly stallAwareClock: StallAwareClock;
  readonly table: LinkTable;
  readonly views: PeerViews;
  readonly budget: ProbeBudget;
  /** The other controllers. */
  readonly peers: readonly string[];
  /** While something fails a peer's view should not be older than this, in milliseconds. */
  readonly maxViewAgeMs: number;
  /** Sends a probe; its outcome is observed where all calls are. */
  readonly probe: (link: LinkName) => void;
}

/** Probes quiet links. */
export class LinkProber {
  constructor(private readonly dependencies: LinkProberDependencies) {}

  /** Probes what needs it now. */
  probeLinks(): void {
    const { clock, table, budget, probe } = this.dependencies;
    const now = clock();
    for (const { link, direction, tracker } of table.all())
      if (direction === "outbound" && this.needsProbe(link, tracker, now) && budget.tryAcquire(link))
        probe(link);
  }

  /**
   * A quiet peer is asked whether it is there, and any peer for its view while something fails here. The cloud is probed
   * only where a peer finds that it fails: the answer then says who should lead.
   */
  private needsProbe(link: LinkName, tracker: DirectionTracker, now: number): boolean {
    const { peers, views, maxViewAgeMs, stallAwareClock } = this.dependencies;
    const peer = peers.find((node) => peerLink(node) === link);
    if (peer !== undefined && this.hasFailingService() && now - views.receivedAt(peer) >= maxViewAgeMs)
      return true;
    if (!tracker.needsProbe(stallAwareClock.now())) return false;
    return link !== "cloud" || views.votes("cloud", "outbound", now, -Infinity).failing.length > 0;
  }

  private hasFailingService(): boolean {
    for (const { link, failingSince } of this.dependencies.table.all())
      if (failingSince !== null && !link.startsWith("peer:")) return true;
    return false;
  }
}
