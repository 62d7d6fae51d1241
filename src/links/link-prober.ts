/** Selects the links to probe at every tick, within the probe budget. */
import type { SteadyClock } from "../runtime/clock.js";
import type { DirectionTracker } from "./direction-tracker.js";
import type { LinkTable } from "./link-table.js";
import { peerLink, type LinkName } from "./model.js";
import type { PeerViews } from "./peer-views.js";
import type { ProbeBudget } from "./probe-budget.js";
import type { StallAwareClock } from "./stall-aware-clock.js";

/** Dependencies of a `LinkProber`. */
export interface LinkProberDependencies {
  readonly clock: SteadyClock;
  readonly stallAwareClock: StallAwareClock;
  readonly table: LinkTable;
  readonly views: PeerViews;
  readonly budget: ProbeBudget;
  /** The other controllers. */
  readonly peers: readonly string[];
  /** The maximum age of a peer's view while a service fails here, in milliseconds. */
  readonly maxViewAgeMs: number;
  /** Sends a probe. Its result is observed like that of any other call. */
  readonly probe: (link: LinkName) => void;
}

/** Probes links without recent traffic. */
export class LinkProber {
  constructor(private readonly dependencies: LinkProberDependencies) {}

  /** Probes the links that need it now and for which the budget allows it. */
  probeLinks(): void {
    const { clock, table, budget, probe } = this.dependencies;
    const now = clock();
    for (const { link, direction, tracker } of table.all())
      if (direction === "outbound" && this.needsProbe(link, tracker, now) && budget.tryAcquire(link))
        probe(link);
  }

  /**
   * Probes a peer without recent traffic, and while a service fails here also a peer whose view is too old. The cloud
   * is probed only if a peer reports it as down: the result decides which controller should lead.
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
