/** Counts and distributions of the decisions that stop cancelled tasks, for operators. */
import { createHistogram, type RecordableHistogram } from "node:perf_hooks";
import { INVARIANT_VIOLATIONS, type RenewalRefusal } from "../workers/lease-renewal.js";

/** Longer durations are recorded as this. */
const MAX_DURATION_MS = 3_600_000;

/** A distribution of durations, in milliseconds. */
interface Distribution {
  count: number;
  p50: number;
  p99: number;
  max: number;
}

/** The answer to `GET /decisions`: this process's decisions since its start. Its names are part of the interface. */
export interface DecisionReport {
  node: string;
  /** Responses that renewed a worker's lease. */
  answered: number;
  /** Heartbeats whose lease renewal was refused, by reason. */
  refused: Record<string, number>;
  /** Renewals that were rejected because they would have broken a rule: a fault of this program. */
  violations: number;
  /** How old the records were on which renewals were decided. */
  recordsAgeMs: Distribution;
  /** From when a job's end can have been confirmed at the earliest to the first stop of its tasks. */
  endToStopMs: Distribution;
  /** From then to the proof that none of its tasks is on a machine. */
  endToGoneMs: Distribution;
}

/** A histogram of durations in milliseconds, from 1 to `MAX_DURATION_MS`. */
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

/** The decisions of one process. */
export class DecisionMetrics {
  private answeredCount = 0;
  private violationCount = 0;
  private readonly refusedCounts = new Map<RenewalRefusal, number>();
  private readonly recordsAge = new DurationHistogram();
  private readonly endToStop = new DurationHistogram();
  private readonly endToGone = new DurationHistogram();

  /** A lease renewal was sent, decided on records of this age. */
  answered(recordsAgeMs: number): void {
    this.answeredCount++;
    this.recordsAge.record(recordsAgeMs);
  }

  /** A lease renewal was refused. */
  refused(reason: RenewalRefusal): void {
    this.refusedCounts.set(reason, (this.refusedCounts.get(reason) ?? 0) + 1);
    if (INVARIANT_VIOLATIONS.has(reason)) this.violationCount++;
  }

  /** The first stop of an ended job's tasks was sent so long after the job's end. */
  stopSent(afterMs: number): void {
    this.endToStop.record(afterMs);
  }

  /** The last task of an ended job was proven gone so long after the job's end. */
  tasksGone(afterMs: number): void {
    this.endToGone.record(afterMs);
  }

  /** The counts and distributions so far, as `GET /decisions` of this node shows them. */
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
