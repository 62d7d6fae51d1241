/** The steady clock, in milliseconds. All waiting and all proofs use it; the time of day is only for people. */
export type SteadyClock = () => number;

export const steadyClock: SteadyClock = () => performance.now();
