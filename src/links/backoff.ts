/** Waits between moves for the same cause, each longer than the last up to a bound: no shard goes to and fro. */

/** Timings of a back-off, in milliseconds. */
export interface BackoffTimings {
  initialMs: number;
  maxMs: number;
}

interface Attempt {
  attemptedAt: number;
  waitMs: number;
}

/** Remembers, per key, when it may be tried again. A key that was left alone for twice its wait starts afresh. */
export class Backoff<Key> {
  private readonly attempts = new Map<Key, Attempt>();

  constructor(private readonly timings: BackoffTimings) {}

  /** Whether the wait since the last attempt is over. */
  canAttempt(key: Key, now: number): boolean {
    const last = this.attempts.get(key);
    return last === undefined || now - last.attemptedAt >= last.waitMs;
  }

  /** Notes an attempt, after which the next waits longer. */
  recordAttempt(key: Key, now: number): void {
    const last = this.attempts.get(key);
    const { initialMs, maxMs } = this.timings;
    const hasExpired = last === undefined || now - last.attemptedAt >= 2 * last.waitMs + initialMs;
    this.attempts.set(key, {
      attemptedAt: now,
      waitMs: hasExpired ? initialMs : Math.min(maxMs, 2 * last.waitMs),
    });
  }
}
