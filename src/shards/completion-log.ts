/** Completed tasks of one shard until they are durable: what is to be written next, and what follows from the write. */
import { CHUNK_TASKS } from "../jobs/bitmap.js";
import { ProgressPages } from "../jobs/progress-pages.js";
import type { Logger } from "../runtime/log.js";
import { keys } from "../state/keys.js";
import type { Condition, Write } from "../wire/index.js";
import type { Job } from "../workers/job.js";

/** Completed work that is to be written, and what follows from the write. */
export interface Completion {
  conditions: Condition[];
  writes: Write[];
  /** To be called once the writes are durable. */
  onDurable(): void;
  /** To be called if the job's record turned out to be gone: it was cancelled first. */
  onJobGone(): void;
  /** The job whose record the conditions name; null where there are none. */
  job: string | null;
}

/** Completed tasks of one job that are written with its page. */
interface PageEntry {
  job: Job;
  /** All tasks of the job that are not durable yet; may grow while the page is being written. */
  indexes: Set<number>;
  written: number[];
}

const chunkOf = (index: number): number => Math.floor(index / CHUNK_TASKS);

const isFinished = (job: Job): boolean => job.done.count === job.spec.tasks;

/** Collects completed tasks and turns them into writes: the ends of jobs, and the progress of those that go on. */
export class CompletionLog {
  /** Completed tasks, by job, that are not durable yet. */
  private readonly unwritten = new Map<Job, Set<number>>();
  /** Keys of records that are not needed any more: removed when a transaction has writes to spare. */
  private readonly staleKeys = new Set<string>();
  private readonly progress: ProgressPages;

  constructor(
    private readonly shard: number,
    valueBytes: number,
    private readonly log: Logger,
    /** Drops a job whose record turned out to be gone. */
    private readonly dropJob: (id: string) => void,
  ) {
    this.progress = new ProgressPages(valueBytes);
  }

  /** A task of a job has completed. */
  add(job: Job, index: number): void {
    const indexes = this.unwritten.get(job);
    if (indexes) indexes.add(index);
    else this.unwritten.set(job, new Set([index]));
  }

  /** The job's record is gone: nothing more is written of it, and what was written is removed later. */
  forget(job: Job): void {
    const { id, tasks } = job.spec;
    this.unwritten.delete(job);
    this.progress.remove(id);
    if (job.durablyDone.count === 0 || this.progress.canSharePage(tasks)) return;
    for (let chunk = 0; chunk * CHUNK_TASKS < tasks; chunk++)
      this.staleKeys.add(keys.completedTasksChunk(id, chunk));
  }

  /** A record that is not needed any more is removed when a transaction has writes to spare. */
  removeLater(key: string): void {
    this.staleKeys.add(key);
  }

  /** Applies what an earlier owner has written of a job: base64 bits of its completed tasks, on a page. */
  load(page: number, id: string, bits: string): void {
    this.progress.load(page, { [id]: bits });
  }

  /** Jobs whose last task has completed and that may be written as done, with at most so many writes. */
  finishedJobs(maxWrites: number, mayComplete: (job: Job) => boolean): Completion[] {
    const completions: Completion[] = [];
    let remainingWrites = maxWrites;
    for (const job of this.unwritten.keys()) {
      if (!isFinished(job) || !mayComplete(job)) continue;
      const completion = this.completeJob(job);
      if (completion.writes.length > remainingWrites) break;
      remainingWrites -= completion.writes.length;
      completions.push(completion);
    }
    return completions;
  }

  /** Completed tasks of jobs that go on, with at most so many writes; stale records are removed with the rest of them. */
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
      const completion = this.completeChunks(job, indexes, remainingWrites);
      remainingWrites -= completion.writes.length;
      completions.push(completion);
    }
    const writtenPages = [...pages].slice(0, remainingWrites);
    for (const [page, entries] of writtenPages) completions.push(this.completePage(page, entries));
    remainingWrites -= writtenPages.length;
    const stale = [...this.staleKeys].slice(0, remainingWrites);
    if (stale.length > 0) completions.push(this.removeStale(stale));
    return completions;
  }

  private addToPage(pages: Map<number, PageEntry[]>, job: Job, indexes: Set<number>): void {
    const page = this.progress.set(job.spec.id, job.done.encodeChunk(0));
    const entry = { job, indexes, written: [...indexes] };
    const entries = pages.get(page);
    if (entries) entries.push(entry);
    else pages.set(page, [entry]);
  }

  private completePage(page: number, entries: PageEntry[]): Completion {
    return {
      job: null,
      conditions: [],
      writes: [{ put: keys.completedTasksPage(this.shard, page), value: this.progress.recordValue(page) }],
      onDurable: () => {
        for (const { job, indexes, written } of entries) this.markDurable(job, indexes, written);
      },
      onJobGone: () => undefined,
    };
  }

  private removeStale(stale: string[]): Completion {
    return {
      job: null,
      conditions: [],
      writes: stale.map((key) => ({ remove: key })),
      onDurable: () => {
        for (const key of stale) this.staleKeys.delete(key);
      },
      onJobGone: () => undefined,
    };
  }

  private markDurable(job: Job, indexes: Set<number>, written: number[]): void {
    for (const index of written) {
      job.durablyDone.add(index);
      indexes.delete(index);
    }
    if (indexes.size === 0 && this.unwritten.get(job) === indexes) this.unwritten.delete(job);
  }

  private completeJob(job: Job): Completion {
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
      onJobGone: () => {
        this.discard(job);
      },
    };
  }

  private completeChunks(job: Job, indexes: Set<number>, maxWrites: number): Completion {
    const { id } = job.spec;
    const changedChunks = new Set([...indexes].map(chunkOf));
    const chunks = [...changedChunks].slice(0, Math.max(1, maxWrites));
    const written = [...indexes].filter((index) => chunks.includes(chunkOf(index)));
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
      onJobGone: () => {
        this.discard(job);
      },
    };
  }

  /** What was to be written of a job whose record is gone is never retried, or other jobs' writes would fail with it. */
  private discard(job: Job): void {
    this.unwritten.delete(job);
    this.dropJob(job.spec.id);
  }
}
