/** Counts and distributions of the decisions that keep cancelled tasks from going on, for operators. */
import { createHistogram, type RecordableHistogram } from "node:perf_hooks";
import { VIOLATIONS, type RenewalRefusal } from "../workers/lease-renewal.js";

/** Longer durations are counted as this. */
const MOST_MS = 3_600_000;

/** A distribution of durations, in milliseconds. */
export interface Distribution {
  count: number;
  p50: number;
  p99: number;
  max: number;
}

/** What operators are shown of this process's decisions since its start. */
export interface DecisionReport {
  node: string;
  /** Answers that renewed a worker's lease. */
  answered: number;
  /** Reports that were not answered so, by reason. */
  refused: Record<string, number>;
  /** Answers that were refused because they would have broken a rule: a fault of this program. */
  violations: number;
  /** How old the records were on which answers were decided. */
  recordsAgeMs: Distribution;
  /** From when a job's end can have been confirmed at the earliest to the first stop of its tasks. */
  endToStopMs: Distribution;
  /** From then to the proof that none of its tasks is on a machine. */
  endToGoneMs: Distribution;
}

class Durations {
  private readonly histogram: RecordableHistogram = createHistogram({ highest: MOST_MS, figures: 2 });

  record(ms: number): void {
    this.histogram.record(Math.min(MOST_MS, Math.max(1, Math.round(ms))));
  }

  get distribution(): Distribution {
    const { count, max } = this.histogram;
    if (count === 0) return { count, p50: 0, p99: 0, max: 0 };
    return { count, p50: this.histogram.percentile(50), p99: this.histogram.percentile(99), max };
  }
}

/** The decisions of one process. */
export class DecisionMetrics {
  private answeredCount = 0;
  private violationCount = 0;
  private readonly refusedCounts = new Map<RenewalRefusal, number>();
  private readonly recordsAge = new Durations();
  private readonly endToStop = new Durations();
  private readonly endToGone = new Durations();

  answered(recordsAgeMs: number): void {
    this.answeredCount++;
    this.recordsAge.record(recordsAgeMs);
  }

  refused(reason: RenewalRefusal): void {
    this.refusedCounts.set(reason, (this.refusedCounts.get(reason) ?? 0) + 1);
    if (VIOLATIONS.has(reason)) this.violationCount++;
  }

  stopSent(afterMs: number): void {
    this.endToStop.record(afterMs);
  }

  gone(afterMs: number): void {
    this.endToGone.record(afterMs);
  }

  report(node: string): DecisionReport {
    return {
      node,
      answered: this.answeredCount,
      refused: Object.fromEntries(this.refusedCounts),
      violations: this.violationCount,
      recordsAgeMs: this.recordsAge.distribution,
      endToStopMs: this.endToStop.distribution,
      endToGoneMs: this.endToGone.distribution,
    };
  }
}
