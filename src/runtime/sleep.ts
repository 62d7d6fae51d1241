/** Delays and their jitter. */

/** Resolves after `ms` milliseconds. */
export const sleep = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));

/** Varies a duration randomly by up to 25% either way, so that nodes that failed together do not retry together. */
export const jittered = (ms: number): number => ms * (0.75 + Math.random() * 0.5);
