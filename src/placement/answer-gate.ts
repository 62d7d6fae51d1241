/** Has every answer to a worker decided on, counts the outcomes, and logs those that matter. */
import type { Authority } from "../membership/authority.js";
import type { SteadyClock } from "../runtime/clock.js";
import type { Logger } from "../runtime/log.js";
import type { Command, WorkerReport } from "../wire/index.js";
import {
  decideAnswerRight,
  Renewal,
  VIOLATIONS,
  type AnswerRight,
  type RefusedRenewal,
  type RenewalRefusal,
} from "../workers/renewal-verdict.js";
import type { DecisionMetrics } from "./decision-metrics.js";

/** Durations that the gate goes by. */
export interface AnswerGateTimings {
  /** The oldest copy of the records on which a worker's lease may be renewed. */
  staleMs: number;
  /** The least time between two log lines about refusals. */
  spacingMs: number;
}

/** Reasons that are about one machine or one report: they are counted, and worth no line each. */
const ORDINARY: ReadonlySet<RenewalRefusal> = new Set(["newer_token", "report_not_newer"]);

/** The way out for all answers of one shard's owner. */
export class AnswerGate {
  /** The reason of the last refusal that concerned the whole shard; null while it answers. */
  private refusing: RenewalRefusal | null = null;
  private lastViolation = -Infinity;

  constructor(
    private readonly shard: number,
    private readonly figures: AnswerGateTimings,
    private readonly metrics: DecisionMetrics,
    private readonly clock: SteadyClock,
    private readonly log: Logger,
  ) {}

  /** Whether a report may be answered at all. */
  right(authority: Authority, workerToken: number, copyAgeMs: number): AnswerRight {
    const { staleMs } = this.figures;
    const right = decideAnswerRight({ authority, workerToken, copyAgeMs, staleMs });
    if (!right.allowed) this.metrics.refused(right.reason);
    if (right.allowed || !ORDINARY.has(right.reason))
      this.noteChange(right.allowed ? null : right.reason, authority, copyAgeMs);
    return right;
  }

  /** The report was an old one, or not of a machine of this shard. */
  reportIgnored(): void {
    this.metrics.refused("report_not_newer");
  }

  /** The answer as it may go out; null if it would break a rule. */
  decide(
    right: Extract<AnswerRight, { allowed: true }>,
    report: WorkerReport,
    commands: readonly Command[],
    isLive: (job: string) => boolean,
  ): Renewal | null {
    const renewal = Renewal.decide(right.token, report, commands, isLive);
    if (renewal instanceof Renewal) {
      this.metrics.answered(right.copyAgeMs);
      return renewal;
    }
    this.metrics.refused(renewal.reason);
    this.reportViolation(renewal, report, right);
    return null;
  }

  /** One line when the shard stops answering and one when it goes on, with the evidence. */
  private noteChange(reason: RenewalRefusal | null, authority: Authority, copyAgeMs: number): void {
    if (reason === this.refusing) return;
    this.refusing = reason;
    const evidence = {
      shard: this.shard,
      token: authority.held ? authority.token : null,
      leaseLeftMs: Math.round(authority.leaseLeftMs),
      viewAgeMs: Math.round(authority.viewAgeMs),
      copyAgeMs: Math.round(copyAgeMs),
    };
    if (reason === null) this.log.info(evidence, "reports are answered");
    else if (VIOLATIONS.has(reason)) this.log.error({ ...evidence, reason }, "reports are refused");
    else this.log.info({ ...evidence, reason }, "reports are refused");
  }

  /** Bounded in time: a fault may concern every machine of a large shard. The counter tells how many there were. */
  private reportViolation(refused: RefusedRenewal, report: WorkerReport, right: AnswerRight): void {
    const now = this.clock();
    if (now - this.lastViolation < this.figures.spacingMs) return;
    this.lastViolation = now;
    const { host, session, seq, token } = report;
    const evidence = { shard: this.shard, host, session, seq, workerToken: token, ...right };
    this.log.error({ ...evidence, ...refused }, "answer refused: it would break a rule");
  }
}
