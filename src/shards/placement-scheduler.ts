/** Runs the placement rounds of one shard, keeping its job queue and reservations between rounds. */
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

/** A shard has spare capacity if more than this fraction of its CPUs is free. */
const SPARE_CAPACITY_FRACTION = 1 / 8;

/** The state, settings and collaborators that placement in one shard depends on. */
export interface PlacementSchedulerDependencies {
  readonly shard: number;
  /** The shard's fencing token at the start of this owner's term. */
  readonly termToken: number;
  readonly settings: Settings;
  readonly types: () => Map<string, MachineType>;
  readonly jobs: JobTable;
  readonly machines: MachineTable;
  readonly quotaReservations: QuotaReservations;
  readonly speeds: SpeedTracker;
  readonly log: Logger;
}

/** Assigns the waiting tasks of one shard to its machines, in full rounds or on one machine after its heartbeat. */
export class PlacementScheduler {
  readonly attempts = new AttemptNumbers();
  /** Machines reserved for the job for which tasks were preempted on them. */
  readonly preemptionReservations = new PreemptionReservations();
  /** The waiting jobs, in the order that the last full round determined. */
  private queue: QueueEntry[] = [];
  /** The id of the job at which the last full round ran out of time; null if the round was complete. */
  private resumeAtJobId: string | null = null;
  private hasSpareCapacity = false;
  private starvationReservations = new Map<Machine, Job>();
  private readonly imageHolders = new ImageHolders();

  constructor(private readonly dependencies: PlacementSchedulerDependencies) {}

  /**
   * Whether a heartbeat should trigger a full round: jobs were added since the last round, or there is spare capacity.
   * With spare capacity, tasks are packed onto the fullest machines so that the others become empty and can be returned
   * to the cloud; placing on whichever machine sends the next heartbeat would defeat that.
   */
  get needsFullRound(): boolean {
    return this.dependencies.jobs.hasNewJobs || this.hasSpareCapacity;
  }

  /**
   * Runs a full round over all machines of the shard, until steady time `deadlineAt` at the latest. Returns the number of
   * tasks placed.
   */
  place(token: number, now: number, clock: SteadyClock, deadlineAt: number): number {
    this.dependencies.jobs.hasNewJobs = false;
    // Most rounds have nothing to place, and must not pay for a pass over every machine of a large shard.
    const input = this.hasWaitingTasks() ? this.placementInput(now) : null;
    this.queue = input === null ? [] : buildQueue(input);
    if (input === null || this.queue.length === 0) {
      this.starvationReservations = new Map();
      this.resumeAtJobId = null;
      return 0;
    }
    this.imageHolders.recount(this.dependencies.machines.byHost.values());
    const round = placeRound(input, this.queue, clock, deadlineAt);
    this.resumeAtJobId = round.resumeAtJobId;
    const started = this.applyRound(round, token, now);
    const load = measureLoad(input);
    this.hasSpareCapacity = load.cpus - load.usedCpus > SPARE_CAPACITY_FRACTION * load.cpus;
    return started;
  }

  /** Places queued tasks on a machine that has just sent a heartbeat. Returns the number of tasks placed. */
  placeOnMachine(host: string, token: number, now: number): number {
    const machine = this.dependencies.machines.byHost.get(host);
    if (machine === undefined || !machine.isSchedulable || this.queue.length === 0) return 0;
    // The queue is that of the last full round: jobs accepted since then are placed from the next full round on.
    const hasEnoughImageHolders = (job: Job): boolean =>
      this.imageHolders.canHoldWaiting(job, this.dependencies.types().get(machine.record.type));
    const input = this.placementInput(now);
    return this.applyRound(placeOnMachine(machine, this.queue, input, hasEnoughImageHolders), token, now);
  }

  /**
   * The start commands for attempts that are assigned to a machine and have not been seen in a heartbeat. None while
   * the worker does not follow this owner's term.
   */
  startCommands(host: string): WorkerCommand[] {
    const machine = this.dependencies.machines.byHost.get(host);
    if (!machine?.followsTerm) return [];
    return [...machine.placements]
      .filter(({ state, stop, job }) => state === "assigned" && !stop && !job.isTerminating)
      .map(({ job, index, attempt }) => ({ op: "start", job: job.spec.id, index, attempt }));
  }

  /** The input of all scheduling decisions about the shard; `now` is steady time in milliseconds. */
  placementInput(now: number): PlacementInput {
    const { jobs, machines, types, settings, speeds, termToken, quotaReservations } = this.dependencies;
    return {
      jobs: [...jobs.byId.values()],
      machines: [...machines.byHost.values()],
      types: types(),
      teams: settings.teams,
      objectives: settings.objectives,
      wallNow: Date.now(),
      runtimeRatio: (className: string) => speeds.runtimeRatio(className),
      now,
      isReconciled: machines.isReconciled,
      termToken,
      reservedQuota: quotaReservations.usage,
      resumeAtJobId: this.resumeAtJobId,
      starvationReservations: this.starvationReservations,
      preemptionReservations: this.preemptionReservations.active(now),
    };
  }

  /** Drops the reservations on a machine that was removed from the shard. */
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
