/** Waits for so many milliseconds. */
export const sleep = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));

/** `ms`, give or take a quarter, so that nodes that failed together do not try again together. */
export const jittered = (ms: number): number => ms * (0.75 + Math.random() * 0.5);
