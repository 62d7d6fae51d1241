/** Has every answer to a worker decided on, counts the outcomes, and logs those that matter. */
import type { ShardAuthority } from "../membership/shard-authority.js";
import type { SteadyClock } from "../runtime/clock.js";
import type { Logger } from "../runtime/log.js";
import type { WorkerCommand, Heartbeat } from "../wire/index.js";
import {
  decideRenewalPermission,
  LeaseRenewal,
  VIOLATIONS,
  type RenewalPermission,
  type RejectedRenewal,
  type RenewalRefusal,
} from "../workers/lease-renewal.js";
import type { DecisionMetrics } from "./decision-metrics.js";

/** Durations that the gate goes by. */
export interface RenewalGuardTimings {
  /** The oldest copy of the records on which a worker's lease may be renewed. */
  staleMs: number;
  /** The least time between two log lines about refusals. */
  spacingMs: number;
}

/** Reasons that are about one machine or one report: they are counted, and worth no line each. */
const ROUTINE_REFUSALS: ReadonlySet<RenewalRefusal> = new Set(["newer_token", "report_not_newer"]);

/** The way out for all answers of one shard's owner. */
export class RenewalGuard {
  /** The reason of the last refusal that concerned the whole shard; null while it answers. */
  private refusing: RenewalRefusal | null = null;
  private lastViolation = -Infinity;

  constructor(
    private readonly shard: number,
    private readonly figures: RenewalGuardTimings,
    private readonly metrics: DecisionMetrics,
    private readonly clock: SteadyClock,
    private readonly log: Logger,
  ) {}

  /** Whether a report may be answered at all. */
  permission(authority: ShardAuthority, workerToken: number, copyAgeMs: number): RenewalPermission {
    const { staleMs } = this.figures;
    const right = decideRenewalPermission({ authority, workerToken, shardViewAgeMs: copyAgeMs, staleMs });
    if (!right.allowed) this.metrics.refused(right.reason);
    if (right.allowed || !ROUTINE_REFUSALS.has(right.reason))
      this.noteChange(right.allowed ? null : right.reason, authority, copyAgeMs);
    return right;
  }

  /** The report was an old one, or not of a machine of this shard. */
  heartbeatIgnored(): void {
    this.metrics.refused("report_not_newer");
  }

  /** The answer as it may go out; null if it would break a rule. */
  decide(
    right: Extract<RenewalPermission, { allowed: true }>,
    report: Heartbeat,
    commands: readonly WorkerCommand[],
    isLive: (job: string) => boolean,
  ): LeaseRenewal | null {
    const renewal = LeaseRenewal.decide(right.token, report, commands, isLive);
    if (renewal instanceof LeaseRenewal) {
      this.metrics.answered(right.shardViewAgeMs);
      return renewal;
    }
    this.metrics.refused(renewal.reason);
    this.reportViolation(renewal, report, right);
    return null;
  }

  /** One line when the shard stops answering and one when it goes on, with the evidence. */
  private noteChange(reason: RenewalRefusal | null, authority: ShardAuthority, copyAgeMs: number): void {
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
  private reportViolation(refused: RejectedRenewal, report: Heartbeat, right: RenewalPermission): void {
    const now = this.clock();
    if (now - this.lastViolation < this.figures.spacingMs) return;
    this.lastViolation = now;
    const { host, epoch: session, sequence: seq, highestToken: token } = report;
    const evidence = { shard: this.shard, host, session, seq, workerToken: token, ...right };
    this.log.error({ ...evidence, ...refused }, "answer refused: it would break a rule");
  }
}
