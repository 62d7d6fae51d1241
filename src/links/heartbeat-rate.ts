/** Whether workers report as often as they do while they are answered. */

/** A worker that gets no answer waits for its time-out and tries others first: it comes back at a fraction of the rate. */
const SPARSE_FRACTION = 0.5;
/** Reports are counted over so many of their intervals. */
const WINDOW_HEARTBEAT_INTERVALS = 3;

/** Counts the reports of all workers that are expected here, over windows of time. */
export class HeartbeatRate {
  private count = 0;
  private windowStart = -Infinity;
  /** Whether the last whole window had far fewer reports than its workers send. */
  isSparse = false;

  constructor(private readonly heartbeatIntervalMs: number) {}

  /** A report came. */
  record(): void {
    this.count++;
  }

  /** Counts anew from now on. */
  reset(now: number): void {
    this.count = 0;
    this.isSparse = false;
    this.windowStart = now;
  }

  /** To be called at every tick, with the number of workers that should report. */
  update(now: number, workerCount: number): void {
    const windowMs = now - this.windowStart;
    if (windowMs < WINDOW_HEARTBEAT_INTERVALS * this.heartbeatIntervalMs) return;
    const expected = (workerCount * windowMs) / this.heartbeatIntervalMs;
    // Before the first window nothing has been counted.
    this.isSparse = Number.isFinite(expected) && this.count < SPARSE_FRACTION * expected;
    this.count = 0;
    this.windowStart = now;
  }
}
