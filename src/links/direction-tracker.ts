/**
 * Derives the state of one direction of a link from the evidence about it. Deterministic: the time is an argument,
 * taken from the stall-aware clock, so that a stall of this process does not count as missing traffic.
 */
import type { Evidence, FailureCause, LinkState } from "./model.js";
import type { LinkTimings } from "./settings.js";

/** One failure is not enough for `down`: a packet may be lost or a response late. */
const MIN_FAILURES = 2;

/** The weight of one response in the moving average of slow responses. */
const SLOW_AVERAGE_WEIGHT = 0.2;
/** A direction becomes slow above this fraction of slow responses. */
const SLOW_ENTER_FRACTION = 0.6;
/** A slow direction stops being slow below this fraction of slow responses. */
const SLOW_EXIT_FRACTION = 0.3;

/** The durations that a tracker needs. */
export type TrackerTimings = Pick<
  LinkTimings,
  | "downAfterMs"
  | "recoverMs"
  | "maxRecoverMs"
  | "flapWindowMs"
  | "quietMs"
  | "downExpiryMs"
  | "slowThresholdMs"
>;

/** Consecutive failures without a success in between. */
interface FailureRun {
  startedAt: number;
  lastAt: number;
  count: number;
  cause: FailureCause;
}

/** The state derived from the evidence. */
interface Assessment {
  state: LinkState;
  evidence: Evidence;
}

/** Tracks the state of one direction of a link, with hysteresis. */
export class DirectionTracker {
  state: LinkState = "unknown";
  evidence: Evidence = "no_traffic";
  private deliveredAt = -Infinity;
  /** When the last run of failures ended. */
  private failureFreeSince = -Infinity;
  private failures: FailureRun | null = null;
  private slowFraction = 0;
  private isSlow = false;
  /** When the direction was last found down. */
  private lastDownAt = -Infinity;
  /** How many times in a row the direction has gone down soon after a recovery. */
  private flapCount = 0;
  /** Whether the direction went down and has been neither up nor unknown since. */
  private hasBeenDown = false;

  constructor(private readonly timings: TrackerTimings) {}

  /** Records that traffic passed, which ends a run of failures. */
  recordDelivery(now: number): void {
    if (this.failures !== null) {
      this.failures = null;
      this.failureFreeSince = now;
    }
    this.deliveredAt = now;
  }

  /** Records a response that took `latencyMs`. */
  recordResponse(now: number, latencyMs: number): void {
    this.recordDelivery(now);
    const slowSample = latencyMs > this.timings.slowThresholdMs ? 1 : 0;
    this.slowFraction += SLOW_AVERAGE_WEIGHT * (slowSample - this.slowFraction);
    if (this.slowFraction > SLOW_ENTER_FRACTION) this.isSlow = true;
    if (this.slowFraction < SLOW_EXIT_FRACTION) this.isSlow = false;
  }

  /** Records that traffic was lost or refused; `since` is when it should have passed, if earlier than `now`. */
  recordFailure(now: number, cause: FailureCause, since = now): void {
    if (this.failures === null) this.failures = { startedAt: since, lastAt: now, count: 1, cause };
    else {
      this.failures.count++;
      this.failures.lastAt = now;
      this.failures.cause = cause;
    }
  }

  /** Discards earlier failures, which may have been caused by delays of this process. */
  clearFailures(now: number): void {
    if (this.failures === null) return;
    this.failures = null;
    this.failureFreeSince = now;
  }

  /** Whether there has been no evidence for half of the time after which the state becomes unknown. */
  needsProbe(now: number): boolean {
    return now - this.lastEvidenceAt >= this.timings.quietMs / 2;
  }

  /** When traffic last passed; `-Infinity` if never. */
  get lastDeliveredAt(): number {
    return this.deliveredAt;
  }

  /** Recomputes the state from the evidence so far. Returns whether it changed. */
  evaluate(now: number): boolean {
    const { state, evidence } = this.assess(now);
    if (state === "down" && this.state !== "down") this.enterDown(now);
    if (state === "down") this.lastDownAt = now;
    const changed = state !== this.state;
    this.state = state;
    this.evidence = evidence;
    return changed;
  }

  /** Whether the direction is failing, or has not yet recovered from being down. */
  get isFailingOrRecovering(): boolean {
    return this.failures !== null || this.hasBeenDown;
  }

  /** How long the direction must work without a failure to count as up again, in milliseconds. */
  get requiredRecoveryMs(): number {
    return Math.min(this.timings.maxRecoverMs, this.timings.recoverMs * 2 ** this.flapCount);
  }

  private get lastEvidenceAt(): number {
    return Math.max(this.deliveredAt, this.failures?.lastAt ?? -Infinity);
  }

  /** Doubles the recovery time for each failure soon after a recovery, so a flapping link does not move work around. */
  private enterDown(now: number): void {
    this.hasBeenDown = true;
    const isFlapping = now - this.lastDownAt < this.timings.flapWindowMs + this.requiredRecoveryMs;
    if (!isFlapping) this.flapCount = 0;
    else if (this.requiredRecoveryMs < this.timings.maxRecoverMs) this.flapCount++;
  }

  private assess(now: number): Assessment {
    const sinceEvidence = now - this.lastEvidenceAt;
    if (this.hasBeenDown) return this.assessRecovery(now, sinceEvidence);
    if (sinceEvidence >= this.timings.quietMs) return { state: "unknown", evidence: "no_traffic" };
    if (this.failures !== null) return this.assessFailures(now, this.failures);
    return this.isSlow ? { state: "degraded", evidence: "slow" } : { state: "up", evidence: "delivered" };
  }

  private assessFailures(now: number, run: FailureRun): Assessment {
    const isSustained = now - run.startedAt >= this.timings.downAfterMs && run.count >= MIN_FAILURES;
    return { state: isSustained ? "down" : "degraded", evidence: run.cause };
  }

  /** A direction stays down until traffic passes, and is up only after it has worked for `requiredRecoveryMs`. */
  private assessRecovery(now: number, sinceEvidence: number): Assessment {
    if (this.failures !== null && sinceEvidence < this.timings.downExpiryMs) {
      const { state, evidence } = this.assessFailures(now, this.failures);
      return { state: this.state === "down" ? "down" : state, evidence };
    }
    if (sinceEvidence >= this.timings.quietMs) {
      this.hasBeenDown = false;
      return { state: "unknown", evidence: "no_traffic" };
    }
    if (now - this.failureFreeSince < this.requiredRecoveryMs)
      return { state: "degraded", evidence: "recovering" };
    this.hasBeenDown = false;
    return this.isSlow ? { state: "degraded", evidence: "slow" } : { state: "up", evidence: "delivered" };
  }
}
