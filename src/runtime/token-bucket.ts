/** A token bucket for calls that are skipped instead of queued when the rate limit is reached. */
import type { SteadyClock } from "./clock.js";

/** A token bucket without a queue. It is full initially. */
export class TokenBucket {
  private tokens: number;
  private refilledAt: number;

  constructor(
    private readonly tokensPerSecond: number,
    /** Capacity of the bucket, in tokens. */
    private readonly burst: number,
    private readonly clock: SteadyClock,
  ) {
    this.tokens = burst;
    this.refilledAt = clock();
  }

  /** Takes `cost` tokens if the bucket holds that many; otherwise takes none and returns false. */
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
