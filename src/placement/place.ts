/** Where waiting tasks go: one round of decisions, within a budget of time. Pure but for the clock it is given. */
import type { Team } from "../config/settings.js";
import type { SteadyClock } from "../runtime/clock.js";
import { PRIORITIES, type MachineType } from "../wire/index.js";
import type { Job, Machine } from "../workers/model.js";
import { expectedRunMs, isOverdue, keepsRoom, turnsOf, type Plan, type Turn } from "./urgency.js";

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
  /** Machines held back for a job that has waited too long, and the job that each waits for. */
  kept: ReadonlyMap<Machine, Job>;
  /** Machines on which tasks were stopped for a job, until it has had the time to start there. */
  reserved: ReadonlyMap<Machine, Job>;
}

export interface Round {
  starts: Start[];
  /** Where the next round goes on; null when everything was looked at. */
  resumeAt: string | null;
  kept: Map<Machine, Job>;
  /** How many machines were looked at for how many jobs: what the round cost, whatever the processor. */
  steps: number;
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
const URGENT = PRIORITIES.indexOf("urgent");

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

/** What every round of a moment shares, whole ones and those for one machine's room alike. */
interface Offer {
  input: RoundInput;
  usage: Map<string, Usage>;
  unseen: Usage;
  rooms: Room[];
  starts: Start[];
  kept: Map<Machine, Job>;
  steps: number;
}

/** The waiting jobs that may start, in the order in which they are served. */
export function queueOf(input: RoundInput): Turn[] {
  const waiting: Job[] = [];
  for (const job of input.jobs) if (job.waiting > 0 && startable(job, input)) waiting.push(job);
  return turnsOf(waiting, input);
}

function makeOffer(input: RoundInput, rooms: Room[]): Offer {
  return {
    input,
    usage: teamUsage(input.jobs),
    unseen: unseenUsage(input.machines, input.types),
    rooms,
    starts: [],
    kept: new Map(input.reserved),
    steps: 0,
  };
}

/**
 * Room that is too small for every waiting task is left out at once. Guards against a queue of large tasks, or of a
 * team at its limit, costing a look at every machine for every job.
 */
function roomsFor(queue: Turn[], input: RoundInput, machines: Iterable<Machine>): Room[] {
  const least = { cpus: Infinity, gpus: Infinity, memoryGb: Infinity };
  for (const { job } of queue) {
    least.cpus = Math.min(least.cpus, job.spec.cpus);
    least.gpus = Math.min(least.gpus, job.spec.gpus);
    least.memoryGb = Math.min(least.memoryGb, job.spec.memoryGb);
  }
  return openRooms(input, machines).filter((room) => fits(room, least));
}

/** A whole round: all that waits against all that is open. */
export function placeRound(input: RoundInput, queue: Turn[], clock: SteadyClock, deadline: number): Round {
  const offer = makeOffer(input, roomsFor(queue, input, input.machines));
  const blocked = new Set<string>();
  const found = input.resumeAt === null ? -1 : queue.findIndex(({ job }) => job.spec.id === input.resumeAt);
  const first = Math.max(0, found);
  // What the jobs before the resumed one hold back stays held.
  if (first > 0) for (const [machine, job] of input.kept) offer.kept.set(machine, job);
  for (let i = first; i < queue.length; i++) {
    const { job } = queue[i]!;
    if (i > first && clock() > deadline)
      return { starts: offer.starts, resumeAt: job.spec.id, kept: offer.kept, steps: offer.steps };
    serve(job, offer, blocked);
    if (keepsRoom(job, input)) holdBack(job, offer);
  }
  return { starts: offer.starts, resumeAt: null, kept: offer.kept, steps: offer.steps };
}

/**
 * The room of one machine that has just spoken, offered to the queue as it was last ordered: a report costs what it
 * changes, and not a look at the whole share.
 */
export function placeOn(
  machine: Machine,
  queue: Turn[],
  input: RoundInput,
  /** Whether so many machines have the job's image that its tasks need not go to others. */
  atHome: (job: Job) => boolean,
): Round {
  const kept = new Map([...input.kept, ...input.reserved]);
  const rooms = roomsFor(queue, input, [machine]);
  // Most machines that speak are full: what else the decision takes is not added up for them.
  if (rooms.length === 0) return { starts: [], resumeAt: null, kept, steps: 0 };
  const offer = { ...makeOffer(input, rooms), kept };
  const blocked = new Set<string>();
  for (const job of nearFirst(machine, queue, input, atHome)) serve(job, offer, blocked);
  return { starts: offer.starts, resumeAt: null, kept, steps: offer.steps };
}

/**
 * The queue as this machine is to serve it. Fetching an image holds a task's processors and gains nothing, so that of
 * two jobs that can wait about alike the one whose image is here goes first, if the other has machines enough with its
 * own. About alike: of one rank, and within a task's run of each other.
 */
function* nearFirst(
  machine: Machine,
  queue: Turn[],
  input: RoundInput,
  atHome: (job: Job) => boolean,
): Generator<Job> {
  let later: Turn[] = [];
  for (const turn of queue) {
    const { job } = turn;
    if (job.waiting === 0 || !startable(job, input)) continue;
    const head = later[0];
    if (head !== undefined && !aboutAlike(head, turn, input)) {
      for (const put of later) yield put.job;
      later = [];
    }
    if (!machine.images.has(job.spec.image) && !isOverdue(job, input) && atHome(job)) later.push(turn);
    else yield job;
  }
  for (const put of later) yield put.job;
}

function aboutAlike(head: Turn, turn: Turn, input: RoundInput): boolean {
  return (
    head.rank === turn.rank &&
    head.behind === turn.behind &&
    turn.start - head.start <= expectedRunMs(head.job, input)
  );
}

function openRooms(input: RoundInput, machines: Iterable<Machine>): Room[] {
  const rooms: Room[] = [];
  for (const machine of machines) {
    const type = input.types.get(machine.record.type);
    if (!type || !machine.usable || machine.notBefore > input.now) continue;
    const used = machine.used();
    const room: Room = {
      machine,
      type,
      cpus: type.cpus - used.cpus,
      gpus: type.gpus - used.gpus,
      memoryGb: type.memoryGb - used.memoryGb,
    };
    // Every task takes processors or memory: a machine without either is full for all.
    if (room.cpus > EPSILON || room.memoryGb > EPSILON) rooms.push(room);
  }
  return rooms;
}

/** Places what fits of one job. An overdue one at its team's limit lets none of the team's later jobs pass. */
function serve(job: Job, offer: Offer, blocked: Set<string>): void {
  const { team: name } = job.spec;
  if (blocked.has(name)) return;
  const team = offer.input.teams.find((t) => t.name === name);
  const used = offer.usage.get(name) ?? { cpus: 0, gpus: 0 };
  placeJob(job, offer, team, used);
  if (keepsRoom(job, offer.input) && !underLimit(team, used, offer.unseen, job.spec)) blocked.add(name);
}

/**
 * Guards against starving a job of large tasks: small ones would take every piece of room before enough of it comes
 * together. One machine that could hold a task of the overdue job takes nothing else until it does.
 */
function holdBack(job: Job, offer: Offer): void {
  const { input, kept } = offer;
  if (offer.starts.some((s) => s.job === job)) return;
  let best: Machine | null = null;
  let most = -Infinity;
  for (const machine of input.machines) {
    const type = input.types.get(machine.record.type);
    if (!type || !machine.usable || kept.has(machine) || !allows(job, machine)) continue;
    if (!fits(type, job.spec)) continue;
    const free = input.kept.get(machine) === job ? Infinity : type.cpus - machine.used().cpus;
    if (free > most) [best, most] = [machine, free];
  }
  if (best !== null) kept.set(best, job);
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

function placeJob(job: Job, offer: Offer, team: Team | undefined, used: Usage): void {
  if (!underLimit(team, used, offer.unseen, job.spec)) return;
  // Guards against a faulty job that fills machine after machine with tasks that fail: one is enough to tell.
  if (job.suspect && job.active.size > 0) return;
  const open: { room: Room; score: number }[] = [];
  for (const room of offer.rooms) {
    offer.steps++;
    const keeper = offer.kept.get(room.machine);
    if ((keeper !== undefined && keeper !== job) || !fits(room, job.spec) || !allows(job, room.machine))
      continue;
    open.push({ room, score: scoreOf(job, room) });
  }
  if (open.length === 0) return;
  // A machine that takes a task becomes fuller and so still better: each is filled before the next is looked at.
  open.sort((a, b) => b.score - a.score);
  const { oneZone, spread } = job.spec;
  const zones = oneZone || spread ? zonesOf(job) : null;
  const taken = new Set<number>();
  for (const { room } of open) {
    while (fits(room, job.spec) && underLimit(team, used, offer.unseen, job.spec)) {
      if (zones !== null && !zoneAllowed(job, room.machine.record.zone, zones)) break;
      const index = nextIndex(job, taken);
      if (index === null) return;
      taken.add(index);
      offer.starts.push({ job, index, machine: room.machine });
      room.cpus -= job.spec.cpus;
      room.gpus -= job.spec.gpus;
      room.memoryGb -= job.spec.memoryGb;
      used.cpus += job.spec.cpus;
      used.gpus += job.spec.gpus;
      if (zones !== null) countZone(zones, room.machine);
      if (job.suspect) return;
    }
  }
}

function nextIndex(job: Job, taken: Set<number>): number | null {
  for (let i = job.nextWaiting() ?? job.spec.tasks; i < job.spec.tasks; i++)
    if (!job.done.has(i) && !job.active.has(i) && !taken.has(i)) return i;
  return null;
}

/** What an image at hand is worth beside how full a machine is: fetching one costs less than keeping a machine up. */
const IMAGE_WORTH = 0.4;

/**
 * The cheapest kind first, then the fuller one, or one that has the image: dear and empty machines are left to run dry
 * and be given back. Urgent work cannot wait for an image, and goes where it is first.
 */
function scoreOf(job: Job, room: Room): number {
  const image = PRIORITIES.indexOf(job.spec.priority) >= URGENT ? 4 : IMAGE_WORTH;
  return (
    (room.machine.record.spot ? 2 : 0) +
    (room.machine.images.has(job.spec.image) ? image : 0) -
    room.cpus / (1 + (room.type.cpus || 1))
  );
}
