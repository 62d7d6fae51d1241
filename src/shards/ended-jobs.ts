/** Tracks ended jobs that still have tasks on machines, and records how long stopping those tasks takes. */
import type { Logger } from "../runtime/log.js";
import type { WorkerCommand } from "../wire/index.js";
import type { Job } from "../workers/job.js";
import type { DecisionMetrics } from "./decision-metrics.js";

interface EndedJob {
  job: Job;
  /** Earliest time at which its end can have been confirmed: steady time in milliseconds. */
  earliestEndAt: number;
  isStopSent: boolean;
}

/** Tracks the ended jobs of one shard until none of their tasks is left. */
export class EndedJobs {
  private readonly pending = new Map<string, EndedJob>();

  constructor(
    private readonly shard: number,
    private readonly metrics: DecisionMetrics,
    private readonly log: Logger,
  ) {}

  /**
   * Adds an ended job that has tasks on machines; `earliestEndAt` is the earliest time at which its end can have been
   * confirmed, steady time in milliseconds.
   */
  add(job: Job, earliestEndAt: number): void {
    this.pending.set(job.spec.id, { job, earliestEndAt, isStopSent: false });
    this.log.info(
      { shard: this.shard, job: job.spec.id, tasks: job.activeAttempts.size },
      "ended job has tasks on machines",
    );
  }

  /** Records the first stop command that is sent for each ended job. */
  recordStops(commands: readonly WorkerCommand[], now: number): void {
    if (this.pending.size === 0) return;
    for (const { op, job } of commands) {
      const ended = op === "stop" ? this.pending.get(job) : undefined;
      if (ended === undefined || ended.isStopSent) continue;
      ended.isStopSent = true;
      this.metrics.recordStopSent(now - ended.earliestEndAt);
    }
  }

  /** Removes the jobs that have no task left on any machine. */
  removeWithoutTasks(now: number): void {
    for (const [id, { job, earliestEndAt }] of this.pending) {
      if (job.activeAttempts.size > 0) continue;
      this.pending.delete(id);
      const tookMs = Math.round(now - earliestEndAt);
      this.metrics.recordTasksGone(tookMs);
      this.log.info({ shard: this.shard, job: id, tookMs }, "ended job has no tasks left");
    }
  }
}
