/**
 * A rate limiter for requests of several priorities: a token bucket with one queue per priority. Requests of higher
 * priority are admitted first, and those of lower priority leave a reserve of tokens for them, so that no request waits
 * for one of lower priority. A request that would have to wait longer than its queue timeout is refused immediately.
 */
import type { SteadyClock } from "./clock.js";

/** A deficit of at most this many tokens is treated as a rounding error. */
const TOKEN_EPSILON = 1e-6;

/** A priority, and the fraction of the burst, from 0 to 1, that its requests leave for those of higher priorities. */
export interface PriorityReserve<Priority extends string> {
  readonly priority: Priority;
  readonly reserve: number;
}

interface QueuedRequest {
  /** In tokens. */
  cost: number;
  admit(): void;
}

interface PriorityQueue<Priority extends string> {
  priority: Priority;
  /** Number of tokens that its requests leave in the bucket. */
  reservedTokens: number;
  requests: QueuedRequest[];
}

/** A token bucket with priorities and queue timeouts. It is full initially. */
export class RateLimiter<Priority extends string> {
  private tokens: number;
  private refilledAt: number;
  /** From the highest priority to the lowest. */
  private readonly queues: PriorityQueue<Priority>[];
  private timer: NodeJS.Timeout | null = null;

  constructor(
    private tokensPerSecond: number,
    /** Capacity of the bucket, in tokens. */
    private readonly burst: number,
    private readonly clock: SteadyClock,
    /** From the highest priority to the lowest. */
    reserves: readonly PriorityReserve<Priority>[],
  ) {
    this.tokens = burst;
    this.refilledAt = clock();
    this.queues = reserves.map(({ priority, reserve }) => ({
      priority,
      reservedTokens: reserve * burst,
      requests: [],
    }));
  }

  /** Sets the refill rate, in tokens per second. A timer that is already set for queued requests is not changed. */
  set rate(tokensPerSecond: number) {
    this.refill();
    this.tokensPerSecond = tokensPerSecond;
  }

  /** The refill rate, in tokens per second. */
  get rate(): number {
    return this.tokensPerSecond;
  }

  /**
   * Waits until the request is admitted, takes `cost` tokens and resolves to true. Resolves to false immediately if the
   * wait would exceed the queue timeout.
   */
  acquire(cost: number, priority: Priority, queueTimeoutMs = Infinity): Promise<boolean> {
    this.refill();
    const index = this.queues.findIndex((candidate) => candidate.priority === priority);
    const queue = this.queues[index]!;
    const missing = this.queuedCost(index) + this.requiredTokens(cost, queue) - this.tokens;
    if (this.refillTimeMs(missing) > queueTimeoutMs) return Promise.resolve(false);
    return new Promise((resolve) => {
      queue.requests.push({
        cost,
        admit: () => {
          resolve(true);
        },
      });
      this.drain();
    });
  }

  /**
   * The total cost of all queued requests that are admitted before a new request of the queue with index `lastIndex`.
   */
  private queuedCost(lastIndex: number): number {
    let cost = 0;
    for (const { requests } of this.queues.slice(0, lastIndex + 1))
      for (const queued of requests) cost += queued.cost;
    return cost;
  }

  /**
   * Number of tokens in the bucket at which a request is admitted. A request that costs more than the capacity is
   * admitted when the bucket is full; it leaves a deficit, which later requests wait for.
   */
  private requiredTokens(cost: number, { reservedTokens }: PriorityQueue<Priority>): number {
    return Math.min(cost + reservedTokens, this.burst);
  }

  private refillTimeMs(tokens: number): number {
    return (tokens / this.tokensPerSecond) * 1000;
  }

  /** Admits queued requests while there are enough tokens, and sets a timer for the next request. */
  private drain(): void {
    this.refill();
    for (const queue of this.queues) {
      const { requests } = queue;
      for (let next = requests[0]; next !== undefined; next = requests[0]) {
        const missing = this.requiredTokens(next.cost, queue) - this.tokens;
        // Without the tolerance, a timer could be set for a remainder that is too small to be measured.
        if (missing > TOKEN_EPSILON) {
          this.drainAfter(this.refillTimeMs(missing));
          return;
        }
        requests.shift();
        this.tokens -= next.cost;
        next.admit();
      }
    }
  }

  private drainAfter(ms: number): void {
    if (this.timer !== null) clearTimeout(this.timer);
    this.timer = setTimeout(() => {
      this.timer = null;
      this.drain();
    }, Math.ceil(ms));
  }

  private refill(): void {
    const now = this.clock();
    const elapsedS = (now - this.refilledAt) / 1000;
    this.tokens = Math.min(this.burst, this.tokens + elapsedS * this.tokensPerSecond);
    this.refilledAt = now;
  }
}
