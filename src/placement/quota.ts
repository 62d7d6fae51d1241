/** Computes the quota usage of teams and checks it against their limits. Pure. */
import type { Team } from "../config/settings.js";
import type { MachineType } from "../wire/index.js";
import type { Job } from "../workers/job.js";
import type { Machine } from "../workers/machine.js";
import { ROUNDING_TOLERANCE } from "./capacity.js";

/** Amounts of the resources that quotas limit: a team's usage, or the needs of one task. */
export interface QuotaUsage {
  cpus: number;
  gpus: number;
}

/** The input for computing quota usage. */
export interface QuotaInput {
  jobs: Iterable<Job>;
  machines: Iterable<Machine>;
  types: Map<string, MachineType>;
  /** The quota reserved, by team, for jobs that have migrated to other shards. */
  reservedQuota: ReadonlyMap<string, QuotaUsage>;
}

/** Quota usage at one point in time, computed once for all jobs that are scheduled together. */
export interface QuotaSnapshot {
  /** The usage of each team that has jobs in this shard or reservations for migrated jobs. */
  byTeam: Map<string, QuotaUsage>;
  /** The resources that tasks unknown to this owner may use; any team may own them, so they count for every team. */
  unreconciled: QuotaUsage;
}

/** Computes the quota usage of all teams. */
export function quotaSnapshot(input: QuotaInput): QuotaSnapshot {
  return {
    byTeam: teamUsage(input.jobs, input.reservedQuota),
    unreconciled: unreconciledUsage(input.machines, input.types),
  };
}

/** The usage per team: every placement that is not proven gone, plus the reservations for migrated jobs. */
function teamUsage(
  jobs: Iterable<Job>,
  reservedQuota: ReadonlyMap<string, QuotaUsage>,
): Map<string, QuotaUsage> {
  const usageByTeam = new Map<string, QuotaUsage>();
  for (const [team, { cpus, gpus }] of reservedQuota) usageByTeam.set(team, { cpus, gpus });
  for (const job of jobs) {
    const usage = usageByTeam.get(job.spec.team) ?? { cpus: 0, gpus: 0 };
    usage.cpus += job.spec.cpus * job.activeAttempts.size;
    usage.gpus += job.spec.gpus * job.activeAttempts.size;
    usageByTeam.set(job.spec.team, usage);
  }
  return usageByTeam;
}

/**
 * The resources that tasks unknown to this owner may use: the full capacity of every machine on which an earlier owner
 * may have started tasks, or that reports tasks without a known attempt. Infinite for a machine of unknown type.
 */
function unreconciledUsage(machines: Iterable<Machine>, types: Map<string, MachineType>): QuotaUsage {
  const usage = { cpus: 0, gpus: 0 };
  for (const machine of machines) {
    if (!machine.isUnreconciled && machine.orphanTasks.size === 0) continue;
    usage.cpus += types.get(machine.record.type)?.cpus ?? Infinity;
    usage.gpus += types.get(machine.record.type)?.gpus ?? Infinity;
  }
  return usage;
}

/** The settings of a job's team; undefined if the team is not configured. */
export function teamOf(job: Job, teams: readonly Team[]): Team | undefined {
  return teams.find((team) => team.name === job.spec.team);
}

/** Whether a team's usage stays within its limits with one more task that needs `need`; false for an unknown team. */
export function isWithinQuota(
  team: Team | undefined,
  usage: QuotaUsage,
  unreconciled: QuotaUsage,
  need: QuotaUsage,
): boolean {
  if (team === undefined) return false;
  return (
    !exceedsLimit(team.cpusMax, usage.cpus + unreconciled.cpus + need.cpus) &&
    !exceedsLimit(team.gpusMax, usage.gpus + unreconciled.gpus + need.gpus)
  );
}

/** A limit of 0 means no limit. */
function exceedsLimit(limit: number, usage: number): boolean {
  return limit > 0 && usage > limit + ROUNDING_TOLERANCE;
}

/**
 * How many more tasks that need `need` fit within the team's limits. Infinity without a limit, and negative if the
 * usage exceeds one.
 */
export function tasksWithinLimit(
  team: Team,
  usage: QuotaUsage,
  unreconciled: QuotaUsage,
  need: QuotaUsage,
): number {
  return Math.min(
    tasksWithin(team.cpusMax, usage.cpus + unreconciled.cpus, need.cpus),
    tasksWithin(team.gpusMax, usage.gpus + unreconciled.gpus, need.gpus),
  );
}

function tasksWithin(limit: number, usage: number, needPerTask: number): number {
  return limit > 0 && needPerTask > 0
    ? Math.floor((limit - usage) / needPerTask + ROUNDING_TOLERANCE)
    : Infinity;
}

/** Adds the resources of tasks to `usage` in place. */
export function addUsage(usage: QuotaUsage, { cpus, gpus }: Readonly<QuotaUsage>, tasks = 1): void {
  usage.cpus += cpus * tasks;
  usage.gpus += gpus * tasks;
}

/** Subtracts the resources of a task from `usage` in place. */
export function subtractUsage(usage: QuotaUsage, { cpus, gpus }: Readonly<QuotaUsage>): void {
  usage.cpus -= cpus;
  usage.gpus -= gpus;
}
