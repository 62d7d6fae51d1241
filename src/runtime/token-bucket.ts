/** A token bucket for calls that are left out, and not kept waiting, when there is no room for them. */
import type { SteadyClock } from "./clock.js";

/** A token bucket that never makes anybody wait. */
export class TokenBucket {
  private level: number;
  private updatedAt: number;

  constructor(
    private readonly perSecond: number,
    private readonly burst: number,
    private readonly clock: SteadyClock,
  ) {
    this.level = burst;
    this.updatedAt = clock();
  }

  /** Takes `cost` only if that needs no waiting. */
  tryAcquire(cost: number): boolean {
    this.refill();
    if (this.level < cost) return false;
    this.level -= cost;
    return true;
  }

  private refill(): void {
    const now = this.clock();
    this.level = Math.min(this.burst, this.level + ((now - this.updatedAt) / 1000) * this.perSecond);
    this.updatedAt = now;
  }
}
