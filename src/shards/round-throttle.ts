/** Limits how often the owner of one shard runs full placement rounds and searches for tasks to preempt. */
import type { SteadyClock } from "../runtime/clock.js";
import type { Logger } from "../runtime/log.js";
import type { Shard } from "./shard.js";
import type { ShardOwnerTimings } from "./shard-owner-messages.js";

/** The fraction of time, approximately, that full rounds triggered by heartbeats may take. */
const ROUND_TIME_FRACTION = 1 / 8;

/** A round that takes this many times its budget is logged: nothing else ran meanwhile. */
const SLOW_ROUND_BUDGETS = 10;

/** The shard, time limits, clock and logger that the throttle depends on. */
export interface RoundThrottleDependencies {
  readonly shard: Shard;
  readonly timings: Pick<ShardOwnerTimings, "roundBudgetMs" | "minPreemptionIntervalMs">;
  readonly clock: SteadyClock;
  readonly log: Logger;
}

/** Runs placement rounds and preemption searches of one shard, and skips those that are not due. */
export class RoundThrottle {
  /** Steady time in milliseconds before which heartbeats do not trigger a full round. */
  private nextRoundAt = -Infinity;
  private lastPreemptionAt = -Infinity;
  private readonly shard: Shard;
  private readonly timings: RoundThrottleDependencies["timings"];
  private readonly clock: SteadyClock;
  private readonly log: Logger;

  constructor({ shard, timings, clock, log }: RoundThrottleDependencies) {
    this.shard = shard;
    this.timings = timings;
    this.clock = clock;
    this.log = log;
  }

  /**
   * Places tasks after a heartbeat: in a full round if one is needed and due, otherwise on the machine that sent it.
   * Returns whether tasks were placed.
   */
  placeAfterHeartbeat(host: string, token: number, now: number): boolean {
    if (this.shard.needsFullRound && now >= this.nextRoundAt) return this.place(token);
    return this.shard.placeOnMachine(host, token, now) > 0;
  }

  /** Runs a full placement round. Returns whether tasks were placed. */
  place(token: number): boolean {
    const startedAt = this.clock();
    const deadlineAt = startedAt + this.timings.roundBudgetMs;
    const starts = this.shard.place(token, startedAt, this.clock, deadlineAt);
    const endedAt = this.clock();
    const tookMs = endedAt - startedAt;
    if (tookMs > SLOW_ROUND_BUDGETS * this.timings.roundBudgetMs)
      this.log.info({ shard: this.shard.id, tookMs: Math.round(tookMs), starts }, "placement round was slow");
    // In a large shard a full round at every heartbeat would leave little time for anything else.
    this.nextRoundAt = endedAt + tookMs / ROUND_TIME_FRACTION;
    return starts > 0;
  }

  /**
   * Searches for tasks to preempt, at most once every `minPreemptionIntervalMs`, so that the tasks chosen by one search
   * have time to stop before the next one.
   */
  preempt(now: number): void {
    if (now - this.lastPreemptionAt < this.timings.minPreemptionIntervalMs) return;
    this.lastPreemptionAt = now;
    this.shard.preempt(now, this.clock, this.clock() + this.timings.roundBudgetMs);
  }
}
