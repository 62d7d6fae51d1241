/**
 * The evidence about one direction of one link, and the state that follows from it. Deterministic: time comes in as an
 * argument, and is the time that this process was awake, so that a stall of its own is not taken for silence.
 */
import type { Evidence, FailureCause, LinkState } from "./model.js";
import type { LinkTimings } from "./settings.js";

/** A single lost call proves little: a packet may be lost, and an answer late. */
const MIN_FAILURES = 2;

/** How much one answer moves the share of slow ones. */
const SLOW_WEIGHT = 0.2;
const SLOW_ABOVE = 0.6;
const SLOW_BELOW = 0.3;

/** Timings that one track goes by. */
export type TrackTimings = Pick<
  LinkTimings,
  "downAfterMs" | "recoverMs" | "recoverBoundMs" | "flapWindowMs" | "quietMs" | "forgetMs" | "slowMs"
>;

/** A run of failures without a success in between. */
interface FailureRun {
  since: number;
  last: number;
  count: number;
  cause: FailureCause;
}

/** What a review of the evidence comes to. */
interface Assessment {
  state: LinkState;
  evidence: Evidence;
}

/** Collects evidence and derives a state from it, with hysteresis. */
export class DirectionTrack {
  state: LinkState = "unknown";
  evidence: Evidence = "no_traffic";
  private deliveredAt = -Infinity;
  /** Since when nothing has failed. */
  private cleanSince = -Infinity;
  private failures: FailureRun | null = null;
  private slowShare = 0;
  private slow = false;
  /** When this was last down. */
  private downUntil = -Infinity;
  /** How many times in a row it has gone down soon after a recovery. */
  private flaps = 0;
  private wasDown = false;

  constructor(private readonly timings: TrackTimings) {}

  /** Traffic passed. */
  delivered(now: number): void {
    if (this.failures !== null) {
      this.failures = null;
      this.cleanSince = now;
    }
    this.deliveredAt = now;
  }

  /** An answer came, after so long. */
  answered(now: number, latencyMs: number): void {
    this.delivered(now);
    const slow = latencyMs > this.timings.slowMs ? 1 : 0;
    this.slowShare += SLOW_WEIGHT * (slow - this.slowShare);
    if (this.slowShare > SLOW_ABOVE) this.slow = true;
    if (this.slowShare < SLOW_BELOW) this.slow = false;
  }

  /** Traffic was lost or refused; `since` tells when it should have passed, if that was earlier. */
  failed(now: number, cause: FailureCause, since = now): void {
    if (this.failures === null) this.failures = { since, last: now, count: 1, cause };
    else {
      this.failures.count++;
      this.failures.last = now;
      this.failures.cause = cause;
    }
  }

  /** What was missed so far may be this process's own delay: only what fails from now on counts. */
  forgetFailures(now: number): void {
    if (this.failures === null) return;
    this.failures = null;
    this.cleanSince = now;
  }

  /** Whether nothing has been learned for half of the time after which the state is unknown: time for a probe. */
  wantsProbe(now: number): boolean {
    return now - this.lastEvidenceAt >= this.timings.quietMs / 2;
  }

  /** When traffic last passed. */
  get lastDeliveredAt(): number {
    return this.deliveredAt;
  }

  /** Derives the state from the evidence so far; true where it has changed. */
  review(now: number): boolean {
    const { state, evidence } = this.assess(now);
    if (state === "down" && this.state !== "down") this.enterDown(now);
    if (state === "down") this.downUntil = now;
    const changed = state !== this.state;
    this.state = state;
    this.evidence = evidence;
    return changed;
  }

  /** Whether it fails now, or did lately. */
  get inDoubt(): boolean {
    return this.failures !== null || this.wasDown;
  }

  /** How long it must work without a failure to count as up again. */
  get recoveryMs(): number {
    return Math.min(this.timings.recoverBoundMs, this.timings.recoverMs * 2 ** this.flaps);
  }

  private get lastEvidenceAt(): number {
    return Math.max(this.deliveredAt, this.failures?.last ?? -Infinity);
  }

  /** Guards against work that wanders: each failure soon after a recovery makes the next recovery take longer. */
  private enterDown(now: number): void {
    this.wasDown = true;
    const flapping = now - this.downUntil < this.timings.flapWindowMs + this.recoveryMs;
    if (!flapping) this.flaps = 0;
    else if (this.recoveryMs < this.timings.recoverBoundMs) this.flaps++;
  }

  private assess(now: number): Assessment {
    const sinceEvidence = now - this.lastEvidenceAt;
    if (this.wasDown) return this.assessRecovery(now, sinceEvidence);
    if (sinceEvidence >= this.timings.quietMs) return { state: "unknown", evidence: "no_traffic" };
    if (this.failures !== null) return this.assessFailures(now, this.failures);
    return this.slow ? { state: "degraded", evidence: "slow" } : { state: "up", evidence: "delivered" };
  }

  private assessFailures(now: number, run: FailureRun): Assessment {
    const lasting = now - run.since >= this.timings.downAfterMs && run.count >= MIN_FAILURES;
    return { state: lasting ? "down" : "degraded", evidence: run.cause };
  }

  /** Down stays down until traffic passes, and counts as up only once it has passed for a while. */
  private assessRecovery(now: number, sinceEvidence: number): Assessment {
    if (this.failures !== null && sinceEvidence < this.timings.forgetMs) {
      const { state, evidence } = this.assessFailures(now, this.failures);
      return { state: this.state === "down" ? "down" : state, evidence };
    }
    if (sinceEvidence >= this.timings.quietMs) {
      this.wasDown = false;
      return { state: "unknown", evidence: "no_traffic" };
    }
    if (now - this.cleanSince < this.recoveryMs) return { state: "degraded", evidence: "recovering" };
    this.wasDown = false;
    return this.slow ? { state: "degraded", evidence: "slow" } : { state: "up", evidence: "delivered" };
  }
}
