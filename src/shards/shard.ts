/**
 * One shard as its owner sees it. Records and heartbeats come in with the time; commands, writes and summaries go out;
 * nothing here waits or makes a call. Each concern has a module of its own, and this one connects them:
 *
 * - `shard-parts.ts`: how the parts are built
 * - `shard-records.ts`, `job-table.ts`, `machine-table.ts`: the state, kept in step with the records
 * - `heartbeat-handler.ts`, `lease-expiry.ts`: what heartbeats and their absence prove
 * - `placement-scheduler.ts`, `task-eviction.ts`: which tasks start and stop
 * - `removal-candidates.ts`, `cordons.ts`, `migration-preparation.ts`: what may go to other shards or to the cloud
 * - `completion-log.ts`: what is to be written of completed tasks
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
  type RemovalReason,
} from "./removal-candidates.js";
import type { TaskCounts } from "./shard-owner-messages.js";
import { createShardParts, type ShardDependencies, type ShardParts } from "./shard-parts.js";

/** One shard's jobs, machines and placements, and all decisions about them. Instants are steady times in milliseconds. */
export class Shard {
  /** The shard's number. */
  readonly id: number;
  private readonly parts: ShardParts;

  constructor(dependencies: ShardDependencies) {
    this.id = dependencies.shard;
    this.parts = createShardParts(dependencies);
    this.sync(dependencies.view, null, dependencies.termStartedAt);
    // A machine that has never reported to an owner has never been sent a start.
    for (const machine of this.machines.values()) machine.mayHaveUnreportedTasks = machine.record.hasReported;
  }

  /** The jobs by id. */
  get jobs(): ReadonlyMap<string, Job> {
    return this.parts.jobs.byId;
  }

  /** The machines by host. */
  get machines(): ReadonlyMap<string, Machine> {
    return this.parts.machines.byHost;
  }

  /** How many machines are expected to report, as of the last check for expired leases. */
  get expectedHeartbeatSources(): number {
    return this.parts.leases.expectedHeartbeatSources;
  }

  /** Up to when the shard's state is known to be complete; -Infinity after a change that could not be applied. */
  get viewCompleteAsOf(): number {
    return this.parts.records.viewCompleteAsOf;
  }

  /** Whether everything that an earlier owner may have left running has been reported, or has surely ended. */
  get recovered(): boolean {
    return this.parts.machines.isReconciled;
  }

  /** Applies changed records (null: everything may be different), after which the state is complete up to `asOf`. */
  sync(view: ReplicaView, changes: RecordChange[] | null, now: number, asOf = view.completeAsOf): void {
    this.parts.records.sync(view, changes, now, asOf);
  }

  /** This owner has advanced the shard's token itself: workers that show the new one follow this owner as well. */
  tokenAdvanced(token: number): void {
    this.parts.heartbeats.tokenAdvanced(token);
  }

  /** Whether the records, as they are known here, still have a job. */
  isLiveJob(id: string): boolean {
    return isLive(this.jobs.get(id));
  }

  /** A job's cancellation is durable, whether or not the watch has shown it yet. */
  cancelled(id: string, now: number): void {
    this.parts.jobs.cancelled(id, now);
  }

  /** Takes in a heartbeat and returns the commands for the response; null for one that is not to be answered. */
  reconcileHeartbeat(heartbeat: Heartbeat, now: number): WorkerCommand[] | null {
    return this.parts.heartbeats.reconcile(heartbeat, now);
  }

  /** Ends what has surely expired by now. */
  expire(now: number): void {
    const { leases, cordons, quotaReservations, jobs, failures } = this.parts;
    leases.expire(now);
    cordons.expire(now);
    for (const job of quotaReservations.expire(now))
      jobs.completions.removeLater(keys.quotaReservation(this.id, job));
    failures.expireFailures(this.jobs.values(), now);
    jobs.removeGone(now);
  }

  /** Whether a heartbeat should lead to a full placement round. */
  get needsFullRound(): boolean {
    return this.parts.scheduler.needsFullRound;
  }

  /** A full placement round until `deadline`; starts go out with the machines' next responses. */
  place(token: number, now: number, clock: SteadyClock, deadline: number): number {
    return this.parts.scheduler.place(token, now, clock, deadline);
  }

  /** Offers the free capacity of a machine that has just reported to the waiting jobs. */
  placeOnMachine(host: string, token: number, now: number): number {
    return this.parts.scheduler.placeOnMachine(host, token, now);
  }

  /** The commands for what was placed on a machine since its heartbeat was reconciled. */
  startCommands(host: string): WorkerCommand[] {
    return this.parts.scheduler.startCommands(host);
  }

  /** Whether the attempt numbers of the current token are nearly used up. */
  get attemptsExhausted(): boolean {
    return this.parts.scheduler.attempts.nearlyExhausted;
  }

  /** The owner has a new token, with new attempt numbers. */
  resetAttempts(): void {
    this.parts.scheduler.attempts.reset();
  }

  /** Stops less urgent tasks where that frees capacity for more urgent ones in time. */
  preempt(now: number, clock: SteadyClock, deadline: number): void {
    this.parts.eviction.preempt(this.parts.scheduler.placementInput(now), clock, deadline);
  }

  /** Stops the tasks that can save before the cloud takes their machine. */
  drainInterrupted(): void {
    this.parts.eviction.drainInterrupted(this.machines.values());
  }

  /** Jobs whose last task has completed, to be written with at most so many writes. */
  finishedJobs(maxWrites: number): Completion[] {
    return this.parts.jobs.completions.finishedJobs(maxWrites, (job) => this.canComplete(job));
  }

  /**
   * Guards the quota that another shard enforces for a job: that shard counts the job until it is written as done, so
   * that by then no attempt of it may run any more, not even one whose task another attempt has completed.
   */
  private canComplete(job: Job): boolean {
    return job.maxParallelTasks === Infinity || (job.activeAttempts.size === 0 && this.recovered);
  }

  /** Completed tasks of jobs that go on, to be written with at most so many writes. */
  taskProgress(maxWrites: number): Completion[] {
    return this.parts.jobs.completions.taskProgress(maxWrites);
  }

  /** The machines that have reported while their records do not show it yet. */
  unrecordedHosts(): string[] {
    return findUnrecordedHosts(this.machines.values());
  }

  /** Selects those of the hosts that may be removed; nothing is placed on them from now on. */
  beginRemoval(hosts: string[], reason: RemovalReason): string[] {
    return beginRemoval(this.machines, hosts, reason);
  }

  /** The machines are not removed after all. */
  cancelRemoval(hosts: string[]): void {
    cancelRemoval(this.machines, hosts);
  }

  /** Cordons a machine that suits the demand of a shard without machines. */
  cordon(targetShard: number, demand: Demand, now: number): void {
    this.parts.cordons.cordon(targetShard, demand, this.parts.scheduler.placementInput(now));
  }

  /** Prepares a job's migration to another shard; null if it may not be migrated. */
  beginMigration(id: string, now: number): PreparedMigration | null {
    const job = this.jobs.get(id);
    const input = this.parts.scheduler.placementInput(now);
    return job === undefined ? null : beginMigration(job, input, this.parts.quotaReservations);
  }

  /** The job has surely not been migrated. */
  migrationFailed(job: Job): void {
    cancelMigration(job, this.parts.quotaReservations);
  }

  /** How many processors are in use by tasks in which state, for operators. */
  cpusByTaskState(): Record<Placement["state"], number> {
    return cpusByTaskState(this.machines.values());
  }

  /** How many tasks of a job are done and running. */
  taskCounts(id: string): TaskCounts {
    const job = this.jobs.get(id);
    if (job === undefined) return { known: false, done: 0, running: 0 };
    return { known: true, done: job.done.count, running: job.runningCount };
  }

  /** What the leader is sent of this shard. */
  summary(token: number, now: number): ShardSummary {
    const input = this.parts.scheduler.placementInput(now);
    return {
      shard: this.id,
      token,
      recovered: this.recovered,
      load: measureLoad(input),
      demand: computeDemand(input),
      machines: input.machines.map((machine) => summarizeMachine(machine, now)),
      freeCapacity: largestFreeCapacity(input),
      migrationCandidates: migrationCandidates(input),
    };
  }
}
