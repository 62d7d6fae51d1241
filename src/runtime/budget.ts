/** A token bucket with debt: a call that costs more than the bucket holds goes out, and later ones wait for it. */
import type { SteadyClock } from "./clock.js";

export class Budget {
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

  /** Takes `cost` and returns how many milliseconds the caller must wait before it goes ahead. */
  take(cost: number): number {
    this.refill();
    const wait =
      this.level >= Math.min(cost, this.burst)
        ? 0
        : (-this.level + Math.min(cost, this.burst)) / this.perSecond;
    this.level -= cost;
    return Math.max(0, wait * 1000);
  }

  /** Takes `cost` only if that needs no waiting. */
  tryTake(cost: number): boolean {
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
