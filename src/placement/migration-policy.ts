/** Which jobs may migrate to another shard, and what capacity a shard has for jobs of others. Pure. */
import type { Team } from "../config/settings.js";
import type { FreeCapacity, MigrationCandidate } from "../peers/peer-messages.js";
import type { QuotaReservation } from "../jobs/job-records.js";
import { MAX_WAIT_WITH_FREE_CAPACITY_S } from "../wire/index.js";
import type { Job } from "../workers/job.js";
import { ROUNDING_TOLERANCE } from "./capacity.js";
import { isStartable } from "./eligibility.js";
import { freeCapacityOf, usableTypeOf } from "./machine-capacity.js";
import { quotaSnapshot, teamOf, type QuotaUsage } from "./quota.js";
import type { PlacementInput } from "./scheduling-context.js";

/** A job may migrate once it has waited for this fraction of the time in which nobody waits with free capacity. */
const MIGRATE_AFTER_FRACTION = 1 / 2;
const NO_USAGE: QuotaUsage = { cpus: 0, gpus: 0 };
/** How many candidates a summary names: they differ in what their tasks need. */
const MAX_CANDIDATES = 4;

/** On what terms a job migrates: how many of its tasks may run at a time, and what is reserved for them. */
export interface MigrationTerms {
  /** Infinity where the job's team has no limit. */
  maxParallelTasks: number;
  /** Null where the job's team has no limit. */
  reservation: QuotaReservation | null;
  /** Whether the job goes to a shard of other teams, whose own jobs come first there. */
  migratedIn: boolean;
}

/** The jobs that have not begun and have waited for long, the oldest first, one of each kind of task. */
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

/** Whether it is known for sure that no task of a job has ever been placed, and it has not migrated here itself. */
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
 * On what terms a job may migrate now; null if its team's limit does not leave enough for all of its tasks that could
 * ever run at once.
 */
export function migrationTermsFor(
  job: Job,
  input: PlacementInput,
  quota = quotaSnapshot(input),
): MigrationTerms | null {
  const { spec } = job;
  const team = teamOf(job, input.teams);
  if (team === undefined) return null;
  // A single team's shards are alike; several teams are spread over the shards.
  const migratedIn = input.teams.length > 1;
  if (team.cpusMax <= 0 && team.gpusMax <= 0)
    return { maxParallelTasks: Infinity, reservation: null, migratedIn };
  const usage = quota.byTeam.get(spec.team)!;
  const maxParallelTasks = Math.min(spec.tasks, tasksWithinLimit(team, usage, quota.unreconciled, spec));
  const maxEver = Math.min(spec.tasks, tasksWithinLimit(team, NO_USAGE, NO_USAGE, spec));
  // Guards against a job that goes on with a task or two at a time where its own shard would soon let all of it run.
  if (maxParallelTasks < maxEver) return null;
  const cpus = maxParallelTasks * spec.cpus;
  const gpus = maxParallelTasks * spec.gpus;
  return { maxParallelTasks, reservation: { team: spec.team, cpus, gpus }, migratedIn };
}

/** How many more tasks that need `need` stay within the team's limit. */
function tasksWithinLimit(team: Team, usage: QuotaUsage, unreconciled: QuotaUsage, need: QuotaUsage): number {
  return Math.min(
    tasksWithin(team.cpusMax, usage.cpus + unreconciled.cpus, need.cpus),
    tasksWithin(team.gpusMax, usage.gpus + unreconciled.gpus, need.gpus),
  );
}

/** A limit of zero is none. */
function tasksWithin(limit: number, usage: number, needPerTask: number): number {
  return limit > 0 && needPerTask > 0
    ? Math.floor((limit - usage) / needPerTask + ROUNDING_TOLERANCE)
    : Infinity;
}

/**
 * The largest free capacity on one machine of each instance pool, reserved machines left out: right after a round no
 * job of this shard uses it.
 */
export function largestFreeCapacity(input: PlacementInput): FreeCapacity[] {
  const largestByPool = new Map<string, FreeCapacity>();
  for (const machine of input.machines) {
    const type = usableTypeOf(machine, input);
    if (type === null) continue;
    if (input.starvationReservations.has(machine) || input.preemptionReservations.has(machine)) continue;
    // Most machines are full: the other resources are computed only for those that are not.
    const freeCpus = type.cpus - machine.usedResources().cpus;
    const { zone, spot } = machine.record;
    const pool = `${type.name}/${zone}/${spot}`;
    if (freeCpus <= ROUNDING_TOLERANCE || freeCpus <= (largestByPool.get(pool)?.cpus ?? 0)) continue;
    const { cpus, gpus, memoryGb } = freeCapacityOf(machine, type);
    largestByPool.set(pool, { type: type.name, zone, spot, cpus, gpus, memoryGb });
  }
  return [...largestByPool.values()];
}
