/** What an owner knows of its shard: jobs, machines, and which task is where. */
import { Bitmap } from "../jobs/bitmap.js";
import type { JobRecord } from "../jobs/job-records.js";
import type { MachineRecord } from "./machine-records.js";
import type { JobSpec, TaskStatus } from "../wire/index.js";

/** One attempt of a task on a machine. */
export interface Placement {
  job: Job;
  index: number;
  attempt: number;
  machine: Machine;
  /** `assigned`: chosen here, not yet seen in a report. */
  state: "assigned" | "fetching" | "running" | "saving";
  stateSince: number;
  /** Whether an earlier attempt of this task was stopped, so that this one may go on from its checkpoint. */
  resumed: boolean;
  /** Answers with this start that the machine's next report showed no trace of. */
  missedHeartbeats: number;
  /** Set once it has been decided to stop this attempt: why, and how long it may take to save. */
  stop: { why: "preempt" | "drain"; graceS: number } | null;
}

/** An attempt that has been chosen and not yet seen in a heartbeat; `now` is steady time in milliseconds. */
export function newPlacement(
  job: Job,
  index: number,
  attempt: number,
  machine: Machine,
  now: number,
): Placement {
  return {
    job,
    index,
    attempt,
    machine,
    state: "assigned",
    stateSince: now,
    stop: null,
    resumed: job.interruptedTasks.has(index),
    missedHeartbeats: 0,
  };
}

/** A live job as its owner knows it. */
export class Job {
  readonly done: Bitmap;
  /** What the state service holds; the rest of `done` has yet to be written. */
  readonly durable: Bitmap;
  readonly active = new Map<number, Placement>();
  /** How many of the active tasks are not done by another attempt; kept, so that nobody counts on every report. */
  private activeUndone = 0;
  /** Cancelled or over: its tasks are stopped, and it goes when none is left. */
  terminating = false;
  /** Machines on which a task of this job failed, and when. */
  readonly failedOn = new Map<string, number>();
  /** Set once it has failed on several machines, until a task ends well: it is tried with one task at a time. */
  suspectedFaulty = false;
  /** How often it was found to fail wherever it runs. */
  backOffCount = 0;
  /** How many of its tasks have run from start to end under this owner, and for how long together. */
  readonly completedRuns = { count: 0, totalMs: 0 };
  /** Tasks whose last attempt was stopped or lost. */
  readonly interruptedTasks = new Set<number>();
  /** Being passed to another shard: nothing of it starts meanwhile. */
  migrating = false;
  /** Steady time before which nothing of this job starts. */
  notBefore = -Infinity;
  private firstUndoneHint = 0;

  constructor(
    readonly spec: JobSpec,
    readonly acceptedAt: number,
    /** The version of the job's record: tells jobs of this owner's term from older ones. */
    readonly version: number,
    /** How many of its tasks may run at a time, where another shard keeps its team's limit. */
    readonly maxParallelTasks = Infinity,
    /** Whether it has passed here from the shard that its team belongs to. */
    readonly migratedIn = false,
  ) {
    this.done = new Bitmap(spec.tasks);
    this.durable = new Bitmap(spec.tasks);
  }

  static fromRecord(record: JobRecord, version: number): Job {
    const { spec, acceptedAt, maxParallelTasks, migratedIn } = record;
    return new Job(spec, acceptedAt, version, maxParallelTasks ?? Infinity, migratedIn);
  }

  get waiting(): number {
    return this.terminating ? 0 : this.spec.tasks - this.done.count - this.activeUndone;
  }

  /** How many of its tasks may start now, as far as the job itself goes. */
  get startableTasks(): number {
    return Math.min(this.waiting, this.maxParallelTasks - this.active.size);
  }

  /** Whether any of its tasks has ever been placed, as far as is known. */
  get hasStarted(): boolean {
    return this.done.count > 0 || this.active.size > 0 || this.interruptedTasks.size > 0;
  }

  attach(placement: Placement): void {
    const former = this.active.get(placement.index);
    if (former === undefined && !this.done.has(placement.index)) this.activeUndone++;
    this.active.set(placement.index, placement);
  }

  detach(placement: Placement): void {
    if (this.active.get(placement.index) !== placement) return;
    this.active.delete(placement.index);
    if (!this.done.has(placement.index)) this.activeUndone--;
  }

  /** False if that was known. */
  markDone(index: number): boolean {
    if (!this.done.add(index)) return false;
    if (this.active.has(index)) this.activeUndone--;
    return true;
  }

  /** Takes in what the records hold of the completed tasks. */
  mergeDone(chunk: number, bits: string): void {
    this.done.mergeChunk(chunk, bits);
    this.durable.mergeChunk(chunk, bits);
    this.activeUndone = 0;
    for (const index of this.active.keys()) if (!this.done.has(index)) this.activeUndone++;
  }

  /** The lowest waiting task. Done tasks stay done, so the scan need not go back behind them. */
  nextWaiting(): number | null {
    while (this.firstUndoneHint < this.spec.tasks && this.done.has(this.firstUndoneHint))
      this.firstUndoneHint++;
    for (let i = this.firstUndoneHint; i < this.spec.tasks; i++)
      if (!this.done.has(i) && !this.active.has(i)) return i;
    return null;
  }

  get runningCount(): number {
    let n = 0;
    for (const p of this.active.values()) if (p.state === "running" || p.state === "saving") n++;
    return n;
  }
}

/** A machine of the shard as its owner knows it. */
export class Machine {
  readonly placements = new Set<Placement>();
  /** Tasks reported that belong to no job we know: they are being stopped, and may be anybody's. */
  orphanTasks = new Set<string>();
  /** Whether a report has shown that the worker follows this owner's term. */
  followsTerm = false;
  /** Whether an earlier owner may have tasks on it that no report has shown us yet. */
  unreconciled = false;
  epoch = 0;
  sequence = 0;
  /** When the first report of the session came in, and when the last answers in it went out. */
  epochSince = -Infinity;
  readonly responseTimes: number[] = [];
  /** Since when our answers have been found not to arrive. */
  responsesLostSince: number | null = null;
  /** When it first spoke in this term. */
  firstHeartbeatAt: number | null = null;
  /** When the last report came in whose answer may have renewed the worker's lease. */
  lastHeartbeatAt: number | null = null;
  interruptionNoticeS: number | null = null;
  /** Since when it has been empty, and in how many reports in a row. */
  emptySince: number | null = null;
  emptyHeartbeats = 0;
  leaseExpiredAt: number | null = null;
  /** Jobs that failed here since a task last ended well. */
  readonly failedJobs = new Set<string>();
  quarantined = false;
  /** How long tasks run here beside others of their jobs: 1 is as long; and how many were compared. */
  relativeRunTime = 1;
  comparedTasks = 0;
  /** Whether tasks take much longer here than elsewhere: it is filled last. */
  slow = false;
  notBefore = -Infinity;
  readonly images = new Set<string>();
  /** What the last report said, for tests and for the checks of a drain. */
  reportedTasks: TaskStatus[] = [];
  /** Being passed to another shard or drained: nothing new may be placed here. */
  removalPending = false;
  /** Running empty for another shard: nothing new is placed here meanwhile. */
  cordoned = false;
  private usedTotal = { cpus: 0, gpus: 0, memoryGb: 0 };

  constructor(
    readonly host: string,
    public record: MachineRecord,
    readonly addedAt: number,
  ) {}

  get up(): boolean {
    return this.followsTerm && this.leaseExpiredAt === null;
  }

  /** A session has ended since answers were found not to arrive: what ran here is gone, and nothing new will. */
  get responsesLost(): boolean {
    return this.responsesLostSince !== null && this.epochSince >= this.responsesLostSince;
  }

  /** Whether new tasks may be placed here. */
  get schedulable(): boolean {
    return this.healthy && !this.cordoned;
  }

  /** Whether it is up, on record as such, hears its owner and is not about to go. */
  get healthy(): boolean {
    return (
      this.up &&
      this.record.hasReported &&
      !this.removalPending &&
      !this.record.draining &&
      !this.quarantined &&
      this.responsesLostSince === null &&
      this.interruptionNoticeS === null
    );
  }

  get empty(): boolean {
    return this.placements.size === 0 && this.orphanTasks.size === 0 && this.reportedTasks.length === 0;
  }

  /** What its tasks take together; kept, so that nobody adds it up on every report. */
  usedResources(): Readonly<{ cpus: number; gpus: number; memoryGb: number }> {
    return this.usedTotal;
  }

  attach(placement: Placement): void {
    if (this.placements.has(placement)) return;
    this.placements.add(placement);
    this.add(placement, 1);
  }

  detach(placement: Placement): void {
    if (!this.placements.delete(placement)) return;
    // Sums of fractions drift; an empty machine is exactly empty.
    if (this.placements.size === 0) this.usedTotal = { cpus: 0, gpus: 0, memoryGb: 0 };
    else this.add(placement, -1);
  }

  private add({ job }: Placement, sign: 1 | -1): void {
    this.usedTotal.cpus += sign * job.spec.cpus;
    this.usedTotal.gpus += sign * job.spec.gpus;
    this.usedTotal.memoryGb += sign * job.spec.memoryGb;
  }
}

/** A task is on a machine, or on its way there, from now on. */
export function attach(placement: Placement): void {
  placement.job.attach(placement);
  placement.machine.attach(placement);
}
