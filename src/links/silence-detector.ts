/**
 * Notices expected traffic that does not come: heartbeats of owned shards' workers, and health checks of the users' load
 * balancer. Time is that of the stall-aware clock, except for the age of peers' views.
 */
import type { SteadyClock } from "../runtime/clock.js";
import { HeartbeatRate } from "./heartbeat-rate.js";
import type { LinkTable } from "./link-table.js";
import type { LinkName } from "./model.js";
import type { PeerViews } from "./peer-views.js";
import { misroutedWorkersSeenBy, type OwnedShardStatus } from "./remediation.js";
import type { LinkTimings } from "./settings.js";
import type { StallAwareClock } from "./stall-aware-clock.js";

/** The fraction of a shard's machines that must turn to peers before responses count as lost. */
const LOST_RESPONSES_FRACTION = 0.5;

/** What a silence detector is made from. */
export interface SilenceDetectorDependencies {
  readonly clock: SteadyClock;
  readonly stallAwareClock: StallAwareClock;
  readonly table: LinkTable;
  readonly views: PeerViews;
  readonly timings: LinkTimings;
  /** Without a health check for so long, the users' load balancer counts as silent; milliseconds. */
  readonly usersSilenceMs: number;
}

/** Turns missing traffic into failures of the workers' and the users' links. */
export class SilenceDetector {
  private readonly heartbeatRate: HeartbeatRate;
  /** Whether most workers of the owned shards turn to peers, although they are answered here. */
  private areResponsesLost = false;
  /** Since when workers have been expected to send heartbeats. */
  private workersExpectedSince: number | null = null;

  constructor(private readonly dependencies: SilenceDetectorDependencies) {
    this.heartbeatRate = new HeartbeatRate(dependencies.timings.heartbeatIntervalMs);
  }

  /** Whether responses to workers are found not to arrive. */
  get hasLostResponses(): boolean {
    return this.areResponsesLost;
  }

  /** A heartbeat of an owned shard's worker came in. */
  recordHeartbeat(): void {
    this.heartbeatRate.record();
  }

  /** While this process is late itself, missing traffic proves nothing; counting starts anew once it is in time. */
  reset(): void {
    const { stallAwareClock, table } = this.dependencies;
    const now = stallAwareClock.now();
    this.areResponsesLost = false;
    this.heartbeatRate.reset(now);
    for (const { link, tracker } of table.all())
      if (link === "workers" || link === "users") tracker.clearFailures(now);
  }

  /** Records what has been silent for too long; to be called at every tick. */
  check(shards: readonly OwnedShardStatus[]): void {
    this.checkWorkers(shards);
    this.checkUsers();
  }

  /** Workers of owned shards are expected to send heartbeats, and to stay with this controller. */
  private checkWorkers(shards: readonly OwnedShardStatus[]): void {
    const { stallAwareClock, table, timings } = this.dependencies;
    const now = stallAwareClock.now();
    const machines = shards.reduce((sum, shard) => sum + shard.machines, 0);
    const misrouted = shards.reduce((sum, shard) => sum + this.countMisrouted(shard), 0);
    this.heartbeatRate.update(now, machines);
    // Late copies of heartbeats reach peers as well, but they do not keep a worker from reporting here as often as ever.
    this.areResponsesLost =
      machines > 0 && this.heartbeatRate.isSparse && misrouted >= LOST_RESPONSES_FRACTION * machines;
    if (this.areResponsesLost) table.tracker("workers", "outbound")?.recordFailure(now, "answers_lost");
    if (machines === 0) this.workersExpectedSince = null;
    else this.workersExpectedSince ??= now;
    if (this.workersExpectedSince !== null)
      this.recordSilence("workers", this.workersExpectedSince, timings.silenceMs);
  }

  private countMisrouted(shard: OwnedShardStatus): number {
    const views = this.dependencies.views.current(this.dependencies.clock());
    return Math.max(0, ...views.map((view) => misroutedWorkersSeenBy(view, shard)));
  }

  /** A load balancer that has asked before is expected to go on asking. */
  private checkUsers(): void {
    const { table, usersSilenceMs } = this.dependencies;
    const lastDeliveredAt = table.tracker("users", "inbound")?.lastDeliveredAt ?? -Infinity;
    if (lastDeliveredAt !== -Infinity) this.recordSilence("users", lastDeliveredAt, usersSilenceMs);
  }

  private recordSilence(link: LinkName, expectedSince: number, silenceMs: number): void {
    const tracker = this.dependencies.table.tracker(link, "inbound");
    const now = this.dependencies.stallAwareClock.now();
    if (tracker === undefined) return;
    const silentSince = Math.max(expectedSince, tracker.lastDeliveredAt) + silenceMs;
    if (now >= silentSince) tracker.recordFailure(now, "silent", silentSince);
  }
}
