/** Pauses. */

/** Resolves after so many milliseconds. */
export const sleep = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));

/** A random duration within a quarter of the given one, so that nodes that failed together do not retry together. */
export const jittered = (ms: number): number => ms * (0.75 + Math.random() * 0.5);
