/** Drives placement for one shard: keeps the queue and the reservations from round to round, and starts tasks. */
import { type QueueEntry, buildQueue } from "../placement/job-queue.js";
import type { PlacementInput } from "../placement/scheduling-context.js";
import { attach, newPlacement } from "../workers/placement.js";
import type { Job } from "../workers/job.js";
import type { Machine } from "../workers/machine.js";
import type { Settings } from "../config/settings.js";
import { placeOnMachine, placeRound, type PlacementRound } from "../placement/placement-round.js";
import { measureLoad } from "../placement/shard-summary.js";
import type { SteadyClock } from "../runtime/clock.js";
import type { Logger } from "../runtime/log.js";
import type { MachineType, WorkerCommand } from "../wire/index.js";
import { AttemptNumbers } from "./attempt-numbers.js";
import { ImageHolders } from "./image-holders.js";
import type { JobTable } from "./job-table.js";
import type { MachineTable } from "./machine-table.js";
import { PreemptionReservations } from "./preemption-reservations.js";
import type { QuotaReservations } from "./quota-reservations.js";
import type { SpeedTracker } from "./speed-tracker.js";

/** With more than this fraction of its processors free a shard has spare capacity. */
const SPARE_CAPACITY_FRACTION = 1 / 8;

/** What the placement of one shard is made from. */
export interface PlacementSchedulerDependencies {
  readonly shard: number;
  /** The fencing token with which this owner's term began. */
  readonly termToken: number;
  readonly settings: Settings;
  readonly types: () => Map<string, MachineType>;
  readonly jobs: JobTable;
  readonly machines: MachineTable;
  readonly quotaReservations: QuotaReservations;
  readonly speeds: SpeedTracker;
  readonly log: Logger;
}

/** Places the waiting tasks of one shard. */
export class PlacementScheduler {
  readonly attempts = new AttemptNumbers();
  /** Machines on which tasks were preempted for a job, and until when they are reserved for it. */
  readonly preemptionReservations = new PreemptionReservations();
  /** The waiting jobs in the order of the last full round. */
  private queue: QueueEntry[] = [];
  /** The job at which the last full round ran out of time. */
  private resumeAtJob: string | null = null;
  private hasSpareCapacity = false;
  private starvationReservations = new Map<Machine, Job>();
  private readonly imageHolders = new ImageHolders();

  constructor(private readonly dependencies: PlacementSchedulerDependencies) {}

  /**
   * Whether a heartbeat should lead to a full round: jobs were added since the last one, or there is spare capacity.
   * With spare capacity the machine whose heartbeat comes next is not the best one: tasks are packed onto full
   * machines, so that the others run empty and can be returned.
   */
  get needsFullRound(): boolean {
    return this.dependencies.jobs.hasNewJobs || this.hasSpareCapacity;
  }

  /** A full round over the shard until steady time `deadline`; returns how many tasks were placed. */
  place(token: number, now: number, clock: SteadyClock, deadline: number): number {
    this.dependencies.jobs.hasNewJobs = false;
    // Most rounds find nothing to place: they must not cost a pass over every machine of a large shard.
    const input = this.hasWaitingTasks() ? this.placementInput(now) : null;
    this.queue = input === null ? [] : buildQueue(input);
    if (input === null || this.queue.length === 0) {
      this.starvationReservations = new Map();
      this.resumeAtJob = null;
      return 0;
    }
    this.imageHolders.recount(this.dependencies.machines.byHost.values());
    const round = placeRound(input, this.queue, clock, deadline);
    this.resumeAtJob = round.resumeAtJob;
    const started = this.applyRound(round, token, now);
    const load = measureLoad(input);
    this.hasSpareCapacity = load.cpus - load.usedCpus > SPARE_CAPACITY_FRACTION * load.cpus;
    return started;
  }

  /** Offers the free capacity of a machine that has just reported to the queue; returns how many tasks were placed. */
  placeOnMachine(host: string, token: number, now: number): number {
    const machine = this.dependencies.machines.byHost.get(host);
    if (machine === undefined || !machine.isSchedulable || this.queue.length === 0) return 0;
    // Jobs accepted since the last full round are served from the next one on, in their order.
    const hasEnoughImageHolders = (job: Job): boolean =>
      this.imageHolders.canHoldWaiting(job, this.dependencies.types().get(machine.record.type));
    const input = this.placementInput(now);
    return this.applyRound(placeOnMachine(machine, this.queue, input, hasEnoughImageHolders), token, now);
  }

  /** The commands for what was placed on a machine since its heartbeat was reconciled. */
  startCommands(host: string): WorkerCommand[] {
    const machine = this.dependencies.machines.byHost.get(host);
    if (!machine?.followsTerm) return [];
    return [...machine.placements]
      .filter(({ state, stop, job }) => state === "assigned" && !stop && !job.isTerminating)
      .map(({ job, index, attempt }) => ({ op: "start", job: job.spec.id, index, attempt }));
  }

  /** What decisions about the shard are made on; `now` is steady time in milliseconds. */
  placementInput(now: number): PlacementInput {
    const { jobs, machines, types, settings, speeds, termToken, quotaReservations } = this.dependencies;
    return {
      jobs: [...jobs.byId.values()],
      machines: [...machines.byHost.values()],
      types: types(),
      teams: settings.teams,
      objectives: settings.objectives,
      wallNow: Date.now(),
      runtimeRatio: (className: string) => speeds.ratio(className),
      now,
      recovered: machines.isReconciled,
      termToken,
      reservedQuota: quotaReservations.usage,
      resumeAtJob: this.resumeAtJob,
      starvationReservations: this.starvationReservations,
      preemptionReservations: this.preemptionReservations.active(now),
    };
  }

  /** The machine was removed from the shard. */
  machineRemoved(machine: Machine): void {
    this.starvationReservations.delete(machine);
    this.preemptionReservations.release(machine);
  }

  private hasWaitingTasks(): boolean {
    for (const job of this.dependencies.jobs.byId.values()) if (job.waitingCount > 0) return true;
    return false;
  }

  private applyRound(round: PlacementRound, token: number, now: number): number {
    const { shard, log } = this.dependencies;
    this.starvationReservations = round.reservations;
    for (const { job, index, machine } of round.starts) {
      const placement = newPlacement(job, index, this.attempts.next(token), machine, now);
      if (!job.hasStarted) this.logJobStart(job);
      attach(placement);
      machine.emptySince = null;
      machine.emptyHeartbeats = 0;
    }
    if (round.starts.length > 0) log.debug({ shard, starts: round.starts.length }, "tasks placed");
    return round.starts.length;
  }

  private logJobStart(job: Job): void {
    const waitedS = Math.round((Date.now() - job.acceptedAt) / 1000);
    this.dependencies.log.info({ job: job.spec.id, tasks: job.spec.tasks, waitedS }, "job started");
  }
}
