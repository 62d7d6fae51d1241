/** The state of a machine in memory at its shard's owner: heartbeats, placements and health. */
import { MAX_TASKS_PER_MACHINE, type TaskStatus } from "../wire/index.js";
import type { MachineRecord } from "./machine-records.js";
import type { Placement } from "./placement.js";
import { addResources, subtractResources, type Resources } from "./resources.js";

/** A machine of the shard. All instants are steady time in milliseconds. */
export class Machine {
  // Tasks and images: written by reconciliation, except for `placements`.

  /** Attempts that may still be on the machine; changed by `attach` and `detach`. */
  readonly placements = new Set<Placement>();
  /** Reported tasks that match no known attempt and are being stopped, as "job/index". */
  orphanTasks = new Set<string>();
  /** The number of tasks in the last reconciled heartbeat; used to check that a drained machine is empty. */
  private reportedTaskCount = 0;
  /** How many of them have exited: the worker keeps them in its heartbeats until it is told to forget them. */
  private exitedTaskCount = 0;
  /** Images that the machine is known to have pulled, because a task that uses them has run there. */
  readonly images = new Set<string>();
  /** Since when, and for how many consecutive heartbeats, the machine has been empty; also reset by the shard. */
  emptySince: number | null = null;
  emptyHeartbeats = 0;

  // Heartbeats: written by reconciliation.

  /** Whether a heartbeat has shown that the worker's highest token is one of this owner's term. */
  followsTerm = false;
  /** The epoch and sequence number of the last heartbeat. */
  epoch = 0;
  sequence = 0;
  /** When the first heartbeat of the epoch was received. */
  epochSince = -Infinity;
  /** When the most recent responses in the epoch were sent, oldest first. */
  readonly responseTimes: number[] = [];
  /** When responses were first found not to reach the worker; null while they reach it. */
  responsesLostSince: number | null = null;
  /** When the first heartbeat in this owner's term was received. */
  firstHeartbeatAt: number | null = null;
  /** When the last heartbeat was received whose response may have renewed the worker's lease. */
  lastHeartbeatAt: number | null = null;
  /** Seconds until the cloud interrupts the machine, as of the last heartbeat; null without a notice. */
  interruptionNoticeS: number | null = null;
  /** When the worker's lease was found to have expired; null while it may be valid. Also written by the shard. */
  leaseExpiredAt: number | null = null;

  // Scheduling: written by the shard.

  /** Whether an earlier owner may have started tasks on the machine that no heartbeat has reported yet. */
  isUnreconciled = false;
  /** The instant before which no task may be placed on the machine. */
  notBefore = -Infinity;
  /** Whether the machine is being transferred or drained, so that no task may be placed on it. */
  isRemovalPending = false;
  /** Whether placement is suspended until the machine is empty for another shard. Written by the shard's cordons. */
  isCordoned = false;

  // Failures and speed: written by the shard's failure tracker and speed tracker.

  /** Jobs that failed on the machine since a task last succeeded there, by id. */
  readonly failedJobs = new Set<string>();
  isQuarantined = false;
  /** The run time of tasks on the machine relative to other tasks of their jobs: 1 means equally long. */
  relativeRunTime = 1;
  /** The number of tasks from which `relativeRunTime` is computed. */
  comparedTaskCount = 0;
  /** Whether tasks take much longer on the machine than elsewhere, so that it is filled last. */
  isSlow = false;

  private usedSum: Resources = { cpus: 0, gpus: 0, memoryGb: 0 };

  constructor(
    readonly host: string,
    /** Replaced by the shard when the record changes. */
    public record: MachineRecord,
    readonly addedAt: number,
  ) {}

  /** Whether the worker follows this owner's term and its lease may be valid. */
  get isUp(): boolean {
    return this.followsTerm && this.leaseExpiredAt === null;
  }

  /**
   * Whether an epoch has ended since responses were found to be lost. The earlier tasks have then ended with the
   * worker's lease, and no new task can start.
   */
  get hasLostResponses(): boolean {
    return this.responsesLostSince !== null && this.epochSince >= this.responsesLostSince;
  }

  /** Whether new tasks may be placed on the machine. */
  get isSchedulable(): boolean {
    return this.isHealthy && !this.isCordoned;
  }

  /** Whether the machine is up and recorded as up, receives responses, is not quarantined and is not to be removed. */
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

  /** How many more tasks may be placed on the machine, so that its heartbeats can list all of them. */
  get freeTaskSlots(): number {
    return MAX_TASKS_PER_MACHINE - this.placements.size - this.orphanTasks.size - this.exitedTaskCount;
  }

  /** Counts the tasks in the last reconciled heartbeat; none once they are proven to have ended. */
  recordReportedTasks(tasks: readonly TaskStatus[]): void {
    this.reportedTaskCount = tasks.length;
    this.exitedTaskCount = tasks.filter(({ state }) => state === "exited").length;
  }

  /** Whether the machine has no task according to both the placements and the last heartbeat. */
  get isEmpty(): boolean {
    return this.placements.size === 0 && this.orphanTasks.size === 0 && this.reportedTaskCount === 0;
  }

  /** The resources used by all placements; maintained incrementally so that no heartbeat has to sum them. */
  usedResources(): Readonly<Resources> {
    return this.usedSum;
  }

  /** Adds an attempt; does nothing if it has been added already. */
  attach(placement: Placement): void {
    if (this.placements.has(placement)) return;
    this.placements.add(placement);
    addResources(this.usedSum, placement.job.spec);
  }

  /** Removes an attempt; does nothing if it is not on the machine. */
  detach(placement: Placement): void {
    if (!this.placements.delete(placement)) return;
    // Floating-point errors accumulate in the sum; it is reset to exactly zero when the machine has no placement.
    if (this.placements.size === 0) this.usedSum = { cpus: 0, gpus: 0, memoryGb: 0 };
    else subtractResources(this.usedSum, placement.job.spec);
  }
}
