/**
 * Time that this process was awake for. A process that stood still has missed traffic that did arrive, so that its own
 * stalls must not count as anybody's silence.
 */
import type { SteadyClock } from "../runtime/clock.js";

/** Advances with the steady clock, but no further over a stall than a late tick takes. */
export class AwakeClock {
  private awakeMs = 0;
  private lastTickAt: number;
  private stalledUntil = -Infinity;

  constructor(
    private readonly clock: SteadyClock,
    /** A gap between ticks of more than this is a stall. */
    private readonly stallMs: number,
    /** For so long after a stall the process works off what came meanwhile. */
    private readonly settleMs: number,
  ) {
    this.lastTickAt = clock();
  }

  /** The awake time now. */
  now(): number {
    return this.awakeMs + Math.min(this.clock() - this.lastTickAt, this.stallMs);
  }

  /** To be called at every tick. */
  tick(): void {
    const now = this.clock();
    const gap = now - this.lastTickAt;
    if (gap > this.stallMs) this.stalledUntil = now + this.settleMs;
    this.awakeMs += Math.min(gap, this.stallMs);
    this.lastTickAt = now;
  }

  /** Whether the process stood still lately. */
  get stalled(): boolean {
    return this.clock() < this.stalledUntil;
  }
}
