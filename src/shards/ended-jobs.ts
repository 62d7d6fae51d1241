/** Jobs that are over while tasks of theirs are still on machines: when they were stopped, and when they were gone. */
import type { Logger } from "../runtime/log.js";
import type { WorkerCommand } from "../wire/index.js";
import type { Job } from "../workers/job.js";
import type { DecisionMetrics } from "./decision-metrics.js";

interface EndedJob {
  job: Job;
  /** When its end can have been confirmed at the earliest. */
  since: number;
  stopSent: boolean;
}

/** Follows the ended jobs of one shard until nothing of them is left. */
export class EndedJobs {
  private readonly open = new Map<string, EndedJob>();

  constructor(
    private readonly shard: number,
    private readonly metrics: DecisionMetrics,
    private readonly log: Logger,
  ) {}

  /** A job with tasks on machines is over. */
  begin(job: Job, since: number): void {
    this.open.set(job.spec.id, { job, since, stopSent: false });
    this.log.info({ shard: this.shard, job: job.spec.id, tasks: job.active.size }, "tasks of an ended job");
  }

  /** These commands go out now. */
  noteStops(commands: readonly WorkerCommand[], now: number): void {
    if (this.open.size === 0) return;
    for (const { op, job } of commands) {
      const ended = op === "stop" ? this.open.get(job) : undefined;
      if (ended === undefined || ended.stopSent) continue;
      ended.stopSent = true;
      this.metrics.stopSent(now - ended.since);
    }
  }

  /** Notes the jobs of which nothing is left by now. */
  sweep(now: number): void {
    for (const [id, { job, since }] of this.open) {
      if (job.active.size > 0) continue;
      this.open.delete(id);
      const tookMs = Math.round(now - since);
      this.metrics.gone(tookMs);
      this.log.info({ shard: this.shard, job: id, tookMs }, "tasks of an ended job are gone");
    }
  }
}
