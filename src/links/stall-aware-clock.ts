/**
 * Time that this process was awake for. A process that stood still, or has too little processor time for what comes in, has
 * missed traffic that did arrive, so that its own delays must not count as anybody's silence.
 */
import type { SteadyClock } from "../runtime/clock.js";
import type { LinkTimings } from "./settings.js";

/** Ticks that come so many times later than they should, on average, show that the process is short of processor time. */
const STARVATION_RATIO = 1.5;
/** How much one tick moves the average. */
const TICK_RATIO_WEIGHT = 0.3;

/** Advances with the steady clock, but no further over a stall than a late tick takes. */
export class StallAwareClock {
  private runningMs = 0;
  private lastTickAt: number;
  /** The fading mean of gaps between ticks, as a ratio to the wanted one. */
  private meanTickRatio = 1;
  private delayedUntil = -Infinity;

  constructor(
    private readonly clock: SteadyClock,
    private readonly timings: Pick<LinkTimings, "tickMs" | "stallMs" | "silenceMs">,
  ) {
    this.lastTickAt = clock();
  }

  /** The awake time now. */
  now(): number {
    return this.runningMs + Math.min(this.clock() - this.lastTickAt, this.timings.stallMs);
  }

  /** To be called at every tick. */
  tick(): void {
    const { tickMs, stallMs, silenceMs } = this.timings;
    const now = this.clock();
    const gap = now - this.lastTickAt;
    this.meanTickRatio += TICK_RATIO_WEIGHT * (Math.min(gap, stallMs) / tickMs - this.meanTickRatio);
    // For a while afterwards the process works off what has come meanwhile.
    if (gap > stallMs || this.meanTickRatio > STARVATION_RATIO) this.delayedUntil = now + silenceMs;
    this.runningMs += Math.min(gap, stallMs);
    this.lastTickAt = now;
  }

  /** Whether the process stood still, or was short of processor time, lately. */
  get isDelayed(): boolean {
    return this.clock() < this.delayedUntil;
  }
}
