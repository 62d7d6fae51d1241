/**
 * The steady (monotonic) clock, which measures all timeouts, leases and ages; wall-clock time is only used for times
 * that users see.
 */

/**
 * Returns the milliseconds since a fixed point in time. It never decreases and is unaffected by changes of the wall
 * clock.
 */
export type SteadyClock = () => number;

/** The steady clock of this process. */
export const steadyClock: SteadyClock = () => performance.now();
