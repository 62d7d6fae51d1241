/** Limits how often one shard's owner makes full placement rounds and looks for tasks to preempt. */
import type { SteadyClock } from "../runtime/clock.js";
import type { Shard } from "./shard.js";
import type { ShardOwnerTimings } from "./shard-owner-messages.js";

/** Full rounds that heartbeats lead to take at most about this fraction of the time. */
const ROUND_TIME_FRACTION = 1 / 8;

/** What the throttle of one shard's rounds is made from. */
export interface RoundThrottleDependencies {
  readonly shard: Shard;
  readonly timings: Pick<ShardOwnerTimings, "roundBudgetMs" | "minPreemptionIntervalMs">;
  readonly clock: SteadyClock;
}

/** Makes the placement rounds of one shard. */
export class RoundThrottle {
  /** Steady time in milliseconds before which no heartbeat leads to a full round. */
  private nextRoundAt = -Infinity;
  private lastPreemptAt = -Infinity;
  private readonly shard: Shard;
  private readonly timings: RoundThrottleDependencies["timings"];
  private readonly clock: SteadyClock;

  constructor({ shard, timings, clock }: RoundThrottleDependencies) {
    this.shard = shard;
    this.timings = timings;
    this.clock = clock;
  }

  /** Places after a heartbeat: a full round if one is due, else on the machine alone. Returns whether tasks were placed. */
  placeAtHeartbeat(host: string, token: number, now: number): boolean {
    if (this.shard.needsFullRound && now >= this.nextRoundAt) return this.place(token);
    return this.shard.placeOnMachine(host, token, now) > 0;
  }

  /** A full placement round; returns whether tasks were placed. */
  place(token: number): boolean {
    const startedAt = this.clock();
    const deadline = startedAt + this.timings.roundBudgetMs;
    const placed = this.shard.place(token, startedAt, this.clock, deadline) > 0;
    const endedAt = this.clock();
    // Guards against a large shard whose every heartbeat leads to a full round: it would have time for little else.
    this.nextRoundAt = endedAt + (endedAt - startedAt) / ROUND_TIME_FRACTION;
    return placed;
  }

  /** Looks for tasks to preempt, once the last ones that were chosen could have been seen stopped. */
  preempt(now: number): void {
    if (now - this.lastPreemptAt < this.timings.minPreemptionIntervalMs) return;
    this.lastPreemptAt = now;
    this.shard.preempt(now, this.clock, this.clock() + this.timings.roundBudgetMs);
  }
}
