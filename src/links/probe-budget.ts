/**
 * Limits the rate of probes of idle links. Only the cloud and peers are probed: the state store always has traffic
 * because the membership lease is renewed, and workers and users send requests on their own.
 */
import { TokenBucket } from "../runtime/token-bucket.js";
import type { SteadyClock } from "../runtime/clock.js";
import type { LinkName } from "./model.js";

/** Rates that limit probes. */
export interface ProbeRates {
  /** The cloud's request rate for all controllers together, in requests per second. */
  cloudRps: number;
  controllers: number;
  /** The share of the cloud's request rate that probes may use. */
  share: number;
  /** The minimum time between two probes of the same peer, in milliseconds. */
  minPeerIntervalMs: number;
}

/** Limits probes of the cloud by a token bucket, and of peers by a minimum interval. */
export class ProbeBudget {
  private readonly cloud: TokenBucket;
  private readonly peerProbedAt = new Map<LinkName, number>();

  constructor(
    private readonly rates: ProbeRates,
    private readonly clock: SteadyClock,
  ) {
    this.cloud = new TokenBucket((rates.cloudRps * rates.share) / rates.controllers, 1, clock);
  }

  /** Whether a link may be probed now. A `true` result uses up the permit. */
  tryAcquire(link: LinkName): boolean {
    if (link === "cloud") return this.cloud.tryAcquire(1);
    if (!link.startsWith("peer:")) return false;
    const now = this.clock();
    if (now - (this.peerProbedAt.get(link) ?? -Infinity) < this.rates.minPeerIntervalMs) return false;
    this.peerProbedAt.set(link, now);
    return true;
  }
}
