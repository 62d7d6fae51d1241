/** Where waiting tasks go: one round of decisions, within a budget of time. Pure but for the clock it is given. */
import type { Team } from "../config/settings.js";
import type { SteadyClock } from "../runtime/clock.js";
import { PRIORITIES, type MachineType } from "../wire/index.js";
import type { Job, Machine } from "../workers/model.js";
import {
  isEligible,
  countZone,
  ROUNDING_TOLERANCE,
  fits,
  isStartable,
  teamUsage,
  isWithinQuota,
  unreconciledUsage,
  allowsZone,
  countTasksByZone,
  type Resources,
  type OwnershipTerm,
  type QuotaUsage,
} from "./capacity.js";
import {
  expectedRuntimeMs,
  isStarving,
  needsReservation,
  prioritize,
  type SchedulingContext,
  type QueueEntry,
} from "./slo-priority.js";

/** A decision to start a task on a machine. */
export interface TaskStart {
  job: Job;
  index: number;
  machine: Machine;
}

/** What a round of placement is decided on. */
export interface PlacementInput extends SchedulingContext, OwnershipTerm {
  jobs: Iterable<Job>;
  machines: Machine[];
  /** What is reserved of teams' limits for jobs that have passed to other shards. */
  reservedQuota: ReadonlyMap<string, QuotaUsage>;
  /** The job at which the last round ran out of time. */
  resumeAt: string | null;
  /** Machines held back for a job that has waited too long, and the job that each waits for. */
  starvationReservations: ReadonlyMap<Machine, Job>;
  /** Machines on which tasks were stopped for a job, until it has had the time to start there. */
  preemptionReservations: ReadonlyMap<Machine, Job>;
}

/** What a round of placement decided. */
export interface PlacementRound {
  starts: TaskStart[];
  /** Where the next round goes on; null when everything was looked at. */
  resumeAt: string | null;
  reservations: Map<Machine, Job>;
  /** How many machines were looked at for how many jobs: what the round cost, whatever the processor. */
  steps: number;
}

interface MachineCapacity extends Resources {
  machine: Machine;
  type: MachineType;
}

const URGENT = PRIORITIES.indexOf("urgent");

/** What every round of a moment needs, whole ones and those for one machine's room alike. */
interface RoundState {
  input: PlacementInput;
  usage: Map<string, QuotaUsage>;
  unseen: QuotaUsage;
  rooms: MachineCapacity[];
  starts: TaskStart[];
  reservations: Map<Machine, Job>;
  steps: number;
}

/** The waiting jobs that may start, in the order in which they are served. */
export function buildQueue(input: PlacementInput): QueueEntry[] {
  const waiting: Job[] = [];
  for (const job of input.jobs) if (job.waiting > 0 && isStartable(job, input)) waiting.push(job);
  return prioritize(waiting, input);
}

function beginRound(input: PlacementInput, rooms: MachineCapacity[]): RoundState {
  return {
    input,
    usage: teamUsage(input.jobs, input.reservedQuota),
    unseen: unreconciledUsage(input.machines, input.types),
    rooms,
    starts: [],
    reservations: new Map(input.preemptionReservations),
    steps: 0,
  };
}

/**
 * Room that is too small for every waiting task is left out at once. Guards against a queue of large tasks, or of a
 * team at its limit, costing a look at every machine for every job.
 */
function capacityFor(
  queue: QueueEntry[],
  input: PlacementInput,
  machines: Iterable<Machine>,
): MachineCapacity[] {
  const least = { cpus: Infinity, gpus: Infinity, memoryGb: Infinity };
  for (const { job } of queue) {
    least.cpus = Math.min(least.cpus, job.spec.cpus);
    least.gpus = Math.min(least.gpus, job.spec.gpus);
    least.memoryGb = Math.min(least.memoryGb, job.spec.memoryGb);
  }
  return freeCapacityOf(input, machines).filter((room) => fits(room, least));
}

/** A whole round: all that waits against all that is open. */
export function placeRound(
  input: PlacementInput,
  queue: QueueEntry[],
  clock: SteadyClock,
  deadline: number,
): PlacementRound {
  const offer = beginRound(input, capacityFor(queue, input, input.machines));
  const blocked = new Set<string>();
  const found = input.resumeAt === null ? -1 : queue.findIndex(({ job }) => job.spec.id === input.resumeAt);
  const first = Math.max(0, found);
  // What the jobs before the resumed one hold back stays held.
  if (first > 0)
    for (const [machine, job] of input.starvationReservations) offer.reservations.set(machine, job);
  for (let i = first; i < queue.length; i++) {
    const { job } = queue[i]!;
    if (i > first && clock() > deadline)
      return {
        starts: offer.starts,
        resumeAt: job.spec.id,
        reservations: offer.reservations,
        steps: offer.steps,
      };
    placeWithinQuota(job, offer, blocked);
    if (needsReservation(job, input)) reserveMachineFor(job, offer);
  }
  return { starts: offer.starts, resumeAt: null, reservations: offer.reservations, steps: offer.steps };
}

/**
 * The room of one machine that has just spoken, offered to the queue as it was last ordered: a report costs what it
 * changes, and not a look at the whole shard.
 */
export function placeOnMachine(
  machine: Machine,
  queue: QueueEntry[],
  input: PlacementInput,
  /** Whether so many machines have the job's image that its tasks need not go to others. */
  atHome: (job: Job) => boolean,
): PlacementRound {
  const reservations = new Map([...input.starvationReservations, ...input.preemptionReservations]);
  const rooms = capacityFor(queue, input, [machine]);
  // Most machines that speak are full: what else the decision takes is not added up for them.
  if (rooms.length === 0) return { starts: [], resumeAt: null, reservations, steps: 0 };
  const offer = { ...beginRound(input, rooms), reservations };
  const blocked = new Set<string>();
  for (const job of imageLocalFirst(machine, queue, input, atHome)) placeWithinQuota(job, offer, blocked);
  return { starts: offer.starts, resumeAt: null, reservations, steps: offer.steps };
}

/**
 * The queue as this machine is to serve it. Fetching an image holds a task's processors and gains nothing, so that of
 * two jobs that can wait about alike the one whose image is here goes first, if the other has machines enough with its
 * own. About alike: of one rank, and within a task's run of each other.
 */
function* imageLocalFirst(
  machine: Machine,
  queue: QueueEntry[],
  input: PlacementInput,
  atHome: (job: Job) => boolean,
): Generator<Job> {
  let later: QueueEntry[] = [];
  for (const entry of queue) {
    const { job } = entry;
    if (job.waiting === 0 || !isStartable(job, input)) continue;
    const head = later[0];
    if (head !== undefined && !haveSimilarPriority(head, entry, input)) {
      for (const put of later) yield put.job;
      later = [];
    }
    if (!machine.images.has(job.spec.image) && !isStarving(job, input) && atHome(job)) later.push(entry);
    else yield job;
  }
  for (const put of later) yield put.job;
}

function haveSimilarPriority(head: QueueEntry, entry: QueueEntry, input: PlacementInput): boolean {
  return (
    head.rank === entry.rank &&
    head.deferred === entry.deferred &&
    entry.latestStart - head.latestStart <= expectedRuntimeMs(head.job, input)
  );
}

function freeCapacityOf(input: PlacementInput, machines: Iterable<Machine>): MachineCapacity[] {
  const rooms: MachineCapacity[] = [];
  for (const machine of machines) {
    const type = input.types.get(machine.record.type);
    if (!type || !machine.schedulable || machine.notBefore > input.now) continue;
    const used = machine.usedResources();
    const room: MachineCapacity = {
      machine,
      type,
      cpus: type.cpus - used.cpus,
      gpus: type.gpus - used.gpus,
      memoryGb: type.memoryGb - used.memoryGb,
    };
    // Every task takes processors or memory: a machine without either is full for all.
    if (room.cpus > ROUNDING_TOLERANCE || room.memoryGb > ROUNDING_TOLERANCE) rooms.push(room);
  }
  return rooms;
}

/** Places what fits of one job. An overdue one at its team's limit lets none of the team's later jobs pass. */
function placeWithinQuota(job: Job, offer: RoundState, blocked: Set<string>): void {
  const { team: name } = job.spec;
  if (blocked.has(name)) return;
  const team = offer.input.teams.find((t) => t.name === name);
  const used = offer.usage.get(name) ?? { cpus: 0, gpus: 0 };
  placeJob(job, offer, team, used);
  if (needsReservation(job, offer.input) && !isWithinQuota(team, used, offer.unseen, job.spec))
    blocked.add(name);
}

/**
 * Guards against starving a job of large tasks: small ones would take every piece of room before enough of it comes
 * together. One machine that could hold a task of the overdue job takes nothing else until it does.
 */
function reserveMachineFor(job: Job, offer: RoundState): void {
  const { input, reservations } = offer;
  if (offer.starts.some((s) => s.job === job)) return;
  let best: Machine | null = null;
  let most = -Infinity;
  for (const machine of input.machines) {
    const type = input.types.get(machine.record.type);
    if (!type || !machine.schedulable || reservations.has(machine) || !isEligible(job, machine)) continue;
    if (!fits(type, job.spec)) continue;
    const free =
      input.starvationReservations.get(machine) === job ? Infinity : type.cpus - machine.usedResources().cpus;
    if (free > most) [best, most] = [machine, free];
  }
  if (best !== null) reservations.set(best, job);
}

function placeJob(job: Job, offer: RoundState, team: Team | undefined, used: QuotaUsage): void {
  if (!isWithinQuota(team, used, offer.unseen, job.spec)) return;
  // Guards against a faulty job that fills machine after machine with tasks that fail: one is enough to tell.
  if (job.suspectedFaulty && job.active.size > 0) return;
  const open: { room: MachineCapacity; score: number }[] = [];
  for (const room of offer.rooms) {
    offer.steps++;
    const reservedFor = offer.reservations.get(room.machine);
    if (
      (reservedFor !== undefined && reservedFor !== job) ||
      !fits(room, job.spec) ||
      !isEligible(job, room.machine)
    )
      continue;
    open.push({ room, score: scoreMachine(job, room) });
  }
  if (open.length === 0) return;
  // A machine that takes a task becomes fuller and so still better: each is filled before the next is looked at.
  open.sort((a, b) => b.score - a.score);
  const { oneZone, spread } = job.spec;
  const zones = oneZone || spread ? countTasksByZone(job) : null;
  const taken = new Set<number>();
  for (const { room } of open) {
    const mayTakeMore = (): boolean =>
      taken.size < job.startableTasks &&
      fits(room, job.spec) &&
      isWithinQuota(team, used, offer.unseen, job.spec);
    while (mayTakeMore()) {
      if (zones !== null && !allowsZone(job, room.machine.record.zone, zones)) break;
      const index = nextUnplacedTask(job, taken);
      if (index === null) return;
      taken.add(index);
      offer.starts.push({ job, index, machine: room.machine });
      room.cpus -= job.spec.cpus;
      room.gpus -= job.spec.gpus;
      room.memoryGb -= job.spec.memoryGb;
      used.cpus += job.spec.cpus;
      used.gpus += job.spec.gpus;
      if (zones !== null) countZone(zones, room.machine);
      if (job.suspectedFaulty) return;
    }
  }
}

function nextUnplacedTask(job: Job, taken: Set<number>): number | null {
  for (let i = job.nextWaiting() ?? job.spec.tasks; i < job.spec.tasks; i++)
    if (!job.done.has(i) && !job.active.has(i) && !taken.has(i)) return i;
  return null;
}

/** More than all else that speaks for a machine: a slow one is filled last. */
const SLOW_PENALTY = 10;

/** What an image at hand is worth beside how full a machine is: fetching one costs less than keeping a machine up. */
const LOCAL_IMAGE_SCORE = 0.4;

/**
 * The cheapest kind first, then the fuller one, or one that has the image: dear and empty machines are left to run dry
 * and be returned. Urgent work cannot wait for an image, and goes where it is first.
 */
function scoreMachine(job: Job, room: MachineCapacity): number {
  const image = PRIORITIES.indexOf(job.spec.priority) >= URGENT ? 4 : LOCAL_IMAGE_SCORE;
  return (
    (room.machine.slow ? -SLOW_PENALTY : 0) +
    (room.machine.record.spot ? 2 : 0) +
    (room.machine.images.has(job.spec.image) ? image : 0) -
    room.cpus / (1 + (room.type.cpus || 1))
  );
}
