/** A job from its user's side. */
/** A job as its user knows it. */
export class UserJob {
  accepted = false;
  refusedWith = 0;
  cancelAsked = false;
  cancelledAt: number | null = null;
  done = false;
  /** When a question was last answered. */
  answeredAt = -Infinity;
  /** Since when a machine has had room for one of its tasks that waits. */
  besideRoomSince: number | null = null;
  readonly completed = new Set<string>();

  constructor(
    readonly id: string,
    readonly body: Record<string, unknown>,
  ) {}

  get over(): boolean {
    return this.done || this.cancelledAt !== null;
  }
}
