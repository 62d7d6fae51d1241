/** A job as the owner of its shard knows it: which of its tasks are done, placed and waiting. */
import { Bitmap } from "../jobs/bitmap.js";
import type { JobRecord } from "../jobs/job-records.js";
import type { JobSpec } from "../wire/index.js";
import type { Placement } from "./placement.js";

/** Whether a job's tasks may go on, as far as its record is known. */
export const isLive = (job: Job | undefined): job is Job => job !== undefined && !job.isTerminating;

/** A live job, or an ended one of which tasks are still on machines. */
export class Job {
  // Tasks: changed by this class alone, but for `interruptedTasks`.

  /** The tasks that are completed, by number. */
  readonly done: Bitmap;
  /** Those of them that the state store holds; the rest has yet to be written. */
  readonly durablyDone: Bitmap;
  /** Attempts that are not proven gone, by the number of the task. */
  readonly activeAttempts = new Map<number, Placement>();
  /** Tasks whose last attempt was stopped or lost; written when an attempt is released. */
  readonly interruptedTasks = new Set<number>();
  /** How many of the active tasks are not done by another attempt; kept, so that no heartbeat counts them. */
  private activeUndoneCount = 0;
  /** Every task below this number is done. */
  private firstUndoneHint = 0;

  // Life cycle: written by the shard.

  /** Cancelled or over: its tasks are stopped, and the job is dropped when none is left. */
  isTerminating = false;
  /** Being moved to another shard: nothing of it starts meanwhile. */
  isMigrating = false;
  /** Steady time in milliseconds before which nothing of this job starts; also written by the failure tracker. */
  notBefore = -Infinity;

  // Failures: written by the shard's failure tracker.

  /** Machines on which a task of this job failed, by host, and when, in steady time in milliseconds. */
  readonly lastFailedAtByHost = new Map<string, number>();
  /** Set once it has failed on several machines, until a task ends well: it is tried with one task at a time. */
  isSuspectedFaulty = false;
  /** How often it was found to fail wherever it runs. */
  backOffCount = 0;

  /** How many tasks have run from start to end under this owner, and for how long in all; by the speed tracker. */
  readonly completedRuns = { count: 0, totalMs: 0 };

  constructor(
    readonly spec: JobSpec,
    /** Time of day in milliseconds. */
    readonly acceptedAt: number,
    /** The version of the job's record: tells jobs of this owner's term from older ones. */
    readonly version: number,
    /** How many of its tasks may run at a time, where another shard keeps its team's quota; Infinity elsewhere. */
    readonly maxParallelTasks = Infinity,
    /** Whether it has migrated here from the shard that its team belongs to. */
    readonly migratedIn = false,
  ) {
    this.done = new Bitmap(spec.tasks);
    this.durablyDone = new Bitmap(spec.tasks);
  }

  /** The job of a record, with no task done or placed yet; `version` is that of the record. */
  static fromRecord(record: JobRecord, version: number): Job {
    const { spec, acceptedAt, maxParallelTasks, migratedIn } = record;
    return new Job(spec, acceptedAt, version, maxParallelTasks ?? Infinity, migratedIn);
  }

  /** How many tasks are neither done nor placed. */
  get waitingCount(): number {
    return this.isTerminating ? 0 : this.spec.tasks - this.done.count - this.activeUndoneCount;
  }

  /** How many of its tasks may start now, as far as the job itself is concerned. */
  get startableTasks(): number {
    return Math.min(this.waitingCount, this.maxParallelTasks - this.activeAttempts.size);
  }

  /** Whether any of its tasks has ever been placed, as far as is known. */
  get hasStarted(): boolean {
    return this.done.count > 0 || this.activeAttempts.size > 0 || this.interruptedTasks.size > 0;
  }

  /** Records an attempt; it replaces an earlier one of the same task. */
  attach(placement: Placement): void {
    const former = this.activeAttempts.get(placement.index);
    if (former === undefined && !this.done.has(placement.index)) this.activeUndoneCount++;
    this.activeAttempts.set(placement.index, placement);
  }

  /** Removes an attempt, unless another one has replaced it. */
  detach(placement: Placement): void {
    if (this.activeAttempts.get(placement.index) !== placement) return;
    this.activeAttempts.delete(placement.index);
    if (!this.done.has(placement.index)) this.activeUndoneCount--;
  }

  /** Records that a task is completed. Returns false if that was known. */
  markDone(index: number): boolean {
    if (!this.done.add(index)) return false;
    if (this.activeAttempts.has(index)) this.activeUndoneCount--;
    return true;
  }

  /** Merges a chunk of the completed tasks, as the records hold it. */
  mergeDone(chunk: number, bits: string): void {
    this.done.mergeChunk(chunk, bits);
    this.durablyDone.mergeChunk(chunk, bits);
    this.activeUndoneCount = 0;
    for (const index of this.activeAttempts.keys()) if (!this.done.has(index)) this.activeUndoneCount++;
  }

  /** The lowest waiting task; null if none waits. Done tasks stay done, so the scan need not go back behind them. */
  nextWaitingTask(): number | null {
    while (this.firstUndoneHint < this.spec.tasks && this.done.has(this.firstUndoneHint))
      this.firstUndoneHint++;
    for (let i = this.firstUndoneHint; i < this.spec.tasks; i++)
      if (!this.done.has(i) && !this.activeAttempts.has(i)) return i;
    return null;
  }

  /** How many tasks run or save their progress. */
  get runningCount(): number {
    let count = 0;
    for (const { state } of this.activeAttempts.values())
      if (state === "running" || state === "saving") count++;
    return count;
  }
}
