/** Detects that workers send heartbeats much less often than workers that receive responses do. */

/**
 * The fraction of the expected heartbeats below which the rate is too low. A worker without a response waits for its
 * timeout and tries the other controllers first, so it returns at a fraction of the normal rate.
 */
const SPARSE_FRACTION = 0.5;
/** The length of the counting window, in heartbeat intervals. */
const WINDOW_HEARTBEAT_INTERVALS = 3;

/** Counts heartbeats of all workers that this controller expects, in consecutive windows. */
export class HeartbeatRate {
  private count = 0;
  private windowStart = -Infinity;
  /** Whether the last complete window had less than `SPARSE_FRACTION` of the expected heartbeats. */
  isSparse = false;

  constructor(private readonly heartbeatIntervalMs: number) {}

  /** Counts a heartbeat. */
  record(): void {
    this.count++;
  }

  /** Starts a new window and discards the result of the last one. */
  reset(now: number): void {
    this.count = 0;
    this.isSparse = false;
    this.windowStart = now;
  }

  /** Evaluates the window once it is complete. Call at every tick with the number of expected workers. */
  update(now: number, workerCount: number): void {
    const windowMs = now - this.windowStart;
    if (windowMs < WINDOW_HEARTBEAT_INTERVALS * this.heartbeatIntervalMs) return;
    const expected = (workerCount * windowMs) / this.heartbeatIntervalMs;
    // Not finite before the first window, in which nothing has been counted yet.
    this.isSparse = Number.isFinite(expected) && this.count < SPARSE_FRACTION * expected;
    this.count = 0;
    this.windowStart = now;
  }
}
