/** Numbers of task attempts, unique over all owners of a shard. */

/** An attempt number is a fencing token and a count within its time, so that no number is given twice. */
const ATTEMPTS_PER_TOKEN = 2 ** 20;

/** Gives out the attempt numbers of one owner. */
export class AttemptNumbers {
  private usedCount = 0;

  /** A number that was never given before; `token` is the owner's current fencing token. */
  next(token: number): number {
    this.usedCount++;
    return token * ATTEMPTS_PER_TOKEN + this.usedCount;
  }

  /** Whether the numbers of the current token are nearly used up, so that the token should be advanced. */
  get isNearlyExhausted(): boolean {
    return this.usedCount >= ATTEMPTS_PER_TOKEN / 2;
  }

  /** The owner has a new token. */
  reset(): void {
    this.usedCount = 0;
  }
}
