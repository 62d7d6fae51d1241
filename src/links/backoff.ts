/** Exponential backoff per key. It keeps a shard from moving back and forth for the same cause. */

/** Durations of a backoff, in milliseconds. */
export interface BackoffTimings {
  initialMs: number;
  maxMs: number;
}

interface Attempt {
  attemptedAt: number;
  waitMs: number;
}

/**
 * Tracks per key when the next attempt is allowed. Each attempt doubles the wait up to `maxMs`; a key without an
 * attempt for twice its wait plus `initialMs` starts again at `initialMs`.
 */
export class Backoff<Key> {
  private readonly attempts = new Map<Key, Attempt>();

  constructor(private readonly timings: BackoffTimings) {}

  /** Whether the wait after the last attempt is over. */
  canAttempt(key: Key, now: number): boolean {
    const last = this.attempts.get(key);
    return last === undefined || now - last.attemptedAt >= last.waitMs;
  }

  /** Records an attempt and doubles the wait before the next one. */
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
