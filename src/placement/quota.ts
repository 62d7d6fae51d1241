/** What teams use of their quota, and whether one more task stays within a team's limit. Pure. */
import type { Team } from "../config/settings.js";
import type { MachineType } from "../wire/index.js";
import type { Job } from "../workers/job.js";
import type { Machine } from "../workers/machine.js";
import { ROUNDING_TOLERANCE } from "./capacity.js";

/** The resources that quotas limit, as used by a team or needed by a task. */
export interface QuotaUsage {
  cpus: number;
  gpus: number;
}

/** What quota usage is computed from. */
export interface QuotaInput {
  jobs: Iterable<Job>;
  machines: Iterable<Machine>;
  types: Map<string, MachineType>;
  /** What is reserved of teams' limits for jobs that have migrated to other shards. */
  reservedQuota: ReadonlyMap<string, QuotaUsage>;
}

/** Quota usage of a moment: computed once for all jobs that are decided on together. */
export interface QuotaSnapshot {
  /** The usage of each team that has jobs here or reservations for migrated ones. */
  byTeam: Map<string, QuotaUsage>;
  /** What tasks that this owner does not know of may use; it counts for every team. */
  unreconciled: QuotaUsage;
}

/** Computes the quota usage of all teams. */
export function quotaSnapshot(input: QuotaInput): QuotaSnapshot {
  return {
    byTeam: teamUsage(input.jobs, input.reservedQuota),
    unreconciled: unreconciledUsage(input.machines, input.types),
  };
}

/** What each team uses, every placement counted that is not proven gone, and what is reserved in other shards. */
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
 * What tasks that this owner does not know of may use: all of a machine on which an earlier owner may have started
 * tasks, or that runs tasks of unknown jobs.
 */
function unreconciledUsage(machines: Iterable<Machine>, types: Map<string, MachineType>): QuotaUsage {
  const usage = { cpus: 0, gpus: 0 };
  for (const machine of machines) {
    if (!machine.mayHaveUnreportedTasks && machine.orphanTasks.size === 0) continue;
    usage.cpus += types.get(machine.record.type)?.cpus ?? Infinity;
    usage.gpus += types.get(machine.record.type)?.gpus ?? Infinity;
  }
  return usage;
}

/** The settings of a job's team; undefined if there is no such team. */
export function teamOf(job: Job, teams: readonly Team[]): Team | undefined {
  return teams.find((team) => team.name === job.spec.team);
}

/** Whether one more task that needs `need` stays within its team's limit. */
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

/** A limit of zero is none. */
function exceedsLimit(limit: number, usage: number): boolean {
  return limit > 0 && usage > limit + ROUNDING_TOLERANCE;
}

/** Adds what a task uses to a usage in place. */
export function addUsage(usage: QuotaUsage, { cpus, gpus }: Readonly<QuotaUsage>): void {
  usage.cpus += cpus;
  usage.gpus += gpus;
}

/** Subtracts what a task uses from a usage in place. */
export function subtractUsage(usage: QuotaUsage, { cpus, gpus }: Readonly<QuotaUsage>): void {
  usage.cpus -= cpus;
  usage.gpus -= gpus;
}
