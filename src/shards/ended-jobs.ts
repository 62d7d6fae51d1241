/** Jobs that have ended while tasks of theirs are on machines: when they were stopped, and when they were gone. */
import type { Logger } from "../runtime/log.js";
import type { WorkerCommand } from "../wire/index.js";
import type { Job } from "../workers/job.js";
import type { DecisionMetrics } from "./decision-metrics.js";

interface EndedJob {
  job: Job;
  /** When its end can have been confirmed at the earliest: steady time in milliseconds. */
  since: number;
  stopSent: boolean;
}

/** Follows the ended jobs of one shard until none of their tasks is left. */
export class EndedJobs {
  private readonly pending = new Map<string, EndedJob>();

  constructor(
    private readonly shard: number,
    private readonly metrics: DecisionMetrics,
    private readonly log: Logger,
  ) {}

  /** A job with tasks on machines has ended, at the earliest at `since`: steady time in milliseconds. */
  add(job: Job, since: number): void {
    this.pending.set(job.spec.id, { job, since, stopSent: false });
    this.log.info(
      { shard: this.shard, job: job.spec.id, tasks: job.activeAttempts.size },
      "ended job has tasks on machines",
    );
  }

  /** Records which ended jobs are stopped by commands that go out now. */
  recordStops(commands: readonly WorkerCommand[], now: number): void {
    if (this.pending.size === 0) return;
    for (const { op, job } of commands) {
      const ended = op === "stop" ? this.pending.get(job) : undefined;
      if (ended === undefined || ended.stopSent) continue;
      ended.stopSent = true;
      this.metrics.stopSent(now - ended.since);
    }
  }

  /** Removes the jobs that have no task on a machine any more. */
  removeGone(now: number): void {
    for (const [id, { job, since }] of this.pending) {
      if (job.activeAttempts.size > 0) continue;
      this.pending.delete(id);
      const tookMs = Math.round(now - since);
      this.metrics.tasksGone(tookMs);
      this.log.info({ shard: this.shard, job: id, tookMs }, "ended job has no tasks left");
    }
  }
}
