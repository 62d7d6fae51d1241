/**
 * A clock that leaves out stalls of this process. A process that stalled, or is short of CPU time, has not yet
 * processed traffic that did arrive, so its own delays must not count as silence of others.
 */
import type { SteadyClock } from "../runtime/clock.js";
import type { LinkTimings } from "./settings.js";

/** The mean ratio of actual to configured tick intervals above which this process is short of CPU time. */
const STARVATION_RATIO = 1.5;
/** The weight of one tick in the moving average. */
const TICK_RATIO_WEIGHT = 0.3;

/** Advances with the steady clock, but by at most `stallMs` between two ticks. */
export class StallAwareClock {
  private runningMs = 0;
  private lastTickAt: number;
  /** The exponential moving average of the gap between ticks, as a ratio to `tickMs`. */
  private meanTickRatio = 1;
  private delayedUntil = -Infinity;

  constructor(
    private readonly clock: SteadyClock,
    private readonly timings: Pick<LinkTimings, "tickMs" | "stallMs" | "silenceMs">,
  ) {
    this.lastTickAt = clock();
  }

  /** The time that this process has been running without stalls, in milliseconds. */
  now(): number {
    return this.runningMs + Math.min(this.clock() - this.lastTickAt, this.timings.stallMs);
  }

  /** Advances the clock and updates the tick average. Call at every tick. */
  tick(): void {
    const { tickMs, stallMs, silenceMs } = this.timings;
    const now = this.clock();
    const gap = now - this.lastTickAt;
    this.meanTickRatio += TICK_RATIO_WEIGHT * (Math.min(gap, stallMs) / tickMs - this.meanTickRatio);
    // After a stall the process needs some time to process the traffic that arrived meanwhile.
    if (gap > stallMs || this.meanTickRatio > STARVATION_RATIO) this.delayedUntil = now + silenceMs;
    this.runningMs += Math.min(gap, stallMs);
    this.lastTickAt = now;
  }

  /** Whether this process recently stalled or was short of CPU time. */
  get isDelayed(): boolean {
    return this.clock() < this.delayedUntil;
  }
}
