/** Tracks the completed tasks of one shard until they are durable, and builds the writes that record them. */
import { CHUNK_TASKS } from "../jobs/bitmap.js";
import { ProgressPages } from "../jobs/progress-pages.js";
import type { Logger } from "../runtime/log.js";
import { keys } from "../state/keys.js";
import type { Condition, Write } from "../wire/index.js";
import type { Job } from "../workers/job.js";

/** Completed work to be written, with callbacks for the outcome of the write. */
export interface Completion {
  conditions: Condition[];
  writes: Write[];
  /** Called once the writes are durable. */
  onDurable(): void;
  /** Called if the job's record no longer exists because the job was cancelled first. */
  onJobRecordMissing(): void;
  /** The job whose record the conditions check; null if there are no conditions. */
  job: string | null;
}

/** Completed tasks of one job, written as an entry of a shared page. */
interface PageEntry {
  job: Job;
  /** Completed tasks that are not durable yet; may grow while the page is being written. */
  indexes: Set<number>;
  written: number[];
}

const chunkIndexOf = (index: number): number => Math.floor(index / CHUNK_TASKS);

const isFinished = (job: Job): boolean => job.done.count === job.spec.tasks;

/**
 * Collects completed tasks and turns them into writes: the completion of finished jobs, and the progress of running
 * ones.
 */
export class CompletionLog {
  /** Completed tasks that are not durable yet, by job. */
  private readonly unwritten = new Map<Job, Set<number>>();
  /** Keys of obsolete records, removed when a transaction has spare writes. */
  private readonly staleKeys = new Set<string>();
  private readonly progress: ProgressPages;

  constructor(
    private readonly shard: number,
    valueBytes: number,
    private readonly log: Logger,
    /** Ends a job whose record no longer exists. */
    private readonly endJob: (id: string) => void,
  ) {
    this.progress = new ProgressPages(valueBytes);
  }

  /** Records a completed task. */
  add(job: Job, index: number): void {
    const indexes = this.unwritten.get(job);
    if (indexes) indexes.add(index);
    else this.unwritten.set(job, new Set([index]));
  }

  /**
   * Drops a job whose record no longer exists: nothing more is written for it, and its progress records are removed
   * later.
   */
  removeJob(job: Job): void {
    const { id, tasks } = job.spec;
    this.unwritten.delete(job);
    this.progress.remove(id);
    if (job.durablyDone.count === 0 || this.progress.canSharePage(tasks)) return;
    for (let chunk = 0; chunk * CHUNK_TASKS < tasks; chunk++)
      this.staleKeys.add(keys.completedTasksChunk(id, chunk));
  }

  /** Schedules an obsolete record for removal when a transaction has spare writes. */
  scheduleRemoval(key: string): void {
    this.staleKeys.add(key);
  }

  /**
   * Loads a job's entry of a page that an earlier owner has written; `bits` is its bitmap of completed tasks in base64.
   */
  loadPageEntry(page: number, id: string, bits: string): void {
    this.progress.load(page, { [id]: bits });
  }

  /**
   * Builds completions for the jobs whose last task has completed and that may be written as done, with at most
   * `maxWrites` writes in total.
   */
  finishedJobs(maxWrites: number, canComplete: (job: Job) => boolean): Completion[] {
    const completions: Completion[] = [];
    let remainingWrites = maxWrites;
    for (const job of this.unwritten.keys()) {
      if (!isFinished(job) || !canComplete(job)) continue;
      const completion = this.buildJobCompletion(job);
      if (completion.writes.length > remainingWrites) break;
      remainingWrites -= completion.writes.length;
      completions.push(completion);
    }
    return completions;
  }

  /**
   * Builds completions for the progress of unfinished jobs, with at most `maxWrites` writes in total; spare writes
   * remove obsolete records.
   */
  taskProgress(maxWrites: number): Completion[] {
    const completions: Completion[] = [];
    const pages = new Map<number, PageEntry[]>();
    let remainingWrites = maxWrites;
    for (const [job, indexes] of this.unwritten) {
      if (isFinished(job)) continue;
      if (this.progress.canSharePage(job.spec.tasks)) {
        this.addToPage(pages, job, indexes);
        continue;
      }
      if (remainingWrites < 1) continue;
      const completion = this.buildChunkCompletion(job, indexes, remainingWrites);
      remainingWrites -= completion.writes.length;
      completions.push(completion);
    }
    const writtenPages = [...pages].slice(0, remainingWrites);
    for (const [page, entries] of writtenPages) completions.push(this.buildPageCompletion(page, entries));
    remainingWrites -= writtenPages.length;
    const stale = [...this.staleKeys].slice(0, remainingWrites);
    if (stale.length > 0) completions.push(this.buildStaleKeyRemoval(stale));
    return completions;
  }

  private addToPage(pages: Map<number, PageEntry[]>, job: Job, indexes: Set<number>): void {
    const page = this.progress.set(job.spec.id, job.done.encodeChunk(0));
    const entry = { job, indexes, written: [...indexes] };
    const entries = pages.get(page);
    if (entries) entries.push(entry);
    else pages.set(page, [entry]);
  }

  private buildPageCompletion(page: number, entries: PageEntry[]): Completion {
    return {
      job: null,
      conditions: [],
      writes: [{ put: keys.completedTasksPage(this.shard, page), value: this.progress.recordValue(page) }],
      onDurable: () => {
        for (const { job, indexes, written } of entries) this.markDurable(job, indexes, written);
      },
      onJobRecordMissing: () => undefined,
    };
  }

  private buildStaleKeyRemoval(stale: string[]): Completion {
    return {
      job: null,
      conditions: [],
      writes: stale.map((key) => ({ remove: key })),
      onDurable: () => {
        for (const key of stale) this.staleKeys.delete(key);
      },
      onJobRecordMissing: () => undefined,
    };
  }

  private markDurable(job: Job, indexes: Set<number>, written: number[]): void {
    for (const index of written) {
      job.durablyDone.add(index);
      indexes.delete(index);
    }
    if (indexes.size === 0 && this.unwritten.get(job) === indexes) this.unwritten.delete(job);
  }

  private buildJobCompletion(job: Job): Completion {
    const { id, tasks } = job.spec;
    return {
      job: id,
      conditions: [{ key: keys.job(id), version: job.version }],
      writes: [{ put: keys.endedJob(id), value: { stage: "done", done: tasks } }, { remove: keys.job(id) }],
      onDurable: () => {
        for (let index = 0; index < tasks; index++) job.durablyDone.add(index);
        this.unwritten.delete(job);
        this.progress.remove(id);
        this.log.info({ job: id }, "job done");
      },
      onJobRecordMissing: () => {
        this.discardJob(job);
      },
    };
  }

  private buildChunkCompletion(job: Job, indexes: Set<number>, maxWrites: number): Completion {
    const { id } = job.spec;
    const changedChunks = new Set([...indexes].map(chunkIndexOf));
    const chunks = [...changedChunks].slice(0, Math.max(1, maxWrites));
    const written = [...indexes].filter((index) => chunks.includes(chunkIndexOf(index)));
    return {
      job: id,
      conditions: [{ key: keys.job(id), version: job.version }],
      writes: chunks.map((chunk) => ({
        put: keys.completedTasksChunk(id, chunk),
        value: { bits: job.done.encodeChunk(chunk) },
      })),
      onDurable: () => {
        this.markDurable(job, indexes, written);
      },
      onJobRecordMissing: () => {
        this.discardJob(job);
      },
    };
  }

  /**
   * Drops the unwritten tasks of a job whose record no longer exists: retrying them would fail the transactions of
   * other jobs as well.
   */
  private discardJob(job: Job): void {
    this.unwritten.delete(job);
    this.endJob(job.spec.id);
  }
}
