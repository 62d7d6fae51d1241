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
  /** The job whose record the guards name; empty where they name none. */
  job: string;
}

/** Collects completed tasks and turns them into writes, ended jobs apart from progress. */
export class CompletionLog {
  /** Completed tasks, by job, that are not durable yet. */
  private readonly unwritten = new Map<Job, Set<number>>();
  /** Records of completed tasks of jobs that are over: to be removed when there is room. */
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

  /** The job's record is gone: nothing more is written of it, and what was is removed when there is room. */
  forget(job: Job): void {
    const { id, tasks } = job.spec;
    this.unwritten.delete(job);
    this.progress.remove(id);
    if (job.durable.count === 0 || this.progress.sharesPages(tasks)) return;
    for (let chunk = 0; chunk * CHUNK_TASKS < tasks; chunk++)
      this.staleKeys.add(keys.completedTasksChunk(id, chunk));
  }

  /** A record of completed tasks whose job is over is to be removed when there is room. */
  removeLater(key: string): void {
    this.staleKeys.add(key);
  }

  /** Takes in what an earlier owner has written of a job. */
  load(page: number, id: string, bits: string): void {
    this.progress.load(page, { [id]: bits });
  }

  /** Jobs whose last task has completed and that may be told done, to be written within so many operations. */
  finished(room: number, mayEnd: (job: Job) => boolean): Completion[] {
    const out: Completion[] = [];
    for (const job of this.unwritten.keys()) {
      if (job.done.count !== job.spec.tasks || !mayEnd(job)) continue;
      const completion = this.completeJob(job);
      if (completion.writes.length > room) break;
      room -= completion.writes.length;
      out.push(completion);
    }
    return out;
  }

  /** Completed tasks of jobs that go on, to be written within so many operations. */
  progressed(room: number): Completion[] {
    const out: Completion[] = [];
    const pages = new Map<number, { job: Job; indexes: Set<number>; written: number[] }[]>();
    for (const [job, indexes] of this.unwritten) {
      if (job.done.count === job.spec.tasks) continue;
      if (!this.progress.sharesPages(job.spec.tasks)) {
        if (room < 1) continue;
        const completion = this.completeChunks(job, indexes, room);
        room -= completion.writes.length;
        out.push(completion);
        continue;
      }
      const page = this.progress.set(job.spec.id, job.done.encodeChunk(0));
      const part = { job, indexes, written: [...indexes] };
      const parts = pages.get(page);
      if (parts) parts.push(part);
      else pages.set(page, [part]);
    }
    for (const [page, parts] of pages) {
      if (room-- < 1) break;
      out.push({
        job: "",
        conditions: [],
        writes: [{ put: keys.completedTasksPage(this.shard, page), value: this.progress.value(page) }],
        onDurable: () => {
          parts.forEach(({ job, indexes, written }) => {
            this.nowDurable(job, indexes, written);
          });
        },
        onJobGone: () => undefined,
      });
    }
    const stale = [...this.staleKeys].slice(0, Math.max(0, room));
    if (stale.length > 0)
      out.push({
        job: "",
        conditions: [],
        writes: stale.map((key) => ({ remove: key })),
        onDurable: () => {
          stale.forEach((key) => this.staleKeys.delete(key));
        },
        onJobGone: () => undefined,
      });
    return out;
  }

  private nowDurable(job: Job, indexes: Set<number>, written: number[]): void {
    for (const i of written) {
      job.durable.add(i);
      indexes.delete(i);
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
        for (let i = 0; i < tasks; i++) job.durable.add(i);
        this.unwritten.delete(job);
        this.progress.remove(id);
        this.log.info({ job: id }, "job done");
      },
      onJobGone: () => {
        this.discard(job);
      },
    };
  }

  private completeChunks(job: Job, indexes: Set<number>, room: number): Completion {
    const { id } = job.spec;
    const chunks = [...new Set([...indexes].map((i) => Math.floor(i / CHUNK_TASKS)))].slice(
      0,
      Math.max(1, room),
    );
    const written = [...indexes].filter((i) => chunks.includes(Math.floor(i / CHUNK_TASKS)));
    return {
      job: id,
      conditions: [{ key: keys.job(id), version: job.version }],
      writes: chunks.map((c) => ({
        put: keys.completedTasksChunk(id, c),
        value: { bits: job.done.encodeChunk(c) },
      })),
      onDurable: () => {
        this.nowDurable(job, indexes, written);
      },
      onJobGone: () => {
        this.discard(job);
      },
    };
  }

  /** What was to be written of a job whose record is gone is never tried again, or it would take others with it. */
  private discard(job: Job): void {
    this.unwritten.delete(job);
    this.dropJob(job.spec.id);
  }
}
