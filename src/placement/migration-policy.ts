/** Chooses jobs that may migrate to another shard, and reports the free capacity for jobs of other shards. Pure. */
import { poolKey } from "../cloud/instance-pool.js";
import type { FreeCapacity, MigrationCandidate } from "../peers/peer-messages.js";
import type { QuotaReservation } from "../jobs/job-records.js";
import { MAX_WAIT_WITH_FREE_CAPACITY_S } from "../wire/index.js";
import type { Job } from "../workers/job.js";
import { ROUNDING_TOLERANCE } from "./capacity.js";
import { isStartable } from "./eligibility.js";
import { freeCapacityOf, usableTypeOf } from "./machine-capacity.js";
import { quotaSnapshot, tasksWithinLimit, teamOf, type QuotaUsage } from "./quota.js";
import type { PlacementInput } from "./scheduling-context.js";

/** A job may migrate once it has waited for this fraction of `MAX_WAIT_WITH_FREE_CAPACITY_S`. */
const MIGRATE_AFTER_FRACTION = 1 / 2;
const NO_USAGE: QuotaUsage = { cpus: 0, gpus: 0 };
/** The maximum number of candidates in a shard summary; each has different task requirements. */
const MAX_CANDIDATES = 4;

/** The conditions of a migration: how many tasks of the job may run at once, and the quota reserved for them. */
export interface MigrationTerms {
  /** Infinity if the job's team has no limit. */
  maxParallelTasks: number;
  /** Null if the job's team has no limit. */
  reservation: QuotaReservation | null;
  /** Whether the job moves to a shard of other teams, whose own jobs are placed first. */
  migratedIn: boolean;
}

/** The jobs that may migrate and have waited long enough, oldest first, one for each distinct task requirement. */
export function migrationCandidates(input: PlacementInput): MigrationCandidate[] {
  const migrateAfterMs = MIGRATE_AFTER_FRACTION * MAX_WAIT_WITH_FREE_CAPACITY_S * 1000;
  const oldestFirst = [...input.jobs]
    .filter((job) => input.wallNow - job.acceptedAt >= migrateAfterMs)
    .filter((job) => job.waitingCount > 0 && canMigrate(job, input))
    .sort((a, b) => a.acceptedAt - b.acceptedAt);
  if (oldestFirst.length === 0) return [];
  const quota = quotaSnapshot(input);
  const candidates = new Map<string, MigrationCandidate>();
  for (const job of oldestFirst) {
    const { cpus, gpus, memoryGb, types, zone, spot, priority } = job.spec;
    const task = { cpus, gpus, memoryGb, types: types ?? [], zone: zone ?? "", spot, priority, count: 1 };
    const kind = JSON.stringify(task);
    if (candidates.has(kind) || migrationTermsFor(job, input, quota) === null) continue;
    candidates.set(kind, { job: job.spec.id, task, waitedMs: input.wallNow - job.acceptedAt });
    if (candidates.size === MAX_CANDIDATES) break;
  }
  return [...candidates.values()];
}

/** Whether a job is startable, certainly never had a task placed, did not migrate here and is not suspected faulty. */
export function canMigrate(job: Job, input: PlacementInput): boolean {
  return (
    !job.hasStarted &&
    !job.isSuspectedFaulty &&
    job.maxParallelTasks === Infinity &&
    !job.migratedIn &&
    isStartable(job, input)
  );
}

/**
 * The terms on which a job may migrate now. Null if its team is not configured, or if the team's unused quota holds
 * fewer tasks of the job than its whole quota would.
 */
export function migrationTermsFor(
  job: Job,
  input: PlacementInput,
  quota = quotaSnapshot(input),
): MigrationTerms | null {
  const { spec } = job;
  const team = teamOf(job, input.teams);
  if (team === undefined) return null;
  // With a single team all shards serve it alike; several teams are distributed over the shards.
  const migratedIn = input.teams.length > 1;
  if (team.cpusMax <= 0 && team.gpusMax <= 0)
    return { maxParallelTasks: Infinity, reservation: null, migratedIn };
  const usage = quota.byTeam.get(spec.team)!;
  const maxParallelTasks = Math.min(spec.tasks, tasksWithinLimit(team, usage, quota.unreconciled, spec));
  const maxWithUnusedQuota = Math.min(spec.tasks, tasksWithinLimit(team, NO_USAGE, NO_USAGE, spec));
  // Otherwise a migrated job might run one or two tasks at a time where its own shard could soon run all of them.
  if (maxParallelTasks < maxWithUnusedQuota) return null;
  const cpus = maxParallelTasks * spec.cpus;
  const gpus = maxParallelTasks * spec.gpus;
  return { maxParallelTasks, reservation: { team: spec.team, cpus, gpus }, migratedIn };
}

/**
 * For each instance pool (type, zone, spot), the free capacity of the machine with the most free CPUs, except for
 * reserved machines. To be called right after a round, when no job of this shard can use the capacity.
 */
export function largestFreeCapacity(input: PlacementInput): FreeCapacity[] {
  const largestByPool = new Map<string, FreeCapacity>();
  for (const machine of input.machines) {
    const type = usableTypeOf(machine, input);
    if (type === null) continue;
    if (input.starvationReservations.has(machine) || input.preemptionReservations.has(machine)) continue;
    // Most machines are full: compute the other resources only for those that are not.
    const freeCpus = type.cpus - machine.usedResources().cpus;
    const { zone, spot } = machine.record;
    const pool = poolKey(machine.record);
    if (freeCpus <= ROUNDING_TOLERANCE || freeCpus <= (largestByPool.get(pool)?.cpus ?? 0)) continue;
    const { cpus, gpus, memoryGb } = freeCapacityOf(machine, type);
    largestByPool.set(pool, { type: type.name, zone, spot, cpus, gpus, memoryGb });
  }
  return [...largestByPool.values()];
}
