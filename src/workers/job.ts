/** The state of a job in memory at its shard's owner: which of its tasks are completed, placed and waiting. */
import { Bitmap } from "../jobs/bitmap.js";
import type { JobRecord } from "../jobs/job-records.js";
import type { JobSpec } from "../wire/index.js";
import type { Placement } from "./placement.js";

/** Whether a job is live according to the records known here, so that its tasks may start and continue. */
export const isLive = (job: Job | undefined): job is Job => job !== undefined && !job.isTerminating;

/** A live job, or an ended job with tasks still on machines. */
export class Job {
  // Tasks: changed only by this class, except for `interruptedTasks`.

  /** The completed tasks, by task number. */
  readonly done: Bitmap;
  /** The completed tasks that are recorded in the state store; the others are yet to be written. */
  readonly durablyDone: Bitmap;
  /** Attempts that may still be on a machine, by task number. */
  readonly activeAttempts = new Map<number, Placement>();
  /** Tasks of which an earlier attempt was stopped or lost, by task number; added to when an attempt is released. */
  readonly interruptedTasks = new Set<number>();
  /** The number of active attempts in each zone; maintained so that no heartbeat has to count them. */
  private readonly activeCountByZone = new Map<string, number>();
  /** The number of active attempts whose task is not completed; maintained so that no heartbeat has to count them. */
  private activeUndoneCount = 0;
  /** Every task below this number is completed or placed; no other task is skipped in a search for waiting ones. */
  private firstWaitingHint = 0;

  // Life cycle: written by the shard.

  /** Whether the job has ended: its tasks are stopped, and the job is removed once none is left on a machine. */
  isTerminating = false;
  /** Whether the job is being moved to another shard: none of its tasks starts meanwhile. */
  isMigrating = false;
  /** Steady time in milliseconds before which no task of this job starts; also written by the failure tracker. */
  notBefore = -Infinity;

  // Failures: written by the shard's failure tracker.

  /** When a task of this job last failed on a machine, in steady time in milliseconds, by host. */
  readonly lastFailedAtByHost = new Map<string, number>();
  /** Set once it has failed on several machines, until a task succeeds: only one of its tasks runs at a time. */
  isSuspectedFaulty = false;
  /** The number of backoffs so far; each follows failures on several machines. */
  backoffCount = 0;

  /** The tasks that ran from start to end under this owner, and their total run time; written by the speed tracker. */
  readonly completedRuns = { count: 0, totalMs: 0 };

  constructor(
    readonly spec: JobSpec,
    /** Wall-clock time in milliseconds. */
    readonly acceptedAt: number,
    /** The version of the job's record; distinguishes jobs accepted in this owner's term from older ones. */
    readonly version: number,
    /** How many of its tasks may run in parallel if another shard enforces its team's quota; Infinity otherwise. */
    readonly maxParallelTasks = Infinity,
    /** Whether the job has migrated here from its team's shard. */
    readonly migratedIn = false,
  ) {
    this.done = new Bitmap(spec.tasks);
    this.durablyDone = new Bitmap(spec.tasks);
  }

  /** Creates a job from its record, without completed or placed tasks; `version` is the record's version. */
  static fromRecord(record: JobRecord, version: number): Job {
    const { spec, acceptedAt, maxParallelTasks, migratedIn } = record;
    return new Job(spec, acceptedAt, version, maxParallelTasks ?? Infinity, migratedIn);
  }

  /** The number of tasks that are neither completed nor placed; 0 for a job that has ended. */
  get waitingCount(): number {
    return this.isTerminating ? 0 : this.spec.tasks - this.done.count - this.activeUndoneCount;
  }

  /** The number of tasks that the job's own limits allow to start now. */
  get startableTasks(): number {
    return Math.min(this.waitingCount, this.maxParallelTasks - this.activeAttempts.size);
  }

  /** Whether any of its tasks is known to have ever been placed. */
  get hasStarted(): boolean {
    return this.done.count > 0 || this.activeAttempts.size > 0 || this.interruptedTasks.size > 0;
  }

  /** Adds an attempt; it replaces an earlier attempt of the same task. */
  attach(placement: Placement): void {
    const former = this.activeAttempts.get(placement.index);
    if (former === undefined && !this.done.has(placement.index)) this.activeUndoneCount++;
    if (former !== undefined) this.countInZone(former, -1);
    this.activeAttempts.set(placement.index, placement);
    this.countInZone(placement, 1);
  }

  /** Removes an attempt, unless another attempt has replaced it. */
  detach(placement: Placement): void {
    if (this.activeAttempts.get(placement.index) !== placement) return;
    this.activeAttempts.delete(placement.index);
    this.countInZone(placement, -1);
    if (this.done.has(placement.index)) return;
    this.activeUndoneCount--;
    this.firstWaitingHint = Math.min(this.firstWaitingHint, placement.index);
  }

  /** The number of tasks in each zone that has any, including every attempt that is not proven gone. */
  get tasksByZone(): ReadonlyMap<string, number> {
    return this.activeCountByZone;
  }

  private countInZone({ machine }: Placement, change: 1 | -1): void {
    const { zone } = machine.record;
    const count = (this.activeCountByZone.get(zone) ?? 0) + change;
    if (count > 0) this.activeCountByZone.set(zone, count);
    else this.activeCountByZone.delete(zone);
  }

  /** Marks a task as completed. Returns false if it was already, or if the job has no such task. */
  markDone(index: number): boolean {
    if (!this.done.add(index)) return false;
    if (this.activeAttempts.has(index)) this.activeUndoneCount--;
    return true;
  }

  /** Merges an encoded chunk of completed tasks, as read from the records. */
  mergeDone(chunk: number, bits: string): void {
    this.done.mergeChunk(chunk, bits);
    this.durablyDone.mergeChunk(chunk, bits);
    this.activeUndoneCount = 0;
    for (const index of this.activeAttempts.keys()) if (!this.done.has(index)) this.activeUndoneCount++;
  }

  /**
   * The waiting task numbers in ascending order. A caller that takes many tasks must take them from one generator: each
   * new one begins at the lowest waiting task.
   */
  *waitingTasks(): Generator<number, void> {
    while (this.firstWaitingHint < this.spec.tasks && !this.isWaiting(this.firstWaitingHint))
      this.firstWaitingHint++;
    for (let index = this.firstWaitingHint; index < this.spec.tasks; index++)
      if (this.isWaiting(index)) yield index;
  }

  private isWaiting(index: number): boolean {
    return !this.done.has(index) && !this.activeAttempts.has(index);
  }

  /** The number of tasks that run or save their progress. */
  get runningCount(): number {
    let count = 0;
    for (const { state } of this.activeAttempts.values())
      if (state === "running" || state === "saving") count++;
    return count;
  }
}
