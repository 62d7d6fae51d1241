/** Where waiting tasks go: one round of decisions, within a budget of time. Pure but for the clock it is given. */
import type { Team } from "../config/settings.js";
import type { SteadyClock } from "../runtime/clock.js";
import type { MachineType } from "../wire/index.js";
import type { Job, Machine } from "../workers/model.js";
import { orderByUrgency, type Plan } from "./urgency.js";

export interface Start {
  job: Job;
  index: number;
  machine: Machine;
}

export interface RoundInput extends Plan {
  jobs: Iterable<Job>;
  machines: Machine[];
  now: number;
  /** Every machine of the share heard, or its lease surely over. */
  settled: boolean;
  /** The version of the share record with which this owner's term began. */
  termToken: number;
  /** The job at which the last round ran out of time. */
  resumeAt: string | null;
}

export interface Round {
  starts: Start[];
  /** Where the next round goes on; null when everything was looked at. */
  resumeAt: string | null;
}

export interface Amounts {
  cpus: number;
  gpus: number;
  memoryGb: number;
}

interface Room extends Amounts {
  machine: Machine;
  type: MachineType;
}

interface Usage {
  cpus: number;
  gpus: number;
}

const EPSILON = 1e-9;

export function fits(free: Amounts, need: Amounts): boolean {
  return (
    free.cpus + EPSILON >= need.cpus &&
    free.gpus + EPSILON >= need.gpus &&
    free.memoryGb + EPSILON >= need.memoryGb
  );
}

/** How many tasks of a job are in each zone, all counted that are not proven gone. */
export function zonesOf(job: Job): Map<string, number> {
  const zones = new Map<string, number>();
  for (const { machine } of job.active.values()) countZone(zones, machine);
  return zones;
}

export function countZone(zones: Map<string, number>, { record }: Machine): void {
  zones.set(record.zone, (zones.get(record.zone) ?? 0) + 1);
}

/** What each team uses, every placement counted that is not proven gone. */
export function teamUsage(jobs: Iterable<Job>): Map<string, Usage> {
  const usage = new Map<string, Usage>();
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
    if (!machine.inCensus && machine.orphans.size === 0) continue;
    sum.cpus += types.get(machine.record.type)?.cpus ?? Infinity;
    sum.gpus += types.get(machine.record.type)?.gpus ?? Infinity;
  }
  return sum;
}

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

export function placeRound(input: RoundInput, clock: SteadyClock, deadline: number): Round {
  const rooms: Room[] = [];
  for (const machine of input.machines) {
    const type = input.types.get(machine.record.type);
    if (!type || !machine.usable || machine.notBefore > input.now) continue;
    const used = machine.used();
    rooms.push({
      machine,
      type,
      cpus: type.cpus - used.cpus,
      gpus: type.gpus - used.gpus,
      memoryGb: type.memoryGb - used.memoryGb,
    });
  }
  const starts: Start[] = [];
  const all = [...input.jobs];
  const usage = teamUsage(all);
  const unseen = unseenUsage(input.machines, input.types);
  const queue = orderByUrgency(
    all.filter((job) => job.waiting > 0 && startable(job, input)),
    input,
  );
  const first = input.resumeAt === null ? -1 : queue.findIndex((job) => job.spec.id === input.resumeAt);
  for (let i = Math.max(0, first); i < queue.length; i++) {
    const job = queue[i]!;
    if (i > Math.max(0, first) && clock() > deadline) return { starts, resumeAt: job.spec.id };
    const team = input.teams.find((t) => t.name === job.spec.team);
    const used = usage.get(job.spec.team) ?? { cpus: 0, gpus: 0 };
    placeJob(job, rooms, team, used, unseen, starts);
  }
  return { starts, resumeAt: null };
}

/**
 * Guards against `ran_twice`: a job of an older term may run on any machine that has not been heard yet, so it
 * waits for all of them. A job accepted in this term cannot.
 */
export function startable(job: Job, input: Pick<RoundInput, "settled" | "termToken" | "now">): boolean {
  return !job.closing && job.notBefore <= input.now && (input.settled || job.version > input.termToken);
}

export function underLimit(team: Team | undefined, used: Usage, unseen: Usage, spec: Usage): boolean {
  if (team === undefined) return false;
  const over = (max: number, a: number, b: number, c: number): boolean =>
    max > 0 && a + b + c > max + EPSILON;
  return (
    !over(team.cpusMax, used.cpus, unseen.cpus, spec.cpus) &&
    !over(team.gpusMax, used.gpus, unseen.gpus, spec.gpus)
  );
}

function placeJob(
  job: Job,
  rooms: Room[],
  team: Team | undefined,
  used: Usage,
  unseen: Usage,
  starts: Start[],
): void {
  const open = rooms.filter((room) => allows(job, room.machine));
  const zones = zonesOf(job);
  const taken = new Set<number>();
  while (underLimit(team, used, unseen, job.spec)) {
    const index = nextIndex(job, taken);
    if (index === null) return;
    const room = bestRoom(job, open, zones);
    if (room === null) return;
    taken.add(index);
    starts.push({ job, index, machine: room.machine });
    room.cpus -= job.spec.cpus;
    room.gpus -= job.spec.gpus;
    room.memoryGb -= job.spec.memoryGb;
    used.cpus += job.spec.cpus;
    used.gpus += job.spec.gpus;
    countZone(zones, room.machine);
  }
}

function nextIndex(job: Job, taken: Set<number>): number | null {
  for (let i = job.nextWaiting() ?? job.spec.tasks; i < job.spec.tasks; i++)
    if (!job.done.has(i) && !job.active.has(i) && !taken.has(i)) return i;
  return null;
}

/**
 * The cheapest kind first, then one that has the image, then the fullest: dear and empty machines are left to run
 * dry and be given back.
 */
function bestRoom(job: Job, rooms: Room[], zones: Map<string, number>): Room | null {
  let best: Room | null = null;
  let bestScore = -Infinity;
  for (const room of rooms) {
    const { spec } = job;
    if (!fits(room, spec) || !zoneAllowed(job, room.machine.record.zone, zones)) continue;
    const score =
      (room.machine.record.spot ? 2 : 0) +
      (room.machine.images.has(spec.image) ? 1 : 0) -
      room.cpus / (1 + (room.type.cpus || 1));
    if (score > bestScore) [best, bestScore] = [room, score];
  }
  return best;
}
