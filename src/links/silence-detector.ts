/**
 * Detects missing traffic: heartbeats of owned shards' workers, and health checks of the users' load balancer. Time is
 * that of the stall-aware clock, except for the age of peers' views.
 */
import type { SteadyClock } from "../runtime/clock.js";
import { HeartbeatRate } from "./heartbeat-rate.js";
import type { LinkTable } from "./link-table.js";
import type { LinkName } from "./model.js";
import type { PeerViews } from "./peer-views.js";
import { misroutedWorkersSeenBy, type OwnedShardStatus } from "./remediation.js";
import type { LinkTimings } from "./settings.js";
import type { StallAwareClock } from "./stall-aware-clock.js";

/** The fraction of owned machines that peers must report as misrouted before responses count as lost. */
const LOST_RESPONSES_FRACTION = 0.5;

/** Dependencies of a `SilenceDetector`. */
export interface SilenceDetectorDependencies {
  readonly clock: SteadyClock;
  readonly stallAwareClock: StallAwareClock;
  readonly table: LinkTable;
  readonly views: PeerViews;
  readonly timings: LinkTimings;
  /** The users' load balancer counts as silent after this time without a health check, in milliseconds. */
  readonly usersSilenceMs: number;
}

/** Records missing traffic as failures of the workers' and the users' links. */
export class SilenceDetector {
  private readonly heartbeatRate: HeartbeatRate;
  /** Whether most workers of the owned shards are misrouted to peers although this controller responds to them. */
  private areResponsesLost = false;
  /** When this controller began to expect heartbeats; null while it owns no machines. */
  private workersExpectedSince: number | null = null;

  constructor(private readonly dependencies: SilenceDetectorDependencies) {
    this.heartbeatRate = new HeartbeatRate(dependencies.timings.heartbeatIntervalMs);
  }

  /** Whether responses to workers do not arrive. */
  get hasLostResponses(): boolean {
    return this.areResponsesLost;
  }

  /** Records a heartbeat of an owned shard's worker. */
  recordHeartbeat(): void {
    this.heartbeatRate.record();
  }

  /** Discards counts and failures while this process is delayed itself, since missing traffic then proves nothing. */
  reset(): void {
    const { stallAwareClock, table } = this.dependencies;
    const now = stallAwareClock.now();
    this.areResponsesLost = false;
    this.heartbeatRate.reset(now);
    for (const { link, tracker } of table.all())
      if (link === "workers" || link === "users") tracker.clearFailures(now);
  }

  /** Records links that have been silent for too long. Call at every tick. */
  check(shards: readonly OwnedShardStatus[]): void {
    this.checkWorkers(shards);
    this.checkUsers();
  }

  /** Workers of owned shards should send heartbeats to this controller and not to peers. */
  private checkWorkers(shards: readonly OwnedShardStatus[]): void {
    const { stallAwareClock, table, timings } = this.dependencies;
    const now = stallAwareClock.now();
    const machines = shards.reduce((sum, shard) => sum + shard.machines, 0);
    const misrouted = shards.reduce((sum, shard) => sum + this.countMisrouted(shard), 0);
    this.heartbeatRate.update(now, machines);
    // Peers may also receive late copies of heartbeats, but then heartbeats still arrive here at the normal rate.
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

  /** A load balancer that has sent health checks before should continue to send them. */
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
