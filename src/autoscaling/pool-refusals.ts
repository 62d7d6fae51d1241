/** Pools that have lately refused machines, with exponential back-off. */
import { poolKey, type InstancePool } from "../cloud/instance-pool.js";

/** The back-off after the first refusal, and the longest, in usual boot times of the pool's machine type. */
const FIRST_BACKOFF_BOOT_FRACTION = 1 / 2;
const MAX_BACKOFF_BOOT_FACTOR = 4;

interface Refusal {
  /** Steady time until which nothing is rented there. */
  retryAt: number;
  backoffMs: number;
}

/** Which pools are not to be asked for machines for a while. */
export class PoolRefusals {
  private readonly refusals = new Map<string, Refusal>();

  /** Whether the back-off of a pool is still running. */
  isInBackoff(pool: InstancePool, now: number): boolean {
    const refusal = this.refusals.get(poolKey(pool));
    return refusal !== undefined && refusal.retryAt > now;
  }

  /** Records that a pool gave fewer machines than ordered: each time in a row doubles the back-off. */
  recordRefusal(pool: InstancePool, typicalBootMs: number, now: number): void {
    const key = poolKey(pool);
    const previous = this.refusals.get(key);
    const uncappedMs =
      previous === undefined ? typicalBootMs * FIRST_BACKOFF_BOOT_FRACTION : previous.backoffMs * 2;
    const backoffMs = Math.min(uncappedMs, typicalBootMs * MAX_BACKOFF_BOOT_FACTOR);
    this.refusals.set(key, { retryAt: now + backoffMs, backoffMs });
  }

  /** Records that a pool gave all that was ordered. */
  recordSuccess(pool: InstancePool): void {
    this.refusals.delete(poolKey(pool));
  }

  /** Forgets all refusals. */
  clear(): void {
    this.refusals.clear();
  }
}
