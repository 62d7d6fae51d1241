/**
 * This controller's share of the state store's write rate limit, which applies to all controllers together. The
 * controllers do not coordinate: each one observes all writes in the watch and uses the rate that the others leave.
 */
import type { SteadyClock } from "../runtime/clock.js";
import { RateLimiter, type PriorityReserve } from "../runtime/rate-limiter.js";

/**
 * The priority of a write, from highest to lowest. `ownership`: leases, ownership and commands; `user`: writes that
 * users wait for; `result`: ended jobs; `background`: updates on machines and completed tasks, which can be delayed
 * without harm.
 */
export type WritePriority = "ownership" | "user" | "result" | "background";

/** The fraction of the burst that each priority leaves to the higher ones. */
const BURST_RESERVES: readonly PriorityReserve<WritePriority>[] = [
  { priority: "ownership", reserve: 0 },
  { priority: "user", reserve: 0.1 },
  { priority: "result", reserve: 0.25 },
  { priority: "background", reserve: 0.4 },
];

/** The fraction of an equal share that a controller may always use, whatever rate is observed for the others. */
const MIN_RATE_SHARE = 0.7;

/** Time constant of the exponential decay by which past writes count towards the current rate, in milliseconds. */
const RATE_WINDOW_MS = 2000;

/** Estimates the recent rate of events with an exponentially decaying sum. */
class DecayingRate {
  private decayedSum = 0;
  private updatedAt: number;

  constructor(private readonly clock: SteadyClock) {
    this.updatedAt = clock();
  }

  add(count: number): void {
    this.decayedSum = this.perSecond * (RATE_WINDOW_MS / 1000) + count;
    this.updatedAt = this.clock();
  }

  get perSecond(): number {
    const decay = Math.exp((this.updatedAt - this.clock()) / RATE_WINDOW_MS);
    return (this.decayedSum * decay) / (RATE_WINDOW_MS / 1000);
  }
}

/** Options of `SharedWriteRate`. */
export interface SharedWriteRateOptions {
  /** The state store's limit for all controllers together, in writes per second. */
  readonly writesPerSecond: number;
  /** The maximum number of writes in one transaction; the burst must be large enough to admit it. */
  readonly maxTransactionWrites: number;
  /** The fraction of the limit, from 0 to 1, that this controller may use before any write is observed. */
  readonly initialShare: number;
  /** The number of controllers that use the state store. */
  readonly controllers: number;
  readonly clock: SteadyClock;
}

/** Limits this controller's writes to the part of the common rate limit that the other controllers do not use. */
export class SharedWriteRate {
  private readonly limiter: RateLimiter<WritePriority>;
  private readonly totalRate: DecayingRate;
  private readonly ownRate: DecayingRate;

  constructor(private readonly options: SharedWriteRateOptions) {
    const { writesPerSecond, maxTransactionWrites, initialShare, clock } = options;
    const initialRate = writesPerSecond * initialShare;
    const burst = Math.min(writesPerSecond, Math.max(initialRate, maxTransactionWrites));
    this.limiter = new RateLimiter(initialRate, burst, clock, BURST_RESERVES);
    this.totalRate = new DecayingRate(clock);
    this.ownRate = new DecayingRate(clock);
  }

  /** Waits until `writes` writes may be sent; returns false at once if the wait would exceed `queueTimeoutMs`. */
  acquire(writes: number, priority: WritePriority, queueTimeoutMs?: number): Promise<boolean> {
    return this.limiter.acquire(writes, priority, queueTimeoutMs);
  }

  /** Counts writes that this controller is about to send. */
  recordOwnWrites(writes: number): void {
    this.ownRate.add(writes);
  }

  /**
   * Counts changes by any controller that the watch has delivered, and adapts the rate. The controllers do not get
   * equal shares, since a leader or the owner of a busy shard needs more than the others: each one may use the rate
   * that the others leave.
   */
  recordObservedWrites(changes: number): void {
    this.totalRate.add(changes);
    const { writesPerSecond, controllers } = this.options;
    const othersPerSecond = Math.max(0, this.totalRate.perSecond - this.ownRate.perSecond);
    this.limiter.rate = Math.max(
      (MIN_RATE_SHARE * writesPerSecond) / controllers,
      writesPerSecond - othersPerSecond,
    );
  }
}
