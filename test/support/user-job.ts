/** A job from its user's side. */
/** A job as its user knows it. */
export class UserJob {
  accepted = false;
  rejectionStatus = 0;
  cancelRequested = false;
  cancelledAt: number | null = null;
  done = false;
  /** When a question was last answered. */
  lastResponseAt = -Infinity;
  /** Since when a machine has had room for one of its tasks that waits. */
  startableSince: number | null = null;
  readonly completed = new Set<string>();

  constructor(
    readonly id: string,
    readonly body: Record<string, unknown>,
  ) {}

  get hasEnded(): boolean {
    return this.done || this.cancelledAt !== null;
  }
}
