/** Metrics of lease renewal decisions and of how fast the tasks of ended jobs are stopped, for operators. */
import { createHistogram, type RecordableHistogram } from "node:perf_hooks";
import { INVARIANT_VIOLATIONS, type RenewalRefusal } from "../workers/lease-renewal.js";

/** Upper bound of recorded durations: longer ones are recorded as this value. */
const MAX_DURATION_MS = 3_600_000;

/** Summary of a distribution of durations, in milliseconds. */
interface Distribution {
  count: number;
  p50: number;
  p99: number;
  max: number;
}

/**
 * The response to `GET /decisions`: this process's decisions since it started. The property names are part of the
 * interface.
 */
export interface DecisionReport {
  node: string;
  /** Number of responses that renewed a worker's lease. */
  answered: number;
  /** Number of heartbeats whose lease renewal was refused, by reason. */
  refused: Record<string, number>;
  /** Number of renewals rejected because they would have violated a rule, which indicates a fault in this program. */
  violations: number;
  /** Age of the records on which renewals were decided. */
  recordsAgeMs: Distribution;
  /** Time from the earliest possible confirmation of a job's end to the first stop command for its tasks. */
  endToStopMs: Distribution;
  /**
   * Time from the earliest possible confirmation of a job's end to the proof that none of its tasks is on a machine.
   */
  endToGoneMs: Distribution;
}

/** Histogram of durations in milliseconds, from 1 to `MAX_DURATION_MS`. */
class DurationHistogram {
  private readonly histogram: RecordableHistogram = createHistogram({ highest: MAX_DURATION_MS, figures: 2 });

  record(ms: number): void {
    this.histogram.record(Math.min(MAX_DURATION_MS, Math.max(1, Math.round(ms))));
  }

  get distribution(): Distribution {
    const { count, max } = this.histogram;
    if (count === 0) return { count, p50: 0, p99: 0, max: 0 };
    return { count, p50: this.histogram.percentile(50), p99: this.histogram.percentile(99), max };
  }
}

/** Counts the renewal decisions and stop latencies of one process. */
export class DecisionMetrics {
  private renewalCount = 0;
  private violationCount = 0;
  private readonly refusalCounts = new Map<RenewalRefusal, number>();
  private readonly recordsAge = new DurationHistogram();
  private readonly endToStop = new DurationHistogram();
  private readonly endToGone = new DurationHistogram();

  /** Records a lease renewal that was decided on records of this age. */
  recordRenewal(recordsAgeMs: number): void {
    this.renewalCount++;
    this.recordsAge.record(recordsAgeMs);
  }

  /** Records a refused lease renewal. */
  recordRefusal(reason: RenewalRefusal): void {
    this.refusalCounts.set(reason, (this.refusalCounts.get(reason) ?? 0) + 1);
    if (INVARIANT_VIOLATIONS.has(reason)) this.violationCount++;
  }

  /** Records the time from a job's end to the first stop command for its tasks. */
  recordStopSent(afterMs: number): void {
    this.endToStop.record(afterMs);
  }

  /** Records the time from a job's end to the proof that its last task is gone. */
  recordTasksGone(afterMs: number): void {
    this.endToGone.record(afterMs);
  }

  /** Returns the counts and distributions so far, as reported by `GET /decisions` on this node. */
  report(node: string): DecisionReport {
    return {
      node,
      answered: this.renewalCount,
      refused: Object.fromEntries(this.refusalCounts),
      violations: this.violationCount,
      recordsAgeMs: this.recordsAge.distribution,
      endToStopMs: this.endToStop.distribution,
      endToGoneMs: this.endToGone.distribution,
    };
  }
}
