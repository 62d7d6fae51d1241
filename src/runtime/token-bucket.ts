/** A token bucket for calls that are skipped, rather than queued, while the rate is used up. */
import type { SteadyClock } from "./clock.js";

/** A token bucket without a queue: it is full at first. */
export class TokenBucket {
  private tokens: number;
  private refilledAt: number;

  constructor(
    private readonly tokensPerSecond: number,
    /** The most tokens that the bucket holds. */
    private readonly burst: number,
    private readonly clock: SteadyClock,
  ) {
    this.tokens = burst;
    this.refilledAt = clock();
  }

  /** Takes so many tokens if the bucket holds them; otherwise takes none and returns false. */
  tryAcquire(cost: number): boolean {
    this.refill();
    if (this.tokens < cost) return false;
    this.tokens -= cost;
    return true;
  }

  private refill(): void {
    const now = this.clock();
    const elapsedS = (now - this.refilledAt) / 1000;
    this.tokens = Math.min(this.burst, this.tokens + elapsedS * this.tokensPerSecond);
    this.refilledAt = now;
  }
}
