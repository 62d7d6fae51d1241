/** Executes remediations, with a backoff between two for the same cause. */
import type { SteadyClock } from "../runtime/clock.js";
import type { Logger } from "../runtime/log.js";
import { Backoff } from "./backoff.js";
import type { LinkTable } from "./link-table.js";
import type { PeerViews } from "./peer-views.js";
import { planRemediations, type OwnedShardStatus, type Remediation } from "./remediation.js";
import type { LinkTimings } from "./settings.js";

/** The backoff key of a resignation from leadership; the other keys are shards. */
const RESIGNATION = "leadership";

/** What the runner requires of the rest of the process. */
export interface RemediationCallbacks {
  isLeader(): boolean;
  /** Whether a controller holds a membership lease, according to the records. */
  isMember(node: string): boolean;
  handOver(shard: number, targetNode: string): void;
  resign(): void;
}

/** Dependencies of a `RemediationRunner`. */
export interface RemediationRunnerDependencies {
  readonly clock: SteadyClock;
  readonly table: LinkTable;
  readonly views: PeerViews;
  readonly timings: LinkTimings;
  readonly callbacks: RemediationCallbacks;
  readonly log: Logger;
}

/** Plans and executes remediations at every tick. */
export class RemediationRunner {
  private readonly backoff: Backoff<number | typeof RESIGNATION>;

  constructor(private readonly dependencies: RemediationRunnerDependencies) {
    const { moveBackoffMs, maxMoveBackoffMs } = dependencies.timings;
    this.backoff = new Backoff({ initialMs: moveBackoffMs, maxMs: maxMoveBackoffMs });
  }

  /** Whether a shard may be handed over because its workers reach a peer instead. If true, it counts as an attempt. */
  tryHandOver(shard: number): boolean {
    const now = this.dependencies.clock();
    if (!this.backoff.canAttempt(shard, now)) return false;
    this.backoff.recordAttempt(shard, now);
    return true;
  }

  /** Executes the remediations that the current diagnoses call for. */
  run(shards: OwnedShardStatus[]): void {
    const { clock, table, views, callbacks } = this.dependencies;
    const now = clock();
    const remediations = planRemediations({
      diagnosis: (link, direction) => table.diagnosis(link, direction),
      shards,
      isLeader: callbacks.isLeader(),
      peers: views.current(now).filter((view) => callbacks.isMember(view.node)),
      canHandOver: (shard) => this.backoff.canAttempt(shard, now),
      canResign: this.backoff.canAttempt(RESIGNATION, now),
    });
    for (const remediation of remediations) this.carryOut(remediation, now);
  }

  private carryOut(remediation: Remediation, now: number): void {
    const { callbacks, log } = this.dependencies;
    log.info({ ...remediation }, "remediation started for a lost link");
    switch (remediation.kind) {
      case "hand_over":
        this.backoff.recordAttempt(remediation.shard, now);
        callbacks.handOver(remediation.shard, remediation.to);
        return;
      case "resign":
        this.backoff.recordAttempt(RESIGNATION, now);
        callbacks.resign();
        return;
    }
  }
}
