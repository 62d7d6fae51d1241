/** How much fits where: room on machines, limits of teams, and where a job may run. Pure. */
import type { Team } from "../config/settings.js";
import type { MachineType } from "../wire/index.js";
import type { Job, Machine } from "../workers/model.js";

/** Processors, cards and memory. */
export interface Amounts {
  cpus: number;
  gpus: number;
  memoryGb: number;
}

/** What a team, or what may run unseen, takes. */
export interface Usage {
  cpus: number;
  gpus: number;
}

/** What sums of fractions may be off by. */
export const EPSILON = 1e-9;

/** Whether one task fits free room; rounding errors of sums are forgiven. */
export function fits(free: Amounts, need: Amounts): boolean {
  return (
    free.cpus + EPSILON >= need.cpus &&
    free.gpus + EPSILON >= need.gpus &&
    free.memoryGb + EPSILON >= need.memoryGb
  );
}

/** How many such tasks an empty machine of a type holds. */
export function slotsOn(demand: Amounts, type: MachineType): number {
  const per = (have: number, need: number): number => (need > 0 ? Math.floor(have / need + 1e-9) : Infinity);
  const slots = Math.min(
    per(type.cpus, demand.cpus),
    per(type.gpus, demand.gpus),
    per(type.memoryGb, demand.memoryGb),
  );
  return Number.isFinite(slots) ? slots : 1;
}

/** How many tasks of a job are in each zone, all counted that are not proven gone. */
export function zonesOf(job: Job): Map<string, number> {
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
  reserved: ReadonlyMap<string, Usage> = new Map(),
): Map<string, Usage> {
  const usage = new Map<string, Usage>();
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
export function unseenUsage(machines: Iterable<Machine>, types: Map<string, MachineType>): Usage {
  const sum = { cpus: 0, gpus: 0 };
  for (const machine of machines) {
    if (!machine.awaitsRecovery && machine.orphans.size === 0) continue;
    sum.cpus += types.get(machine.record.type)?.cpus ?? Infinity;
    sum.gpus += types.get(machine.record.type)?.gpus ?? Infinity;
  }
  return sum;
}

/** Whether a job may run on a machine by its type, zone and kind, and has not failed there lately. */
export function allows(job: Job, machine: Machine): boolean {
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
export function zoneAllowed(job: Job, zone: string, zones: Map<string, number>): boolean {
  if (job.spec.oneZone) for (const other of zones.keys()) if (other !== zone) return false;
  return !job.spec.spread || (zones.get(zone) ?? 0) < Math.ceil(job.spec.tasks / 2);
}

/** What an owner's term says about jobs from before it. */
export interface Term {
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
export function startable(job: Job, term: Term): boolean {
  return (
    !job.closing &&
    !job.transferring &&
    job.notBefore <= term.now &&
    (term.recovered || job.version > term.termToken)
  );
}

/** Whether one more task stays within a team's limit. */
export function underLimit(team: Team | undefined, used: Usage, unseen: Usage, spec: Usage): boolean {
  if (team === undefined) return false;
  const over = (max: number, a: number, b: number, c: number): boolean =>
    max > 0 && a + b + c > max + EPSILON;
  return (
    !over(team.cpusMax, used.cpus, unseen.cpus, spec.cpus) &&
    !over(team.gpusMax, used.gpus, unseen.gpus, spec.gpus)
  );
}
