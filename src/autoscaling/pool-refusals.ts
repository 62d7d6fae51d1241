/** Tracks pools that recently rented out fewer machines than ordered, with exponential backoff. */
import { poolKey, type InstancePool } from "../cloud/instance-pool.js";

/** The initial and the maximum backoff, as multiples of the typical boot time of the pool's machine type. */
const FIRST_BACKOFF_BOOT_FRACTION = 1 / 2;
const MAX_BACKOFF_BOOT_FACTOR = 4;

interface Refusal {
  /** Steady time, in milliseconds, until which no machines are ordered from the pool. */
  retryAt: number;
  backoffMs: number;
}

/** Backoff state of the pools that refused machines. */
export class PoolRefusals {
  private readonly refusals = new Map<string, Refusal>();

  /** Whether the backoff of a pool has not yet expired. */
  isInBackoff(pool: InstancePool, now: number): boolean {
    const refusal = this.refusals.get(poolKey(pool));
    return refusal !== undefined && refusal.retryAt > now;
  }

  /** Records that a pool provided fewer machines than ordered; each consecutive refusal doubles the backoff. */
  recordRefusal(pool: InstancePool, typicalBootMs: number, now: number): void {
    const key = poolKey(pool);
    const previous = this.refusals.get(key);
    const uncappedMs =
      previous === undefined ? typicalBootMs * FIRST_BACKOFF_BOOT_FRACTION : previous.backoffMs * 2;
    const backoffMs = Math.min(uncappedMs, typicalBootMs * MAX_BACKOFF_BOOT_FACTOR);
    this.refusals.set(key, { retryAt: now + backoffMs, backoffMs });
  }

  /** Records that a pool provided all machines ordered, which resets its backoff. */
  recordSuccess(pool: InstancePool): void {
    this.refusals.delete(poolKey(pool));
  }

  /** Resets the backoff of all pools. */
  clear(): void {
    this.refusals.clear();
  }
}
