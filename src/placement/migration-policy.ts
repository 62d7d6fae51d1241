/** Which jobs may pass to another shard, and what room a shard has that nothing of its own takes. Pure. */
import type { Team } from "../config/settings.js";
import type { FreeCapacity, MigrationCandidate } from "../peers/peer-messages.js";
import type { QuotaReservation } from "../jobs/job-records.js";
import { MAX_WAIT_WITH_FREE_CAPACITY_S } from "../wire/index.js";
import type { Job } from "../workers/model.js";
import {
  ROUNDING_TOLERANCE,
  isStartable,
  teamUsage,
  unreconciledUsage,
  type QuotaUsage,
} from "./capacity.js";
import type { PlacementInput } from "./placement-round.js";

/** A job may pass on once it has waited for this fraction of the time in which nobody waits beside room. */
const MIGRATE_AFTER_FRACTION = 1 / 2;
const NOTHING: QuotaUsage = { cpus: 0, gpus: 0 };
/** So many jobs are told of at a time: they differ in what their tasks need. */
const MAX_CANDIDATES = 4;

/** What passing a job on takes: how many of its tasks may run at a time, and what is reserved for them. */
export interface MigrationTerms {
  /** Infinity where the job's team has no limit. */
  maxParallelTasks: number;
  /** Null where the job's team has no limit. */
  reservation: QuotaReservation | null;
  /** Whether the job goes to a shard of other teams, whose own jobs come first there. */
  migratedIn: boolean;
}

/** The jobs that have not begun and have waited for long, the oldest first, one of each kind. */
export function migrationCandidates(input: PlacementInput): MigrationCandidate[] {
  const oldest = [...input.jobs]
    .filter(
      (job) =>
        input.wallNow - job.acceptedAt >= MIGRATE_AFTER_FRACTION * MAX_WAIT_WITH_FREE_CAPACITY_S * 1000,
    )
    .filter((job) => job.waiting > 0 && canMigrate(job, input))
    .sort((a, b) => a.acceptedAt - b.acceptedAt);
  if (oldest.length === 0) return [];
  const taken = quotaSnapshot(input);
  const told = new Map<string, MigrationCandidate>();
  for (const job of oldest) {
    const { cpus, gpus, memoryGb, types, zone, spot, priority } = job.spec;
    const task = { cpus, gpus, memoryGb, types: types ?? [], zone: zone ?? "", spot, priority, count: 1 };
    const kind = JSON.stringify(task);
    if (told.has(kind) || migrationTermsFor(job, input, taken) === null) continue;
    told.set(kind, { job: job.spec.id, task, waitedMs: input.wallNow - job.acceptedAt });
    if (told.size === MAX_CANDIDATES) break;
  }
  return [...told.values()];
}

/** Whether nothing of a job has ever been placed, as is known for sure, and it is not a guest here itself. */
export function canMigrate(job: Job, input: PlacementInput): boolean {
  return (
    !job.hasStarted &&
    !job.suspectedFaulty &&
    job.maxParallelTasks === Infinity &&
    !job.migratedIn &&
    isStartable(job, input)
  );
}

/** What the teams take of their limits: worked out once for all jobs that are looked at together. */
interface QuotaSnapshot {
  byTeam: Map<string, QuotaUsage>;
  unseen: QuotaUsage;
}

function quotaSnapshot(input: PlacementInput): QuotaSnapshot {
  return {
    byTeam: teamUsage(input.jobs, input.reservedQuota),
    unseen: unreconciledUsage(input.machines, input.types),
  };
}

/** On what terms a job may pass on now; null if its team's limit leaves no room for all that could ever run of it at once. */
export function migrationTermsFor(
  job: Job,
  input: PlacementInput,
  taken = quotaSnapshot(input),
): MigrationTerms | null {
  const { spec } = job;
  const team = input.teams.find((t) => t.name === spec.team);
  if (team === undefined) return null;
  // A single team's shards are alike; several teams are spread over the shards.
  const guest = input.teams.length > 1;
  if (team.cpusMax <= 0 && team.gpusMax <= 0)
    return { maxParallelTasks: Infinity, reservation: null, migratedIn: guest };
  const used = taken.byTeam.get(spec.team)!;
  const most = Math.min(spec.tasks, tasksUnderLimit(team, used, taken.unseen, spec));
  // Guards against a job that goes on with a task or two at a time where its own shard would soon let all of it run.
  if (most < Math.min(spec.tasks, tasksUnderLimit(team, NOTHING, NOTHING, spec))) return null;
  const reservation = { team: spec.team, cpus: most * spec.cpus, gpus: most * spec.gpus };
  return { maxParallelTasks: most, reservation, migratedIn: guest };
}

function tasksUnderLimit(team: Team, used: QuotaUsage, unseen: QuotaUsage, need: QuotaUsage): number {
  const per = (max: number, taken: number, each: number): number =>
    max > 0 && each > 0 ? Math.floor((max - taken) / each + ROUNDING_TOLERANCE) : Infinity;
  return Math.min(
    per(team.cpusMax, used.cpus + unseen.cpus, need.cpus),
    per(team.gpusMax, used.gpus + unseen.gpus, need.gpus),
  );
}

/** The largest free room of each market, reserved machines left out: right after a round nothing of this shard takes it. */
export function largestFreeCapacity(input: PlacementInput): FreeCapacity[] {
  const largest = new Map<string, FreeCapacity>();
  for (const machine of input.machines) {
    const type = input.types.get(machine.record.type);
    if (type === undefined || !machine.schedulable || machine.notBefore > input.now) continue;
    if (input.starvationReservations.has(machine) || input.preemptionReservations.has(machine)) continue;
    const used = machine.usedResources();
    const cpus = type.cpus - used.cpus;
    const { zone, spot } = machine.record;
    const key = `${type.name}/${zone}/${spot}`;
    if (cpus <= ROUNDING_TOLERANCE || cpus <= (largest.get(key)?.cpus ?? 0)) continue;
    const room = { cpus, gpus: type.gpus - used.gpus, memoryGb: type.memoryGb - used.memoryGb };
    largest.set(key, { type: type.name, zone, spot, ...room });
  }
  return [...largest.values()];
}
