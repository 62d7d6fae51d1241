/**
 * A rate limit for requests of several priorities: a token bucket with a queue for each priority. Higher priorities go
 * first, and lower ones leave a reserve of the bucket to them, so that no request waits for less important ones. A request
 * that would wait past its queue timeout is refused at once.
 */
import type { SteadyClock } from "./clock.js";

/** Fewer missing tokens than this are a rounding error. */
const TOKEN_EPSILON = 1e-6;

/** A priority, and the part of the burst, from 0 to 1, that its requests leave to those of higher priorities. */
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
  /** How many tokens its requests leave in the bucket. */
  reservedTokens: number;
  requests: QueuedRequest[];
}

/** A token bucket with priorities and queue timeouts: it is full at first. */
export class RateLimiter<Priority extends string> {
  private tokens: number;
  private refilledAt: number;
  /** From the highest priority to the lowest. */
  private readonly queues: PriorityQueue<Priority>[];
  private timer: NodeJS.Timeout | null = null;

  constructor(
    private tokensPerSecond: number,
    /** The most tokens that the bucket holds. */
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

  /** The rate at which the bucket is filled, in tokens per second; requests in the queues keep their timers. */
  set rate(tokensPerSecond: number) {
    this.refill();
    this.tokensPerSecond = tokensPerSecond;
  }

  /** The refill rate, in units of cost per second. */
  get rate(): number {
    return this.tokensPerSecond;
  }

  /** Waits for so many tokens and takes them; false, at once, if that would take longer than the queue timeout. */
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

  /** The cost of all requests that go before a new one of the queue with this index. */
  private queuedCost(lastIndex: number): number {
    let cost = 0;
    for (const { requests } of this.queues.slice(0, lastIndex + 1))
      for (const queued of requests) cost += queued.cost;
    return cost;
  }

  /** A request that costs more than the bucket holds is admitted when the bucket is full, and later ones wait for it. */
  private requiredTokens(cost: number, { reservedTokens }: PriorityQueue<Priority>): number {
    return Math.min(cost + reservedTokens, this.burst);
  }

  private refillTimeMs(tokens: number): number {
    return (tokens / this.tokensPerSecond) * 1000;
  }

  /** Admits requests as long as there are tokens, and sets the timer for the next one. */
  private drain(): void {
    this.refill();
    for (const queue of this.queues) {
      const { requests } = queue;
      for (let next = requests[0]; next !== undefined; next = requests[0]) {
        const missing = this.requiredTokens(next.cost, queue) - this.tokens;
        // Guards against a timer for a remainder that is too small to be measured.
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
