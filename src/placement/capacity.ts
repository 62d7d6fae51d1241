/** How much fits where: room on machines, limits of teams, and where a job may run. Pure. */
import type { Team } from "../config/settings.js";
import type { MachineType } from "../wire/index.js";
import type { Job, Machine } from "../workers/model.js";

/** Processors, cards and memory. */
export interface Resources {
  cpus: number;
  gpus: number;
  memoryGb: number;
}

/** What a team, or what may run unseen, takes. */
export interface QuotaUsage {
  cpus: number;
  gpus: number;
}

/** What sums of fractions may be off by. */
export const ROUNDING_TOLERANCE = 1e-9;

/** Whether one task fits free room; rounding errors of sums are forgiven. */
export function fits(free: Resources, need: Resources): boolean {
  return (
    free.cpus + ROUNDING_TOLERANCE >= need.cpus &&
    free.gpus + ROUNDING_TOLERANCE >= need.gpus &&
    free.memoryGb + ROUNDING_TOLERANCE >= need.memoryGb
  );
}

/** How many such tasks an empty machine of a type holds. */
export function slotsPerMachine(demand: Resources, type: MachineType): number {
  const per = (have: number, need: number): number => (need > 0 ? Math.floor(have / need + 1e-9) : Infinity);
  const slots = Math.min(
    per(type.cpus, demand.cpus),
    per(type.gpus, demand.gpus),
    per(type.memoryGb, demand.memoryGb),
  );
  return Number.isFinite(slots) ? slots : 1;
}

/** How many tasks of a job are in each zone, all counted that are not proven gone. */
export function countTasksByZone(job: Job): Map<string, number> {
  const zones = new Map<string, number>();
  for (const { machine } of job.active.values()) countZone(zones, machine);
  return zones;
}

/** Counts a machine's zone once more. */
export function countZone(zones: Map<string, number>, { record }: Machine): void {
  zones.set(record.zone, (zones.get(record.zone) ?? 0) + 1);
}

/** What each team uses, every placement counted that is not proven gone, and what is reserved in other shards. */
export function teamUsage(
  jobs: Iterable<Job>,
  reserved: ReadonlyMap<string, QuotaUsage> = new Map(),
): Map<string, QuotaUsage> {
  const usage = new Map<string, QuotaUsage>();
  for (const [team, { cpus, gpus }] of reserved) usage.set(team, { cpus, gpus });
  for (const job of jobs) {
    const sum = usage.get(job.spec.team) ?? { cpus: 0, gpus: 0 };
    sum.cpus += job.spec.cpus * job.active.size;
    sum.gpus += job.spec.gpus * job.active.size;
    usage.set(job.spec.team, sum);
  }
  return usage;
}

/** What may run unseen: all of a machine that an earlier owner may have filled, or that runs tasks of jobs we know nothing of. */
export function unreconciledUsage(machines: Iterable<Machine>, types: Map<string, MachineType>): QuotaUsage {
  const sum = { cpus: 0, gpus: 0 };
  for (const machine of machines) {
    if (!machine.unreconciled && machine.orphanTasks.size === 0) continue;
    sum.cpus += types.get(machine.record.type)?.cpus ?? Infinity;
    sum.gpus += types.get(machine.record.type)?.gpus ?? Infinity;
  }
  return sum;
}

/** Whether a job may run on a machine by its type, zone and kind, and has not failed there lately. */
export function isEligible(job: Job, machine: Machine): boolean {
  const { spec } = job;
  const { record } = machine;
  return (
    (spec.types === null || spec.types.includes(record.type)) &&
    (spec.zone === null || spec.zone === record.zone) &&
    (spec.spot || !record.spot) &&
    !job.failedOn.has(machine.host)
  );
}

/** Zones that the job's other tasks leave open for one more; null for all. */
export function allowsZone(job: Job, zone: string, zones: Map<string, number>): boolean {
  if (job.spec.oneZone) for (const other of zones.keys()) if (other !== zone) return false;
  return !job.spec.spread || (zones.get(zone) ?? 0) < Math.ceil(job.spec.tasks / 2);
}

/** What an owner's term says about jobs from before it. */
export interface OwnershipTerm {
  /** Steady time. */
  now: number;
  /** Every machine of the shard heard, or its lease surely over. */
  recovered: boolean;
  /** The version of the shard record with which this owner's term began. */
  termToken: number;
}

/**
 * Guards against `ran_twice`: a job of an older term may run on any machine that has not been heard yet, so it
 * waits for all of them. A job accepted in this term cannot.
 */
export function isStartable(job: Job, term: OwnershipTerm): boolean {
  return (
    !job.terminating &&
    !job.migrating &&
    job.notBefore <= term.now &&
    (term.recovered || job.version > term.termToken)
  );
}

/** Whether one more task stays within a team's limit. */
export function isWithinQuota(
  team: Team | undefined,
  used: QuotaUsage,
  unseen: QuotaUsage,
  spec: QuotaUsage,
): boolean {
  if (team === undefined) return false;
  const over = (max: number, a: number, b: number, c: number): boolean =>
    max > 0 && a + b + c > max + ROUNDING_TOLERANCE;
  return (
    !over(team.cpusMax, used.cpus, unseen.cpus, spec.cpus) &&
    !over(team.gpusMax, used.gpus, unseen.gpus, spec.gpus)
  );
}
