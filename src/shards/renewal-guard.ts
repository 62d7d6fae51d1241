/** Decides on every lease renewal, counts the outcomes, and logs those that matter. */
import type { ShardAuthority } from "../membership/shard-authority.js";
import type { SteadyClock } from "../runtime/clock.js";
import type { Logger } from "../runtime/log.js";
import type { WorkerCommand, Heartbeat } from "../wire/index.js";
import {
  decideRenewalPermission,
  LeaseRenewal,
  INVARIANT_VIOLATIONS,
  type RenewalPermission,
  type RejectedRenewal,
  type RenewalRefusal,
} from "../workers/lease-renewal.js";
import type { DecisionMetrics } from "./decision-metrics.js";

/** The durations that the renewal guard goes by. */
export interface RenewalGuardTimings {
  /** The age of a shard's view from which on no lease may be renewed on it. */
  maxViewAgeMs: number;
  /** The least time between two log lines about refusals. */
  spacingMs: number;
}

/** Reasons that concern one machine or one heartbeat: they are counted, and not logged one by one. */
const ROUTINE_REFUSALS: ReadonlySet<RenewalRefusal> = new Set(["newer_token", "report_not_newer"]);

/** All lease renewals of one shard's owner pass through its guard. */
export class RenewalGuard {
  /** The reason of the last refusal that concerned the whole shard; null while it renews leases. */
  private shardRefusal: RenewalRefusal | null = null;
  private lastViolationAt = -Infinity;

  constructor(
    private readonly shard: number,
    private readonly timings: RenewalGuardTimings,
    private readonly metrics: DecisionMetrics,
    private readonly clock: SteadyClock,
    private readonly log: Logger,
  ) {}

  /** Whether a heartbeat may be answered with a renewal at all; `viewAgeMs` is the age of the shard's own view. */
  permission(authority: ShardAuthority, workerToken: number, viewAgeMs: number): RenewalPermission {
    const { maxViewAgeMs } = this.timings;
    const permission = decideRenewalPermission({
      authority,
      workerToken,
      shardViewAgeMs: viewAgeMs,
      maxViewAgeMs,
    });
    if (!permission.allowed) this.metrics.refused(permission.reason);
    if (permission.allowed || !ROUTINE_REFUSALS.has(permission.reason))
      this.logChange(permission.allowed ? null : permission.reason, authority, viewAgeMs);
    return permission;
  }

  /** The heartbeat was not newer than the last one, or not of a machine of this shard. */
  heartbeatIgnored(): void {
    this.metrics.refused("report_not_newer");
  }

  /** The renewal that may be sent; null if it would break a rule. */
  decide(
    permission: Extract<RenewalPermission, { allowed: true }>,
    heartbeat: Heartbeat,
    commands: readonly WorkerCommand[],
    isLive: (job: string) => boolean,
  ): LeaseRenewal | null {
    const renewal = LeaseRenewal.decide(permission.token, heartbeat, commands, isLive);
    if (renewal instanceof LeaseRenewal) {
      this.metrics.answered(permission.shardViewAgeMs);
      return renewal;
    }
    this.metrics.refused(renewal.reason);
    this.logViolation(renewal, heartbeat, permission);
    return null;
  }

  /** One line when the shard stops renewing leases and one when it goes on, with the evidence. */
  private logChange(reason: RenewalRefusal | null, authority: ShardAuthority, viewAgeMs: number): void {
    if (reason === this.shardRefusal) return;
    this.shardRefusal = reason;
    const evidence = {
      shard: this.shard,
      token: authority.held ? authority.token : null,
      leaseLeftMs: Math.round(authority.leaseLeftMs),
      viewAgeMs: Math.round(authority.viewAgeMs),
      copyAgeMs: Math.round(viewAgeMs),
    };
    if (reason === null) this.log.info(evidence, "heartbeats answered");
    else if (INVARIANT_VIOLATIONS.has(reason)) this.log.error({ ...evidence, reason }, "heartbeats refused");
    else this.log.info({ ...evidence, reason }, "heartbeats refused");
  }

  /** At most one line in `spacingMs`: a fault may concern every machine of a large shard. The metrics count them all. */
  private logViolation(rejected: RejectedRenewal, heartbeat: Heartbeat, permission: RenewalPermission): void {
    const now = this.clock();
    if (now - this.lastViolationAt < this.timings.spacingMs) return;
    this.lastViolationAt = now;
    const { host, epoch: session, sequence: seq, highestToken: workerToken } = heartbeat;
    const evidence = { shard: this.shard, host, session, seq, workerToken, ...permission };
    this.log.error({ ...evidence, ...rejected }, "lease renewal rejected");
  }
}
