/**
 * A rate for several kinds of work: a token bucket with a rank for each kind. Higher ranks go first and lower
 * ones leave a part of the bucket to them, so that none is kept waiting by what matters less. whoever would wait past
 * its queue timeout is told at once.
 */
import type { SteadyClock } from "./clock.js";

interface Waiting {
  cost: number;
  go(): void;
}

/** A token bucket with priorities and queue timeouts. */
export class RateLimiter<R extends string> {
  private level: number;
  private updatedAt: number;
  private readonly queues: { rank: R; reserve: number; waiting: Waiting[] }[];
  private timer: NodeJS.Timeout | null = null;

  constructor(
    private perSecond: number,
    private readonly burst: number,
    private readonly clock: SteadyClock,
    /** From the highest rank down: the part of the burst that each leaves to those above. */
    reserves: [R, number][],
  ) {
    this.level = burst;
    this.updatedAt = clock();
    this.queues = reserves.map(([rank, part]) => ({ rank, reserve: part * burst, waiting: [] }));
  }

  set rate(perSecond: number) {
    this.refill();
    this.perSecond = perSecond;
  }

  get rate(): number {
    return this.perSecond;
  }

  /** False, at once, where it would take longer than the queue timeout. */
  acquire(cost: number, rank: R, queueTimeoutMs = Infinity): Promise<boolean> {
    this.refill();
    const own = this.queues.findIndex((q) => q.rank === rank);
    const queue = this.queues[own]!;
    let ahead = 0;
    for (const { waiting } of this.queues.slice(0, own + 1)) for (const w of waiting) ahead += w.cost;
    const missing = ahead + this.needed(cost, queue.reserve) - this.level;
    if ((missing / this.perSecond) * 1000 > queueTimeoutMs) return Promise.resolve(false);
    return new Promise((resolve) => {
      queue.waiting.push({
        cost,
        go: () => {
          resolve(true);
        },
      });
      this.drain();
    });
  }

  /** A call that costs more than the bucket holds goes out when it is full, and later ones wait for it. */
  private needed(cost: number, reserve: number): number {
    return Math.min(cost + reserve, this.burst);
  }

  private drain(): void {
    this.refill();
    for (const { reserve, waiting } of this.queues) {
      for (let next = waiting[0]; next !== undefined; next = waiting[0]) {
        const missing = this.needed(next.cost, reserve) - this.level;
        // Guards against waking for a remainder too small to be measured.
        if (missing > 1e-6) {
          this.wakeIn((missing / this.perSecond) * 1000);
          return;
        }
        waiting.shift();
        this.level -= next.cost;
        next.go();
      }
    }
  }

  private wakeIn(ms: number): void {
    if (this.timer !== null) clearTimeout(this.timer);
    this.timer = setTimeout(() => {
      this.timer = null;
      this.drain();
    }, Math.ceil(ms));
  }

  private refill(): void {
    const now = this.clock();
    this.level = Math.min(this.burst, this.level + ((now - this.updatedAt) / 1000) * this.perSecond);
    this.updatedAt = now;
  }
}
