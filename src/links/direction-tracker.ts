/**
 * The evidence about one direction of one link, and the state that follows from it. Deterministic: time comes in as an
 * argument, and is the time that this process was awake, so that a stall of its own is not taken for silence.
 */
import type { Evidence, FailureCause, LinkState } from "./model.js";
import type { LinkTimings } from "./settings.js";

/** A single lost call proves little: a packet may be lost, and an answer late. */
const MIN_FAILURES = 2;

/** How much one answer moves the share of slow ones. */
const SLOW_AVERAGE_WEIGHT = 0.2;
const SLOW_ENTER_FRACTION = 0.6;
const SLOW_EXIT_FRACTION = 0.3;

/** Timings that one track goes by. */
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

/** A run of failures without a success in between. */
interface FailureRun {
  startedAt: number;
  lastAt: number;
  count: number;
  cause: FailureCause;
}

/** What a review of the evidence comes to. */
interface Assessment {
  state: LinkState;
  evidence: Evidence;
}

/** Collects evidence and derives a state from it, with hysteresis. */
export class DirectionTracker {
  state: LinkState = "unknown";
  evidence: Evidence = "no_traffic";
  private deliveredAt = -Infinity;
  /** Since when nothing has failed. */
  private failureFreeSince = -Infinity;
  private failures: FailureRun | null = null;
  private slowFraction = 0;
  private slow = false;
  /** When this was last down. */
  private lastDownAt = -Infinity;
  /** How many times in a row it has gone down soon after a recovery. */
  private flapCount = 0;
  private hasBeenDown = false;

  constructor(private readonly timings: TrackerTimings) {}

  /** Traffic passed. */
  recordDelivery(now: number): void {
    if (this.failures !== null) {
      this.failures = null;
      this.failureFreeSince = now;
    }
    this.deliveredAt = now;
  }

  /** An answer came, after so long. */
  recordAnswer(now: number, latencyMs: number): void {
    this.recordDelivery(now);
    const slow = latencyMs > this.timings.slowThresholdMs ? 1 : 0;
    this.slowFraction += SLOW_AVERAGE_WEIGHT * (slow - this.slowFraction);
    if (this.slowFraction > SLOW_ENTER_FRACTION) this.slow = true;
    if (this.slowFraction < SLOW_EXIT_FRACTION) this.slow = false;
  }

  /** Traffic was lost or refused; `since` tells when it should have passed, if that was earlier. */
  recordFailure(now: number, cause: FailureCause, since = now): void {
    if (this.failures === null) this.failures = { startedAt: since, lastAt: now, count: 1, cause };
    else {
      this.failures.count++;
      this.failures.lastAt = now;
      this.failures.cause = cause;
    }
  }

  /** What was missed so far may be this process's own delay: only what fails from now on counts. */
  clearFailures(now: number): void {
    if (this.failures === null) return;
    this.failures = null;
    this.failureFreeSince = now;
  }

  /** Whether nothing has been learned for half of the time after which the state is unknown: time for a probe. */
  needsProbe(now: number): boolean {
    return now - this.lastEvidenceAt >= this.timings.quietMs / 2;
  }

  /** When traffic last passed. */
  get lastDeliveredAt(): number {
    return this.deliveredAt;
  }

  /** Derives the state from the evidence so far; true where it has changed. */
  evaluate(now: number): boolean {
    const { state, evidence } = this.assess(now);
    if (state === "down" && this.state !== "down") this.enterDown(now);
    if (state === "down") this.lastDownAt = now;
    const changed = state !== this.state;
    this.state = state;
    this.evidence = evidence;
    return changed;
  }

  /** Whether it fails now, or did lately. */
  get isFailingOrRecovering(): boolean {
    return this.failures !== null || this.hasBeenDown;
  }

  /** How long it must work without a failure to count as up again. */
  get requiredRecoveryMs(): number {
    return Math.min(this.timings.maxRecoverMs, this.timings.recoverMs * 2 ** this.flapCount);
  }

  private get lastEvidenceAt(): number {
    return Math.max(this.deliveredAt, this.failures?.lastAt ?? -Infinity);
  }

  /** Guards against work that wanders: each failure soon after a recovery makes the next recovery take longer. */
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
    return this.slow ? { state: "degraded", evidence: "slow" } : { state: "up", evidence: "delivered" };
  }

  private assessFailures(now: number, run: FailureRun): Assessment {
    const isSustained = now - run.startedAt >= this.timings.downAfterMs && run.count >= MIN_FAILURES;
    return { state: isSustained ? "down" : "degraded", evidence: run.cause };
  }

  /** Down stays down until traffic passes, and counts as up only once it has passed for a while. */
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
    return this.slow ? { state: "degraded", evidence: "slow" } : { state: "up", evidence: "delivered" };
  }
}
