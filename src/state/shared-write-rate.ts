/**
 * This controller's share of the state store's write rate, which all controllers use together. There is no
 * coordination: each controller sees everybody's writes in the watch and uses what the others leave.
 */
import type { SteadyClock } from "../runtime/clock.js";
import { RateLimiter, type PriorityReserve } from "../runtime/rate-limiter.js";

/**
 * The priority of a write, from the highest to the lowest: leases, ownership and commands; what users wait for; ended
 * jobs; notes about machines and completed tasks, which may be delayed without harm.
 */
export type WritePriority = "ownership" | "user" | "result" | "background";

/** The part of the burst that each priority leaves to those above it. */
const BURST_RESERVES: readonly PriorityReserve<WritePriority>[] = [
  { priority: "ownership", reserve: 0 },
  { priority: "user", reserve: 0.1 },
  { priority: "result", reserve: 0.25 },
  { priority: "background", reserve: 0.4 },
];

/** A controller may always use this part of an equal share, whatever the others seem to use. */
const MIN_RATE_SHARE = 0.7;

/** Time constant of the exponential decay with which past writes count towards the present rate, in milliseconds. */
const RATE_WINDOW_MS = 2000;

/** The rate of events over the recent past: an exponentially decaying sum. */
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

/** What a controller's share of the write rate is computed from. */
export interface SharedWriteRateOptions {
  /** The state store's limit for all controllers together, in writes per second. */
  readonly writesPerSecond: number;
  /** The most writes of one transaction: the burst must let it through. */
  readonly maxTransactionWrites: number;
  /** This controller's part of the limit before any write is observed, from 0 to 1. */
  readonly initialShare: number;
  /** How many controllers use the state store. */
  readonly controllers: number;
  readonly clock: SteadyClock;
}

/** Limits this controller's writes to what the other controllers leave of the common rate. */
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

  /** Waits until so many writes may be sent; false, at once, if that would take longer than the queue timeout. */
  acquire(writes: number, priority: WritePriority, queueTimeoutMs?: number): Promise<boolean> {
    return this.limiter.acquire(writes, priority, queueTimeoutMs);
  }

  /** Counts writes that this controller is about to send. */
  recordOwnWrites(writes: number): void {
    this.ownRate.add(writes);
  }

  /**
   * Counts changes by any controller that the watch has shown, and adapts the rate. Equal shares would fit neither a
   * leader nor a busy shard owner: a controller may use what the others leave of the limit.
   */
  recordObservedWrites(changes: number): void {
    this.totalRate.add(changes);
    const { writesPerSecond, controllers } = this.options;
    const others = Math.max(0, this.totalRate.perSecond - this.ownRate.perSecond);
    this.limiter.rate = Math.max((MIN_RATE_SHARE * writesPerSecond) / controllers, writesPerSecond - others);
  }
}
