/** The steady clock, which all timeouts, leases and ages are measured with; the time of day is only for people. */

/** Returns the milliseconds since some fixed moment. It never goes back, and setting the time of day does not change it. */
export type SteadyClock = () => number;

/** The steady clock of this process. */
export const steadyClock: SteadyClock = () => performance.now();
