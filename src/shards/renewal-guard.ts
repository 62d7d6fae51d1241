/** Approves or refuses every lease renewal, counts the outcomes, and logs the significant ones. */
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

/** Limits of the renewal guard, in milliseconds. */
export interface RenewalGuardTimings {
  /** A shard whose view of the records is this old or older renews no lease. */
  maxViewAgeMs: number;
  /** Minimum time between two log lines about renewals rejected as violations. */
  minIntervalMs: number;
}

/** Refusals that concern a single machine or heartbeat: counted, but not logged individually. */
const ROUTINE_REFUSALS: ReadonlySet<RenewalRefusal> = new Set(["newer_token", "report_not_newer"]);

/** Checks all lease renewals of one shard's owner. */
export class RenewalGuard {
  /** Reason of the last refusal that concerned the whole shard; null while the shard renews leases. */
  private lastShardRefusal: RenewalRefusal | null = null;
  private lastViolationLogAt = -Infinity;

  constructor(
    private readonly shard: number,
    private readonly timings: RenewalGuardTimings,
    private readonly metrics: DecisionMetrics,
    private readonly clock: SteadyClock,
    private readonly log: Logger,
  ) {}

  /**
   * Decides, before a heartbeat is reconciled, whether its response may renew the worker's lease. `viewAgeMs` is the
   * age of the shard's own view of the records.
   */
  checkPermission(authority: ShardAuthority, workerToken: number, viewAgeMs: number): RenewalPermission {
    const { maxViewAgeMs } = this.timings;
    const permission = decideRenewalPermission({
      authority,
      workerToken,
      shardViewAgeMs: viewAgeMs,
      maxViewAgeMs,
    });
    if (!permission.allowed) this.metrics.recordRefusal(permission.reason);
    if (permission.allowed || !ROUTINE_REFUSALS.has(permission.reason))
      this.logRefusalChange(permission.allowed ? null : permission.reason, authority, viewAgeMs);
    return permission;
  }

  /**
   * Counts a heartbeat that was not newer than the last one from its machine, or whose machine is not in this shard.
   */
  recordIgnoredHeartbeat(): void {
    this.metrics.recordRefusal("report_not_newer");
  }

  /** Returns the renewal to send, or null if the response would keep or start a task of an ended job. */
  decideRenewal(
    permission: Extract<RenewalPermission, { allowed: true }>,
    heartbeat: Heartbeat,
    commands: readonly WorkerCommand[],
    isLive: (job: string) => boolean,
  ): LeaseRenewal | null {
    const renewal = LeaseRenewal.decide(permission.token, heartbeat, commands, isLive);
    if (renewal instanceof LeaseRenewal) {
      this.metrics.recordRenewal(permission.shardViewAgeMs);
      return renewal;
    }
    this.metrics.recordRefusal(renewal.reason);
    this.logViolation(renewal, heartbeat, permission);
    return null;
  }

  /** Logs when the shard stops or resumes renewing leases, or when the reason changes, with the evidence. */
  private logRefusalChange(
    reason: RenewalRefusal | null,
    authority: ShardAuthority,
    viewAgeMs: number,
  ): void {
    if (reason === this.lastShardRefusal) return;
    this.lastShardRefusal = reason;
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

  /**
   * Logs at most one line per `minIntervalMs`, since a fault may affect every machine of a large shard. The metrics
   * count every violation.
   */
  private logViolation(rejected: RejectedRenewal, heartbeat: Heartbeat, permission: RenewalPermission): void {
    const now = this.clock();
    if (now - this.lastViolationLogAt < this.timings.minIntervalMs) return;
    this.lastViolationLogAt = now;
    const { host, epoch: session, sequence: seq, highestToken: workerToken } = heartbeat;
    const evidence = { shard: this.shard, host, session, seq, workerToken, ...permission };
    this.log.error({ ...evidence, ...rejected }, "lease renewal rejected");
  }
}
