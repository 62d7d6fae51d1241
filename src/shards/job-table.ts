/** The jobs of one shard, followed from their records until none of their tasks is left on a machine. */
import { Job } from "../workers/job.js";
import { LRUCache } from "lru-cache";
import { readCompletedTasksChunk, readCompletedTasksPage, readJob } from "../jobs/job-records.js";
import type { Logger } from "../runtime/log.js";
import { keys, prefixes } from "../state/keys.js";
import type { ReplicaView } from "../state/replica.js";
import type { RecordChange } from "../wire/index.js";
import { CompletionLog } from "./completion-log.js";
import type { DecisionMetrics } from "./decision-metrics.js";
import { EndedJobs } from "./ended-jobs.js";

/** How many confirmed cancellations are remembered: many more than are made while the watch lags behind. */
const REMEMBERED_CANCELLATIONS = 10_000;

/** What the job table of one shard is made from. */
export interface JobTableDependencies {
  readonly shard: number;
  /** The largest value that the state store accepts, in bytes. */
  readonly valueBytes: number;
  readonly metrics: DecisionMetrics;
  readonly log: Logger;
}

/** The jobs of one shard and what has yet to be written of them. */
export class JobTable {
  /** The jobs by id: live ones, and ended ones with tasks on machines. */
  readonly byId = new Map<string, Job>();
  readonly completions: CompletionLog;
  /** Jobs that have ended while tasks of theirs are on machines. */
  readonly endedJobs: EndedJobs;
  /** Whether jobs were added since the last full placement round. */
  hasNewJobs = false;
  /** Steady time in milliseconds up to which the records applied so far are known to be complete. */
  completeAsOf = -Infinity;
  /** Jobs whose cancellation was confirmed by another controller. */
  private readonly cancellations = new LRUCache<string, true>({ max: REMEMBERED_CANCELLATIONS });
  private readonly shard: number;
  private readonly log: Logger;

  constructor({ shard, valueBytes, metrics, log }: JobTableDependencies) {
    this.shard = shard;
    this.log = log;
    this.endedJobs = new EndedJobs(shard, metrics, log);
    this.completions = new CompletionLog(shard, valueBytes, log, (id) => {
      this.end(id, Infinity);
    });
  }

  /** Applies a changed job record. */
  applyJob(change: RecordChange, now: number): void {
    const id = change.key.slice(prefixes.jobs.length);
    if (change.value === undefined) {
      this.end(id, now);
      return;
    }
    // Guards against starting a cancelled job again from records read before the cancellation.
    if (this.byId.get(id)?.version === change.version || this.cancellations.has(id)) return;
    const record = readJob(change.value);
    if (record === null) {
      this.log.error({ key: change.key }, "unreadable job record");
      return;
    }
    // It may have been migrated to another shard.
    if (record.shard !== this.shard) {
      this.end(id, now);
      return;
    }
    if (this.byId.has(id)) return;
    this.byId.set(id, Job.fromRecord(record, change.version));
    this.hasNewJobs = true;
  }

  /** Applies a changed record of completed tasks: a page that many jobs share, or a chunk of one large job. */
  applyCompletedTasks(change: RecordChange, view: ReplicaView): void {
    const [owner = "", part = ""] = change.key.slice(prefixes.completedTasks.length).split("/");
    if (owner === String(this.shard)) this.applyPage(Number(part), readCompletedTasksPage(change.value));
    else this.applyChunk(owner, Number(part), change, view);
  }

  /** What this owner wrote itself comes back through the watch as well, and changes nothing. */
  private applyPage(page: number, jobs: Record<string, string> | null): void {
    if (jobs === null) return;
    for (const [id, bits] of Object.entries(jobs)) {
      const job = this.byId.get(id);
      if (job === undefined) continue;
      if (job.durablyDone.count === 0) this.completions.load(page, id, bits);
      job.mergeDone(0, bits);
    }
  }

  private applyChunk(id: string, chunk: number, change: RecordChange, view: ReplicaView): void {
    const job = this.byId.get(id);
    const bits = readCompletedTasksChunk(change.value);
    if (bits === null) return;
    if (job) job.mergeDone(chunk, bits);
    // One shard removes what is left of ended jobs, so that the shards do not all try it.
    else if (this.shard === 0 && !view.get(keys.job(id))) this.completions.removeLater(change.key);
  }

  /** Ends the jobs that a complete reading of the records does not contain. */
  endMissing(view: ReplicaView, now: number): void {
    for (const id of this.byId.keys()) if (!view.get(keys.job(id))) this.end(id, now);
  }

  /** A cancellation is durable, whether or not the watch has shown it yet. */
  cancelled(id: string, now: number): void {
    this.cancellations.set(id, true);
    this.end(id, now);
    this.removeGone(now);
  }

  /** The record is gone: done, cancelled or migrated. Tasks still on machines are stopped and count until proven gone. */
  private end(id: string, now: number): void {
    const job = this.byId.get(id);
    if (job === undefined) return;
    // The view before this one lacked its end, which is therefore no older than that view.
    if (!job.isTerminating && job.activeAttempts.size > 0)
      this.endedJobs.add(job, Math.min(now, this.completeAsOf));
    job.isTerminating = true;
    this.completions.forget(job);
    if (job.activeAttempts.size === 0) this.byId.delete(id);
  }

  /** Removes the ended jobs that have no task on a machine any more. */
  removeGone(now: number): void {
    this.endedJobs.removeGone(now);
    for (const [id, job] of this.byId)
      if (job.isTerminating && job.activeAttempts.size === 0) this.byId.delete(id);
  }
}
