/**
 * The state of one shard, as its owner knows it. Records and heartbeats come in with the current time; commands, writes
 * and summaries go out. Nothing in this state waits or performs I/O. This module connects the modules for each concern:
 *
 * - `shard-parts.ts`: construction of the parts
 * - `shard-records.ts`, `job-table.ts`, `machine-table.ts`: the state, kept in step with the records
 * - `heartbeat-handler.ts`, `lease-expiry.ts`: conclusions from heartbeats and from their absence
 * - `placement-scheduler.ts`, `task-eviction.ts`: which tasks start and stop
 * - `removal-candidates.ts`, `cordons.ts`, `migration-preparation.ts`: what may go to other shards or back to the cloud
 * - `completion-log.ts`: completed tasks to be written
 */
import { type Job, isLive } from "../workers/job.js";
import type { Machine } from "../workers/machine.js";
import type { Placement } from "../workers/placement.js";
import type { Demand, ShardSummary } from "../peers/peer-messages.js";
import { largestFreeCapacity, migrationCandidates } from "../placement/migration-policy.js";
import { computeDemand, cpusByTaskState, measureLoad, summarizeMachine } from "../placement/shard-summary.js";
import type { SteadyClock } from "../runtime/clock.js";
import { keys } from "../state/keys.js";
import type { ReplicaView } from "../state/replica.js";
import type { Heartbeat, RecordChange, WorkerCommand } from "../wire/index.js";
import type { Completion } from "./completion-log.js";
import { beginMigration, cancelMigration, type PreparedMigration } from "./migration-preparation.js";
import {
  beginRemoval,
  cancelRemoval,
  findUnrecordedHosts,
  isProvenUnused,
  type RemovalReason,
} from "./removal-candidates.js";
import type { TaskCounts } from "./shard-owner-messages.js";
import { createShardParts, type ShardDependencies, type ShardParts } from "./shard-parts.js";

/**
 * The jobs, machines and placements of one shard, and all decisions about them. Instants are steady times in
 * milliseconds.
 */
export class Shard {
  /** The shard's number. */
  readonly id: number;
  private readonly parts: ShardParts;

  constructor(dependencies: ShardDependencies) {
    this.id = dependencies.shard;
    this.parts = createShardParts(dependencies);
    this.sync(dependencies.view, null, dependencies.termStartedAt);
    // A machine that has never sent a heartbeat to any owner has never been sent a start command.
    for (const machine of this.machines.values()) machine.isUnreconciled = machine.record.hasReported;
  }

  /** The jobs by id. */
  get jobs(): ReadonlyMap<string, Job> {
    return this.parts.jobs.byId;
  }

  /** The machines by host. */
  get machines(): ReadonlyMap<string, Machine> {
    return this.parts.machines.byHost;
  }

  /** Number of machines that are expected to send heartbeats, as of the last check for expired leases. */
  get expectedHeartbeatSources(): number {
    return this.parts.leases.expectedHeartbeatSources;
  }

  /** Time up to which the shard's state is known to be complete; -Infinity after a change that could not be applied. */
  get viewCompleteAsOf(): number {
    return this.parts.records.viewCompleteAsOf;
  }

  /** Whether every task that an earlier owner may have left running has been reported or has certainly ended. */
  get isReconciled(): boolean {
    return this.parts.machines.isReconciled;
  }

  /** Applies changed records; null re-reads all of them. Afterwards the state is complete up to `asOf`. */
  sync(view: ReplicaView, changes: RecordChange[] | null, now: number, asOf = view.completeAsOf): void {
    this.parts.records.sync(view, changes, now, asOf);
  }

  /** Adds a token to which this owner advanced the shard: workers that report it follow this owner as well. */
  addTermToken(token: number): void {
    this.parts.heartbeats.addTermToken(token);
  }

  /** Whether the records, as known here, still contain a job. */
  isLiveJob(id: string): boolean {
    return isLive(this.jobs.get(id));
  }

  /** Ends a job whose cancellation is durable, whether or not the watch has delivered it yet. */
  cancelJob(id: string, now: number): void {
    this.parts.jobs.cancelJob(id, now);
  }

  /** Applies a heartbeat and returns the commands for the response; null for a heartbeat that is not reconciled. */
  reconcileHeartbeat(heartbeat: Heartbeat, now: number): WorkerCommand[] | null {
    return this.parts.heartbeats.reconcile(heartbeat, now);
  }

  /** Expires worker leases, cordons, quota reservations and remembered failures that are past their time. */
  expire(now: number): void {
    const { leases, cordons, quotaReservations, jobs, failures } = this.parts;
    leases.expire(now);
    cordons.expire(now);
    for (const job of quotaReservations.expire(now))
      jobs.completions.scheduleRemoval(keys.quotaReservation(this.id, job));
    failures.expireFailures(this.jobs.values(), now);
    jobs.removeEndedWithoutTasks(now);
  }

  /** Whether the next heartbeat should trigger a full placement round. */
  get needsFullRound(): boolean {
    return this.parts.scheduler.needsFullRound;
  }

  /** Runs a full placement round until `deadlineAt`; start commands go out with the next responses to the machines. */
  place(token: number, now: number, clock: SteadyClock, deadlineAt: number): number {
    return this.parts.scheduler.place(token, now, clock, deadlineAt);
  }

  /** Places waiting jobs on the free capacity of a machine that has just sent a heartbeat. */
  placeOnMachine(host: string, token: number, now: number): number {
    return this.parts.scheduler.placeOnMachine(host, token, now);
  }

  /** Returns the start commands for what was placed on a machine since its heartbeat was reconciled. */
  startCommands(host: string): WorkerCommand[] {
    return this.parts.scheduler.startCommands(host);
  }

  /** Whether the attempt numbers of the current token are nearly used up. */
  get areAttemptsNearlyExhausted(): boolean {
    return this.parts.scheduler.attempts.isNearlyExhausted;
  }

  /** Restarts the attempt numbers for a new token. */
  resetAttempts(): void {
    this.parts.scheduler.attempts.reset();
  }

  /** Preempts less urgent tasks where that frees capacity for more urgent ones in time. */
  preempt(now: number, clock: SteadyClock, deadlineAt: number): void {
    this.parts.eviction.preempt(this.parts.scheduler.placementInput(now), clock, deadlineAt);
  }

  /** Stops tasks that can save a checkpoint before the cloud interrupts their machine. */
  drainInterrupted(): void {
    this.parts.eviction.drainInterrupted(this.machines.values());
  }

  /** Builds completions for jobs whose last task has completed, with at most `maxWrites` writes. */
  finishedJobs(maxWrites: number): Completion[] {
    return this.parts.jobs.completions.finishedJobs(maxWrites, (job) => this.canComplete(job));
  }

  /**
   * Whether a job may be written as done. Another shard may enforce its quota and counts the job until it is written as
   * done, so no attempt of it may still be running by then, not even one whose task was completed by another attempt.
   */
  private canComplete(job: Job): boolean {
    return job.maxParallelTasks === Infinity || (job.activeAttempts.size === 0 && this.isReconciled);
  }

  /** Builds completions for the progress of unfinished jobs, with at most `maxWrites` writes. */
  taskProgress(maxWrites: number): Completion[] {
    return this.parts.jobs.completions.taskProgress(maxWrites);
  }

  /** Returns the hosts that have reported but whose records do not show it yet. */
  unrecordedHosts(): string[] {
    return findUnrecordedHosts(this.machines.values());
  }

  /** Whether certainly no task that this or an earlier owner of the shard has started is on a machine. */
  isProvenUnused(host: string): boolean {
    const machine = this.machines.get(host);
    return machine !== undefined && isProvenUnused(machine);
  }

  /** Selects the hosts that may be removed and stops further placement on them. */
  beginRemoval(hosts: string[], reason: RemovalReason): string[] {
    return beginRemoval(this.machines, hosts, reason);
  }

  /** Cancels the removal of machines, so that tasks can be placed on them again. */
  cancelRemoval(hosts: string[]): void {
    cancelRemoval(this.machines, hosts);
  }

  /** Cordons a machine that fits the demand of a shard without machines. */
  cordon(targetShard: number, demand: Demand, now: number): void {
    this.parts.cordons.cordon(targetShard, demand, this.parts.scheduler.placementInput(now));
  }

  /** Prepares a job's migration to another shard; null if it may not be migrated. */
  beginMigration(id: string, now: number): PreparedMigration | null {
    const job = this.jobs.get(id);
    const input = this.parts.scheduler.placementInput(now);
    return job === undefined ? null : beginMigration(job, input, this.parts.quotaReservations);
  }

  /** Cancels a migration that was certainly not committed. */
  cancelMigration(job: Job): void {
    cancelMigration(job, this.parts.quotaReservations);
  }

  /** Number of CPUs in use by task state, for operators. */
  cpusByTaskState(): Record<Placement["state"], number> {
    return cpusByTaskState(this.machines.values());
  }

  /** Number of completed and running tasks of a job. */
  taskCounts(id: string): TaskCounts {
    const job = this.jobs.get(id);
    if (job === undefined) return { known: false, done: 0, running: 0 };
    return { known: true, done: job.done.count, running: job.runningCount };
  }

  /** Builds the summary of this shard that is sent to the leader. */
  summary(token: number, now: number): ShardSummary {
    const input = this.parts.scheduler.placementInput(now);
    return {
      shard: this.id,
      token,
      recovered: this.isReconciled,
      load: measureLoad(input),
      demand: computeDemand(input),
      machines: input.machines.map((machine) => summarizeMachine(machine, now)),
      freeCapacity: largestFreeCapacity(input),
      migrationCandidates: migrationCandidates(input),
    };
  }
}
