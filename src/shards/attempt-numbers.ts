/** Task attempt numbers, unique across all owners of a shard. */

/**
 * Attempt numbers per fencing token. A number combines the token with a counter that restarts with each token, so that
 * no number is assigned twice.
 */
const ATTEMPTS_PER_TOKEN = 2 ** 20;

/** Assigns the attempt numbers of one owner. */
export class AttemptNumbers {
  private usedCount = 0;

  /** Returns a number that was never assigned before; `token` is the owner's current fencing token. */
  next(token: number): number {
    this.usedCount++;
    return token * ATTEMPTS_PER_TOKEN + this.usedCount;
  }

  /** Whether half of the current token's numbers are used up, so that the token should be advanced. */
  get isNearlyExhausted(): boolean {
    return this.usedCount >= ATTEMPTS_PER_TOKEN / 2;
  }

  /** Restarts the counter for a new token. */
  reset(): void {
    this.usedCount = 0;
  }
}
