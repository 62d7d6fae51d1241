/** Waits between moves for the same cause, each longer than the last up to a bound: no shard goes to and fro. */

/** Timings of a back-off, in milliseconds. */
export interface BackoffTimings {
  firstMs: number;
  boundMs: number;
}

interface Attempt {
  at: number;
  waitMs: number;
}

/** Remembers, per key, when it may be tried again. A key that was left alone for twice its wait starts afresh. */
export class Backoff<Key> {
  private readonly attempts = new Map<Key, Attempt>();

  constructor(private readonly timings: BackoffTimings) {}

  /** Whether the wait since the last attempt is over. */
  mayTry(key: Key, now: number): boolean {
    const last = this.attempts.get(key);
    return last === undefined || now - last.at >= last.waitMs;
  }

  /** Notes an attempt, after which the next waits longer. */
  recordAttempt(key: Key, now: number): void {
    const last = this.attempts.get(key);
    const { firstMs, boundMs } = this.timings;
    const lapsed = last === undefined || now - last.at >= 2 * last.waitMs + firstMs;
    this.attempts.set(key, { at: now, waitMs: lapsed ? firstMs : Math.min(boundMs, 2 * last.waitMs) });
  }
}
