/** A machine as the owner of its shard knows it: its worker's heartbeats, what is placed on it, and its condition. */
import type { TaskStatus } from "../wire/index.js";
import type { MachineRecord } from "./machine-records.js";
import type { Placement } from "./placement.js";
import { addResources, subtractResources, type Resources } from "./resources.js";

/** A machine of the shard. All instants are steady time in milliseconds. */
export class Machine {
  // What is on it.

  /** Attempts that are not proven gone; changed by `attach` and `detach`. */
  readonly placements = new Set<Placement>();
  /** Reported tasks that belong to no attempt known here, as "job/index": they are being stopped. By reconciliation. */
  orphanTasks = new Set<string>();
  /** The tasks of the last heartbeat that was reconciled; for the checks of a drain. By reconciliation. */
  reportedTasks: TaskStatus[] = [];
  /** Images that the machine has surely fetched, as a task that uses them has run there. By reconciliation. */
  readonly images = new Set<string>();
  /** Since when it has been empty, and in how many heartbeats in a row. By reconciliation; reset by the shard. */
  emptySince: number | null = null;
  emptyHeartbeats = 0;

  // Heartbeats: written by reconciliation.

  /** Whether a heartbeat has shown that the worker follows this owner's term. */
  followsTerm = false;
  /** The epoch and sequence number of the last heartbeat. */
  epoch = 0;
  sequence = 0;
  /** When the first heartbeat of the epoch came in. */
  epochSince = -Infinity;
  /** When the last responses in the epoch were sent. */
  readonly responseTimes: number[] = [];
  /** Since when responses have been found not to reach the worker; null while they do. */
  responsesLostSince: number | null = null;
  /** When the first heartbeat in this owner's term came in. */
  firstHeartbeatAt: number | null = null;
  /** When the last heartbeat came in whose response may have renewed the worker's lease. */
  lastHeartbeatAt: number | null = null;
  /** In how many seconds the cloud takes the machine away, by the last heartbeat; null without a notice. */
  interruptionNoticeS: number | null = null;
  /** When the worker's lease was found to have expired; null while it may hold. Written by the shard as well. */
  leaseExpiredAt: number | null = null;

  // Scheduling: written by the shard.

  /** Whether an earlier owner may have started tasks on it that no heartbeat has shown yet. */
  mayHaveUnreportedTasks = false;
  /** Before this nothing new may be placed here. */
  notBefore = -Infinity;
  /** Being transferred to another shard or drained: nothing new may be placed here. */
  isRemovalPending = false;
  /** To run empty for another shard: nothing new is placed here meanwhile. Written by the shard's cordons. */
  isCordoned = false;

  // Faults and speed: written by the shard's failure tracker and speed tracker.

  /** Jobs that failed here since a task last ended well, by id. */
  readonly failedJobs = new Set<string>();
  isQuarantined = false;
  /** How long tasks run here in relation to others of their jobs: 1 is as long. */
  relativeRunTime = 1;
  /** How many tasks that was computed from. */
  comparedTaskCount = 0;
  /** Whether tasks take much longer here than elsewhere: the machine is filled last. */
  isSlow = false;

  private usedSum: Resources = { cpus: 0, gpus: 0, memoryGb: 0 };

  constructor(
    readonly host: string,
    /** Replaced by the shard when the record changes. */
    public record: MachineRecord,
    readonly addedAt: number,
  ) {}

  /** Whether the worker follows this owner and its lease may hold. */
  get isUp(): boolean {
    return this.followsTerm && this.leaseExpiredAt === null;
  }

  /** Whether an epoch has ended since responses were found lost: what ran here is gone, and nothing new will start. */
  get hasLostResponses(): boolean {
    return this.responsesLostSince !== null && this.epochSince >= this.responsesLostSince;
  }

  /** Whether new tasks may be placed here. */
  get isSchedulable(): boolean {
    return this.isHealthy && !this.isCordoned;
  }

  /** Whether it is up, recorded as such, reached by responses and not about to be removed. */
  get isHealthy(): boolean {
    return (
      this.isUp &&
      this.record.hasReported &&
      !this.isRemovalPending &&
      !this.record.isDraining &&
      !this.isQuarantined &&
      this.responsesLostSince === null &&
      this.interruptionNoticeS === null
    );
  }

  /** Whether nothing is on it, by the placements as well as by the last heartbeat. */
  get isEmpty(): boolean {
    return this.placements.size === 0 && this.orphanTasks.size === 0 && this.reportedTasks.length === 0;
  }

  /** What its placements use together; kept, so that no heartbeat adds it up. */
  usedResources(): Readonly<Resources> {
    return this.usedSum;
  }

  /** Records an attempt; without effect if it is recorded already. */
  attach(placement: Placement): void {
    if (this.placements.has(placement)) return;
    this.placements.add(placement);
    addResources(this.usedSum, placement.job.spec);
  }

  /** Removes an attempt; without effect if it is not recorded. */
  detach(placement: Placement): void {
    if (!this.placements.delete(placement)) return;
    // Sums of fractions drift; an empty machine is exactly empty.
    if (this.placements.size === 0) this.usedSum = { cpus: 0, gpus: 0, memoryGb: 0 };
    else subtractResources(this.usedSum, placement.job.spec);
  }
}
