/**
 * Which quiet links to probe, within budgets that are ratios to the settings. The state service is never quiet, since the
 * membership lease is renewed all the time; workers and users come by themselves.
 */
import { TokenBucket } from "../runtime/token-bucket.js";
import type { SteadyClock } from "../runtime/clock.js";
import type { LinkName } from "./model.js";

/** What the settings say of rates, for all controllers together. */
export interface ProbeRates {
  cloudRps: number;
  controllers: number;
  /** The share of the cloud's rate that probes may use. */
  share: number;
  /** How often a quiet peer may be asked. */
  minPeerIntervalMs: number;
}

/** Hands out the right to probe. */
export class ProbeBudget {
  private readonly cloud: TokenBucket;
  private readonly peerProbedAt = new Map<LinkName, number>();

  constructor(
    private readonly rates: ProbeRates,
    private readonly clock: SteadyClock,
  ) {
    this.cloud = new TokenBucket((rates.cloudRps * rates.share) / rates.controllers, 1, clock);
  }

  /** Whether this link may be probed now; the right is used up by asking. */
  tryAcquire(link: LinkName): boolean {
    if (link === "cloud") return this.cloud.tryAcquire(1);
    if (!link.startsWith("peer:")) return false;
    const now = this.clock();
    if (now - (this.peerProbedAt.get(link) ?? -Infinity) < this.rates.minPeerIntervalMs) return false;
    this.peerProbedAt.set(link, now);
    return true;
  }
}
