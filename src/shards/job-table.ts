/** The jobs of one shard, tracked from their records until none of their tasks is left on a machine. */
import { Job } from "../workers/job.js";
import { LRUCache } from "lru-cache";
import { decodeCompletedTasksChunk, decodeCompletedTasksPage, decodeJob } from "../jobs/job-records.js";
import type { Logger } from "../runtime/log.js";
import { keys, prefixes } from "../state/keys.js";
import type { ReplicaView } from "../state/replica.js";
import type { RecordChange } from "../wire/index.js";
import { CompletionLog } from "./completion-log.js";
import type { DecisionMetrics } from "./decision-metrics.js";
import { EndedJobs } from "./ended-jobs.js";

/** Number of confirmed cancellations that are remembered: far more than can be made while the watch lags behind. */
const REMEMBERED_CANCELLATIONS = 10_000;

/** Dependencies of a shard's job table. */
export interface JobTableDependencies {
  readonly shard: number;
  /** Maximum size of a value in the state store, in bytes. */
  readonly valueBytes: number;
  readonly metrics: DecisionMetrics;
  readonly log: Logger;
}

/** The jobs of one shard and their unwritten progress. */
export class JobTable {
  /** Jobs by id: live jobs, and ended jobs that still have tasks on machines. */
  readonly byId = new Map<string, Job>();
  readonly completions: CompletionLog;
  /** Ended jobs that still have tasks on machines. */
  readonly endedJobs: EndedJobs;
  /** Whether jobs were added since the last full placement round. */
  hasNewJobs = false;
  /** Steady time in milliseconds up to which the records applied so far are known to be complete. */
  completeAsOf = -Infinity;
  /** Jobs whose cancellation was confirmed by another controller. */
  private readonly confirmedCancellations = new LRUCache<string, true>({ max: REMEMBERED_CANCELLATIONS });
  private readonly shard: number;
  private readonly log: Logger;

  constructor({ shard, valueBytes, metrics, log }: JobTableDependencies) {
    this.shard = shard;
    this.log = log;
    this.endedJobs = new EndedJobs(shard, metrics, log);
    this.completions = new CompletionLog(shard, valueBytes, log, (id) => {
      this.endJob(id, Infinity);
    });
  }

  /** Applies a changed job record. */
  applyJob(change: RecordChange, now: number): void {
    const id = change.key.slice(prefixes.jobs.length);
    if (change.value === undefined) {
      this.endJob(id, now);
      return;
    }
    // Records read before the cancellation must not start a cancelled job again.
    if (this.byId.get(id)?.version === change.version || this.confirmedCancellations.has(id)) return;
    const record = decodeJob(change.value);
    if (record === null) {
      this.log.error({ key: change.key }, "unreadable job record; keeping the last known state");
      return;
    }
    // The job may have been migrated to another shard.
    if (record.shard !== this.shard) {
      this.endJob(id, now);
      return;
    }
    if (this.byId.has(id)) return;
    this.byId.set(id, Job.fromRecord(record, change.version));
    this.hasNewJobs = true;
  }

  /** Applies a changed record of completed tasks: a page shared by many jobs, or a chunk of one large job. */
  applyCompletedTasks(change: RecordChange, view: ReplicaView): void {
    const [owner = "", part = ""] = change.key.slice(prefixes.completedTasks.length).split("/");
    if (owner === String(this.shard)) this.applyPage(Number(part), decodeCompletedTasksPage(change.value));
    else this.applyChunk(owner, Number(part), change, view);
  }

  /** Applies a page. The watch also delivers this owner's own writes, which change nothing. */
  private applyPage(page: number, jobs: Record<string, string> | null): void {
    if (jobs === null) return;
    for (const [id, bits] of Object.entries(jobs)) {
      const job = this.byId.get(id);
      if (job === undefined) continue;
      if (job.durablyDone.count === 0) this.completions.loadPageEntry(page, id, bits);
      job.mergeDone(0, bits);
    }
  }

  private applyChunk(id: string, chunk: number, change: RecordChange, view: ReplicaView): void {
    const job = this.byId.get(id);
    const bits = decodeCompletedTasksChunk(change.value);
    if (bits === null) return;
    if (job) job.mergeDone(chunk, bits);
    // Only shard 0 removes the remaining records of ended jobs, so that the shards do not all attempt it.
    else if (this.shard === 0 && !view.get(keys.job(id))) this.completions.scheduleRemoval(change.key);
  }

  /** Ends the jobs that a complete read of the records does not contain. */
  endMissing(view: ReplicaView, now: number): void {
    for (const id of this.byId.keys()) if (!view.get(keys.job(id))) this.endJob(id, now);
  }

  /** Ends a job whose cancellation is durable, whether or not the watch has delivered it yet. */
  cancelJob(id: string, now: number): void {
    this.confirmedCancellations.set(id, true);
    this.endJob(id, now);
    this.removeEndedWithoutTasks(now);
  }

  /**
   * Ends a job whose record was removed (done, cancelled) or that was migrated. Its tasks on machines are stopped, and
   * count until they are proven to have ended.
   */
  private endJob(id: string, now: number): void {
    const job = this.byId.get(id);
    if (job === undefined) return;
    // The previous view still contained the job, so the job cannot have ended before that view was complete.
    if (!job.isTerminating && job.activeAttempts.size > 0)
      this.endedJobs.add(job, Math.min(now, this.completeAsOf));
    job.isTerminating = true;
    this.completions.removeJob(job);
    if (job.activeAttempts.size === 0) this.byId.delete(id);
  }

  /** Removes the ended jobs that have no task left on any machine. */
  removeEndedWithoutTasks(now: number): void {
    this.endedJobs.removeWithoutTasks(now);
    for (const [id, job] of this.byId)
      if (job.isTerminating && job.activeAttempts.size === 0) this.byId.delete(id);
  }
}
