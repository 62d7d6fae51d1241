/** The state of a job as its simulated user knows it. */

/** One submitted job and what its user has been told of it. Instants are simulated time in milliseconds. */
export class UserJob {
  isAccepted = false;
  /** The HTTP status with which the submission was rejected for good; 0 if it was not. */
  rejectionStatus = 0;
  isCancelRequested = false;
  cancelledAt: number | null = null;
  isDone = false;
  /** When a request about the job last got a response. */
  lastResponseAt = -Infinity;
  /** Since when a machine has had free capacity for one of its waiting tasks; null while none has. */
  startableSince: number | null = null;
  readonly completedTasks = new Set<string>();

  constructor(
    readonly id: string,
    readonly body: Record<string, unknown>,
  ) {}

  get hasEnded(): boolean {
    return this.isDone || this.cancelledAt !== null;
  }
}
