/** Limits how often the owner of one shard runs full placement rounds and searches for tasks to preempt. */
import type { SteadyClock } from "../runtime/clock.js";
import type { Shard } from "./shard.js";
import type { ShardOwnerTimings } from "./shard-owner-messages.js";

/** The fraction of time, approximately, that full rounds triggered by heartbeats may take. */
const ROUND_TIME_FRACTION = 1 / 8;

/** The shard, time limits and clock that the throttle depends on. */
export interface RoundThrottleDependencies {
  readonly shard: Shard;
  readonly timings: Pick<ShardOwnerTimings, "roundBudgetMs" | "minPreemptionIntervalMs">;
  readonly clock: SteadyClock;
}

/** Runs placement rounds and preemption searches of one shard, and skips those that are not due. */
export class RoundThrottle {
  /** Steady time in milliseconds before which heartbeats do not trigger a full round. */
  private nextRoundAt = -Infinity;
  private lastPreemptionAt = -Infinity;
  private readonly shard: Shard;
  private readonly timings: RoundThrottleDependencies["timings"];
  private readonly clock: SteadyClock;

  constructor({ shard, timings, clock }: RoundThrottleDependencies) {
    this.shard = shard;
    this.timings = timings;
    this.clock = clock;
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
    const placed = this.shard.place(token, startedAt, this.clock, deadlineAt) > 0;
    const endedAt = this.clock();
    // In a large shard a full round at every heartbeat would leave little time for anything else.
    this.nextRoundAt = endedAt + (endedAt - startedAt) / ROUND_TIME_FRACTION;
    return placed;
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
