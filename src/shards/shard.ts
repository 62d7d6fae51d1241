/**
 * One shard as its owner sees it: the jobs and machines of the records, the workers' reports, and the decisions
 * that follow. Time and records come in, commands, writes and summaries go out; nothing here waits or calls.
 */
import type { Settings } from "../config/settings.js";
import type { Demand, ShardSummary } from "../peers/peer-messages.js";
import type { SteadyClock } from "../runtime/clock.js";
import type { Logger } from "../runtime/log.js";
import { keys } from "../state/keys.js";
import type { ReplicaView } from "../state/replica.js";
import { CLOCK_DRIFT, type WorkerCommand, type MachineType, type Heartbeat } from "../wire/index.js";
import { attach, newPlacement, type Placement } from "../workers/placement.js";
import type { Job } from "../workers/job.js";
import type { Machine } from "../workers/machine.js";
import { reconcileHeartbeat, isNewerHeartbeat } from "../workers/heartbeat-reconciliation.js";
import { isLive } from "../workers/job.js";
import { recordResponse } from "../workers/lost-responses.js";
import { releaseAll } from "../workers/placement.js";
import { slotsPerMachine } from "../placement/capacity.js";
import type { Completion } from "./completion-log.js";
import { Cordons } from "./cordons.js";
import { DecisionMetrics } from "./decision-metrics.js";
import { FailureTracker } from "./failure-tracker.js";
import { placeOnMachine, placeRound, type PlacementRound } from "../placement/placement-round.js";
import { choosePreemptions } from "../placement/preemption.js";
import { PreemptionReservations } from "./preemption-reservations.js";
import { ShardRecords } from "./shard-records.js";
import { SpeedTracker } from "./speed-tracker.js";
import {
  largestFreeCapacity,
  canMigrate,
  migrationTermsFor,
  migrationCandidates,
  type MigrationTerms,
} from "../placement/migration-policy.js";
import { computeDemand, measureLoad, summarizeMachine, cpusByTaskState } from "../placement/shard-summary.js";
import { buildQueue, type QueueEntry } from "../placement/job-queue.js";
import type { PlacementInput } from "../placement/scheduling-context.js";

/** Attempts are a token and a count within its term, so that they never repeat. */
const ATTEMPTS_PER_TOKEN = 2 ** 20;
/** So many report intervals a machine is reserved for the job for which tasks were stopped there. */
const PREEMPTION_RESERVATION_HEARTBEATS = 3;

/** With more than this fraction of its processors free a shard has spare capacity. */
const SPARE_CAPACITY_FRACTION = 1 / 8;

/** One shard's jobs, machines and placements, and all decisions about them. */
export class Shard extends ShardRecords {
  private readonly speeds: SpeedTracker;
  private attemptCount = 0;
  private resumeAt: string | null = null;
  private hasSpareCapacity = false;
  /** The waiting jobs as last ordered, and the machines held back for overdue ones. */
  private queue: QueueEntry[] = [];
  /** How many usable machines have an image, as of the last whole round. */
  private imageCounts = new Map<string, number>();
  private starvationReservations = new Map<Machine, Job>();
  /** Machines on which tasks were stopped for a job, and until when they are reserved for it. */
  private readonly preemptionReservations = new PreemptionReservations();
  private readonly cordons: Cordons;
  /** All tokens of this owner's term. */
  private readonly tokens: Set<number>;
  private readonly failures: FailureTracker;
  private readonly leaseMs: number;
  /** How many machines have spoken and are not silent, as of the last look for silent ones: these should report. */
  expectedHeartbeatSources = 0;

  constructor(
    n: number,
    /** The token with which this owner's term began. */
    readonly termToken: number,
    private readonly startedAt: number,
    private readonly settings: Settings,
    private readonly types: () => Map<string, MachineType>,
    view: ReplicaView,
    log: Logger,
    metrics = new DecisionMetrics(),
  ) {
    super(n, settings.state.valueBytes, settings.workers.cancelMs, log, metrics);
    const { leaseMs, reportMs } = settings.workers;
    this.leaseMs = leaseMs * (1 + 2 * CLOCK_DRIFT) + reportMs / 4;
    this.tokens = new Set([termToken]);
    this.speeds = new SpeedTracker(log);
    this.cordons = new Cordons(n, reportMs, log);
    this.failures = new FailureTracker(this.machines, this.leaseMs, log);
    this.sync(view, null, startedAt);
    // A machine that never spoke to an owner has never been told to start anything.
    for (const machine of this.machines.values()) machine.unreconciled = machine.record.hasReported;
  }

  protected override onMachineRemoved(machine: Machine): void {
    this.starvationReservations.delete(machine);
    this.preemptionReservations.release(machine);
    this.cordons.forget(machine);
  }

  /** The shard's token has been advanced by this owner itself: workers that show the new one follow it as well. */
  tokenAdvanced(token: number): void {
    this.tokens.add(token);
  }

  /** Whether everything that an earlier owner may have left running has been seen, or is surely over. */
  get recovered(): boolean {
    for (const machine of this.machines.values()) if (machine.unreconciled) return false;
    return true;
  }

  /** Whether the records, as they are known here, still have a job. */
  isLiveJob(id: string): boolean {
    return isLive(this.jobs.get(id));
  }

  /** Null: an old report, about which nothing is to be said. */
  reconcileHeartbeat(report: Heartbeat, now: number): WorkerCommand[] | null {
    const machine = this.machines.get(report.host);
    if (machine === undefined || !isNewerHeartbeat(machine, report)) return null;
    const wasUp = machine.up;
    const commands = reconcileHeartbeat(machine, report, {
      jobs: this.jobs,
      now,
      termStartedAt: this.startedAt,
      leaseMs: this.leaseMs,
      isTokenOfTerm: (token) => this.tokens.has(token),
      onTaskExited: (job, index, where, cause) => {
        this.taskExited(job, index, where, cause, now);
      },
      onAttemptFinished: (placement) => {
        this.speeds.finished(placement, now);
      },
    });
    if (machine.up && !wasUp) this.log.info({ host: machine.host, shard: this.id }, "machine heard");
    if (machine.followsTerm) machine.unreconciled = false;
    recordResponse(machine, now);
    this.endedJobs.noteStops(commands, now);
    this.sweepJobs(now);
    return commands;
  }

  private taskExited(job: Job, index: number, machine: Machine, cause: string, now: number): void {
    const { reportMs } = this.settings.workers;
    switch (cause) {
      case "done":
        this.failures.succeeded(job, machine);
        // Guards against writing the end of a job that was cancelled while its last task ended: its record is gone, and
        // the transaction would fail again and again, with those of all the jobs that are written together with it.
        if (job.terminating) return;
        this.completions.add(job, index);
        return;
      case "error":
        this.failures.failed(job, machine, now);
        return;
      case "no_room":
        // The worker counts something that we do not see yet; its next reports will show it.
        machine.notBefore = now + 2 * reportMs;
        return;
      case "unknown":
        // The owner of the job has yet to upload it.
        job.notBefore = now + 2 * reportMs;
        return;
    }
  }

  /** Ends what can be proven over by the passing of time. */
  expire(now: number): void {
    this.expectedHeartbeatSources = 0;
    for (const machine of this.machines.values()) {
      // Before the first report in this term, an earlier owner may have answered until the term began.
      const since =
        machine.lastHeartbeatAt ?? (machine.unreconciled ? this.startedAt : machine.firstHeartbeatAt);
      if (since === null || machine.leaseExpiredAt !== null) continue;
      if (now - since <= this.leaseMs) {
        this.expectedHeartbeatSources++;
        continue;
      }
      machine.leaseExpiredAt = now;
      const lost = machine.placements.size;
      releaseAll(machine);
      machine.emptySince = null;
      machine.emptyHeartbeats = 0;
      machine.unreconciled = false;
      this.log.info({ host: machine.host, shard: this.id, lost }, "machine silent, its lease is over");
    }
    this.cordons.expire(now);
    for (const id of this.reservations.expire(now))
      this.completions.removeLater(keys.quotaReservation(this.id, id));
    this.failures.expireFailures(this.jobs.values(), now);
    this.sweepJobs(now);
  }

  /** A whole round of placing; starts go out with the machines' next answers. */
  place(token: number, now: number, clock: SteadyClock, deadline: number): number {
    this.newJobs = [];
    // Most rounds find nothing to place: they must not cost a look at every machine of a large shard.
    const input = this.hasWaitingTasks() ? this.placementInput(now) : null;
    this.queue = input === null ? [] : buildQueue(input);
    if (input === null || this.queue.length === 0) {
      this.starvationReservations = new Map();
      this.resumeAt = null;
      return 0;
    }
    this.countImages();
    const round = placeRound(input, this.queue, clock, deadline);
    this.resumeAt = round.resumeAt;
    const started = this.applyRound(round, token, now);
    const load = measureLoad(input);
    this.hasSpareCapacity = load.cpus - load.usedCpus > SPARE_CAPACITY_FRACTION * load.cpus;
    return started;
  }

  private hasWaitingTasks(): boolean {
    for (const job of this.jobs.values()) if (job.waiting > 0) return true;
    return false;
  }

  /** Offers the room of a machine that has just spoken to what waits. */
  placeOnMachine(host: string, token: number, now: number): number {
    const machine = this.machines.get(host);
    if (machine === undefined || !machine.schedulable || this.queue.length === 0) return 0;
    // Jobs accepted since the last whole round are served from the next one on, in their order.
    const atHome = (job: Job): boolean => this.hasEnoughImageHolders(job, machine);
    return this.applyRound(placeOnMachine(machine, this.queue, this.placementInput(now), atHome), token, now);
  }

  /** Whether the machines that have a job's image could hold all that waits of it at once. */
  private hasEnoughImageHolders({ spec, waiting }: Job, machine: Machine): boolean {
    const type = this.types().get(machine.record.type);
    const slots = type === undefined ? 0 : slotsPerMachine(spec, type);
    return slots > 0 && (this.imageCounts.get(spec.image) ?? 0) * slots >= waiting;
  }

  private countImages(): void {
    this.imageCounts = new Map();
    for (const machine of this.machines.values())
      if (machine.schedulable)
        for (const image of machine.images)
          this.imageCounts.set(image, (this.imageCounts.get(image) ?? 0) + 1);
  }

  /**
   * Whether a report should lead to a whole round: jobs have come since the last one, or there is room to spare. With
   * room to spare the room of whichever machine speaks is not the best: work is drawn together on full machines, so
   * that the others run empty and can be returned.
   */
  get wantsRound(): boolean {
    return this.newJobs.length > 0 || this.hasSpareCapacity;
  }

  private applyRound(round: PlacementRound, token: number, now: number): number {
    this.starvationReservations = round.reservations;
    for (const { job, index, machine } of round.starts) {
      const attempt = token * ATTEMPTS_PER_TOKEN + ++this.attemptCount;
      const placement = newPlacement(job, index, attempt, machine, now);
      if (!job.hasStarted) {
        const waitedS = Math.round((Date.now() - job.acceptedAt) / 1000);
        this.log.info({ job: job.spec.id, tasks: job.spec.tasks, waitedS }, "job begins");
      }
      attach(placement);
      machine.emptySince = null;
      machine.emptyHeartbeats = 0;
    }
    if (round.starts.length > 0) this.log.debug({ shard: this.id, starts: round.starts.length }, "placed");
    return round.starts.length;
  }

  /** The commands for what has been placed on a machine since its report was taken in. */
  startsFor(host: string): WorkerCommand[] {
    const machine = this.machines.get(host);
    if (!machine?.followsTerm) return [];
    return [...machine.placements]
      .filter((p) => p.state === "assigned" && !p.stop && !p.job.terminating)
      .map((p) => ({ op: "start", job: p.job.spec.id, index: p.index, attempt: p.attempt }));
  }

  /** Stops less urgent work where that makes room for more urgent work in time. */
  preempt(now: number, clock: SteadyClock, deadline: number): void {
    const input = { ...this.placementInput(now), reportMs: this.settings.workers.reportMs };
    const { victims, reserved } = choosePreemptions(input, clock, deadline);
    let save = 0;
    for (const victim of victims) {
      const graceS = victim.job.spec.checkpointS > 0 ? victim.job.spec.saveS : 0;
      victim.stop = { why: "preempt", graceS };
      save = Math.max(save, graceS * 1000);
    }
    const until = now + save + PREEMPTION_RESERVATION_HEARTBEATS * this.settings.workers.reportMs;
    for (const [machine, job] of reserved) this.preemptionReservations.reserve(machine, job, until);
    if (victims.length > 0) this.log.debug({ shard: this.id, stopped: victims.length }, "preempting");
  }

  /** Stops what can be saved before the cloud takes its machine away. */
  drainInterrupted(): void {
    const { reportMs } = this.settings.workers;
    for (const machine of this.machines.values()) {
      if (machine.interruptionNoticeS === null) continue;
      for (const placement of machine.placements) {
        const { saveS, checkpointS } = placement.job.spec;
        // The notice may be half of what it says; three reports are needed to stop and to see it stopped.
        if (checkpointS > 0 && machine.interruptionNoticeS / 2 < saveS + (3 * reportMs) / 1000)
          placement.stop ??= { why: "drain", graceS: saveS };
      }
    }
  }

  private placementInput(now: number): PlacementInput {
    return {
      jobs: [...this.jobs.values()],
      machines: [...this.machines.values()],
      types: this.types(),
      teams: this.settings.teams,
      objectives: this.settings.objectives,
      wallNow: Date.now(),
      runtimeRatio: (className: string) => this.speeds.ratio(className),
      now,
      recovered: this.recovered,
      termToken: this.termToken,
      reservedQuota: this.reservations.usage,
      resumeAt: this.resumeAt,
      starvationReservations: this.starvationReservations,
      preemptionReservations: this.preemptionReservations.active(now),
    };
  }

  /** Whether the attempts of this token are nearly used up. */
  get attemptsExhausted(): boolean {
    return this.attemptCount >= ATTEMPTS_PER_TOKEN / 2;
  }

  resetAttempts(): void {
    this.attemptCount = 0;
  }

  /** Jobs whose last task has completed, to be written within so many operations. */
  takeFinishedJobs(room: number): Completion[] {
    return this.completions.finished(room, (job) => this.canComplete(job));
  }

  /**
   * Guards the limit that another shard keeps for a job: that shard counts the job until it is told done, so that by then
   * no attempt of it may run any more, not even one whose task another attempt has completed.
   */
  private canComplete(job: Job): boolean {
    return job.maxParallelTasks === Infinity || (job.active.size === 0 && this.recovered);
  }

  /** Completed tasks of jobs that go on, to be written within so many operations. */
  takeProgress(room: number): Completion[] {
    return this.completions.progressed(room);
  }

  /** Machines that have spoken and whose records do not say so yet. */
  unrecordedHosts(): string[] {
    return [...this.machines.values()]
      .filter(
        (m) => m.lastHeartbeatAt !== null && !m.record.hasReported && !m.record.draining && !m.removalPending,
      )
      .map((m) => m.host);
  }

  /** The machines of `hosts` that are empty, so that they may leave; nothing is placed on them from now on. */
  beginRemoval(hosts: string[], anyState: boolean): string[] {
    return hosts.filter((host) => {
      const machine = this.machines.get(host);
      if (machine === undefined || machine.removalPending) return false;
      const idle = machine.healthy && machine.empty && machine.emptyHeartbeats >= 2;
      // A machine that never spoke, fell silent or is sick need not be empty: the return itself is the proof.
      const lost =
        !machine.followsTerm ||
        machine.leaseExpiredAt !== null ||
        machine.responsesLost ||
        machine.quarantined;
      if (!idle && !(anyState && lost)) return false;
      machine.removalPending = true;
      return true;
    });
  }

  /** Lets one machine that suits run empty for a shard that has none. */
  cordon(to: number, demand: Demand, now: number): void {
    this.cordons.cordon(to, demand, this.placementInput(now));
  }

  /** Prepares a job's passing to another shard: nothing of it starts from now on. Null if it may not pass. */
  beginMigration(id: string, now: number): { job: Job; terms: MigrationTerms } | null {
    const job = this.jobs.get(id);
    const input = this.placementInput(now);
    if (job === undefined || !canMigrate(job, input)) return null;
    const terms = migrationTermsFor(job, input);
    if (terms === null) return null;
    job.migrating = true;
    if (terms.reservation !== null) this.reservations.hold(id, terms.reservation);
    return { job, terms };
  }

  /** The job has surely not passed on. */
  migrationFailed(job: Job): void {
    job.migrating = false;
    this.reservations.release(job.spec.id);
  }

  cancelRemoval(hosts: string[]): void {
    for (const host of hosts) {
      const machine = this.machines.get(host);
      if (machine) machine.removalPending = false;
    }
  }

  /** What the processors in use are doing, for operators who ask where money goes. */
  cpusByTaskState(): Record<Placement["state"], number> {
    return cpusByTaskState(this.machines.values());
  }

  taskCounts(id: string): { known: boolean; done: number; running: number } {
    const job = this.jobs.get(id);
    if (job === undefined) return { known: false, done: 0, running: 0 };
    return { known: true, done: job.done.count, running: job.runningCount };
  }

  summary(token: number, now: number): ShardSummary {
    const input = this.placementInput(now);
    return {
      shard: this.id,
      token,
      recovered: this.recovered,
      load: measureLoad(input),
      demand: computeDemand(input),
      machines: [...this.machines.values()].map((m) => summarizeMachine(m, now)),
      freeCapacity: largestFreeCapacity(input),
      migrationCandidates: migrationCandidates(input),
    };
  }
}
