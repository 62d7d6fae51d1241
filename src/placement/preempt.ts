/**
 * Which running tasks to stop so that more urgent ones can start. Only lower priority gives way, only where it
 * can be had cheaply (work that is saved, or hardly begun), and only where nothing ends soon anyway. Pure.
 */
import type { Team } from "../config/settings.js";
import type { SteadyClock } from "../runtime/clock.js";
import { PRIORITIES, type MachineType } from "../wire/index.js";
import type { Job, Machine, Placement } from "../workers/model.js";
import { endsIn } from "./forecast.js";
import {
  allows,
  countZone,
  fits,
  startable,
  teamUsage,
  underLimit,
  unseenUsage,
  zoneAllowed,
  zonesOf,
  type Amounts,
  type Usage,
} from "./capacity.js";
import type { RoundInput } from "./place.js";
import { expectedRunMs, latestStart, orderByUrgency, rentMs, slackOfRunning } from "./urgency.js";

interface Room extends Amounts {
  machine: Machine;
  /** What may still be stopped here. */
  victims: Placement[];
}

/** Work that cannot be saved may be thrown away while it is less than this part of the whole. */
const HARDLY_BEGUN = 0.1;

const URGENT = PRIORITIES.indexOf("urgent");
const rank = (job: Job): number => PRIORITIES.indexOf(job.spec.priority);

/** What preemption is decided on. */
export interface PreemptInput extends RoundInput {
  reportMs: number;
}

/** Which tasks to stop, and what for. */
export interface Preemption {
  victims: Placement[];
  /** The machines on which room is made, and for which job. */
  reserved: Map<Machine, Job>;
}

/** What is not decided by the deadline is left to the next round, which finds it again. */
export function choosePreemptions(
  input: PreemptInput,
  clock: SteadyClock = () => 0,
  deadline = Infinity,
): Preemption {
  const chosen: Preemption = { victims: [], reserved: new Map() };
  const jobs = [...input.jobs];
  const waiting = jobs.filter((job) => job.waiting > 0 && startable(job, input) && cannotWait(job, input));
  if (waiting.length === 0) return chosen;
  const usage = teamUsage(jobs, input.reservedQuota);
  const unseen = unseenUsage(input.machines, input.types);
  const rooms = roomsAfterEnds(input, usage);
  const givesWay = rememberedByVictim((victim) => mayGiveWay(victim, input));
  // What placing would serve after its victims must not stop them: they would only start again before it.
  const place = new Map(
    orderByUrgency(
      jobs.filter((job) => job.waiting > 0 || job.active.size > 0),
      input,
    ).map((job, i) => [job, i]),
  );
  for (const job of waiting.sort((a, b) => place.get(a)! - place.get(b)!)) {
    const team = input.teams.find((t) => t.name === job.spec.team);
    const open = rooms.filter(
      ({ machine }) => allows(job, machine) && (input.preemptionReservations.get(machine) ?? job) === job,
    );
    const zones = zonesOf(job);
    const used = usage.get(job.spec.team)!;
    const search = { job, team, used, unseen, zones, place, givesWay, now: input.now };
    for (let left = job.startableTasks; left > 0; left--) {
      if (clock() > deadline) return chosen;
      const plan = makeRoom(search, open);
      if (plan === null) break;
      for (const victim of plan.victims) {
        const room = rooms.find((r) => r.machine === victim.machine)!;
        add(room, victim.job.spec, 1);
        add(usage.get(victim.job.spec.team)!, victim.job.spec, -1);
        room.victims.splice(room.victims.indexOf(victim), 1);
        chosen.victims.push(victim);
      }
      if (plan.victims.length > 0) chosen.reserved.set(plan.room.machine, job);
      add(plan.room, job.spec, -1);
      add(usage.get(job.spec.team)!, job.spec, 1);
      countZone(zones, plan.room.machine);
    }
  }
  return chosen;
}

/** Free room, what is being stopped, and what ends by itself about as soon as a stopped task would. */
function roomsAfterEnds(input: PreemptInput, usage: Map<string, { cpus: number; gpus: number }>): Room[] {
  const rooms: Room[] = [];
  for (const machine of input.machines) {
    const type = input.types.get(machine.record.type);
    if (!type || !machine.usable) continue;
    const room: Room = { machine, cpus: type.cpus, gpus: type.gpus, memoryGb: type.memoryGb, victims: [] };
    for (const placement of machine.placements) {
      const { spec } = placement.job;
      if (placement.stop !== null || placement.job.closing || endsSoon(placement, type, input)) {
        add(usage.get(spec.team)!, spec, -1);
        continue;
      }
      add(room, spec, -1);
      if (cheapToStop(placement, input)) room.victims.push(placement);
    }
    // The lowest priority first, and of that what has begun last.
    room.victims.sort((a, b) => rank(a.job) - rank(b.job) || b.since - a.since);
    rooms.push(room);
  }
  return rooms;
}

/**
 * Whether it ends about as soon as a stopped task would. Guards against counting on the end of a task that has outrun
 * its estimate: others would be stopped beside it, again and again, for room that does not come.
 */
function endsSoon(placement: Placement, type: MachineType, input: PreemptInput): boolean {
  const { state, since, job } = placement;
  if (state === "running" && input.now - since > expectedRunMs(job, input)) return false;
  return endsIn(placement, type, input) <= job.spec.saveS * 1000 + 2 * input.reportMs;
}

/** Whether a rented machine would come too late for the job. */
function cannotWait(job: Job, input: PreemptInput): boolean {
  return rank(job) >= URGENT || latestStart(job, input) - input.wallNow < rentMs(job, input);
}

/** The same for a task whoever asks, so that it is worked out once a round and not for every waiting task. */
function rememberedByVictim(decide: (victim: Placement) => boolean): (victim: Placement) => boolean {
  const known = new Map<Placement, boolean>();
  return (victim) => {
    let answer = known.get(victim);
    if (answer === undefined) known.set(victim, (answer = decide(victim)));
    return answer;
  };
}

/**
 * Whether a task gives way to work that is not urgent (urgent work may stop anything lower): only what has time to go
 * on later, and nothing twice. Guards against two jobs that stop each other's tasks in turn.
 */
function mayGiveWay(victim: Placement, input: PreemptInput): boolean {
  if (victim.resumed) return false;
  const type = input.types.get(victim.machine.record.type);
  if (type === undefined) return false;
  const setBack = 2 * rentMs(victim.job, input) + victim.job.spec.saveS * 1000;
  return slackOfRunning(victim.job, endsIn(victim, type, input), input) > setBack;
}

function cheapToStop(placement: Placement, input: PreemptInput): boolean {
  if (placement.state === "saving") return false;
  if (placement.job.spec.checkpointS > 0 || placement.state !== "running") return true;
  return input.now - placement.since < HARDLY_BEGUN * expectedRunMs(placement.job, input);
}

/** What is the same for all tasks of one job for which room is looked for. */
interface Search {
  job: Job;
  team: Team | undefined;
  /** What the job's team uses. */
  used: Usage;
  unseen: Usage;
  zones: Map<string, number>;
  /** The place of each job in the queue. */
  place: Map<Job, number>;
  givesWay: (victim: Placement) => boolean;
  now: number;
}

/** The room for one more task and what must be stopped for it; null if it cannot be had. */
function makeRoom(search: Search, rooms: Room[]): { room: Room; victims: Placement[] } | null {
  const { job, team, used, unseen, zones, now } = search;
  const limited = !underLimit(team, used, unseen, job.spec);
  let best: { room: Room; victims: Placement[]; cost: number } | null = null;
  for (const room of rooms) {
    // Sorted by priority: where the first is no lower, nothing is, and most rooms are passed by at this.
    const [lowest] = room.victims;
    const stoppable = lowest !== undefined && rank(lowest.job) < rank(job);
    if (!stoppable && (limited || !fits(room, job.spec))) continue;
    if (!zoneAllowed(job, room.machine.record.zone, zones)) continue;
    const victims = victimsIn(room, search, limited);
    if (victims === null) continue;
    const cost = victims.reduce((sum, victim) => sum + stopCost(victim, now), 0);
    if (best === null || cost < best.cost) best = { room, victims, cost };
    if (cost === 0) break;
  }
  return best;
}

/** What must be stopped in one room for one more task; null if stopping does not make enough room. */
function victimsIn(room: Room, search: Search, limited: boolean): Placement[] | null {
  const { job, team, used, unseen, place, givesWay } = search;
  const victims: Placement[] = [];
  const free: Amounts = { cpus: room.cpus, gpus: room.gpus, memoryGb: room.memoryGb };
  const after = { ...used };
  const enough = (): boolean => fits(free, job.spec) && underLimit(team, after, unseen, job.spec);
  for (const victim of room.victims) {
    if (enough() || rank(victim.job) >= rank(job)) break;
    if (place.get(victim.job)! < place.get(job)!) continue;
    if (rank(job) < URGENT && !givesWay(victim)) continue;
    const own = victim.job.spec.team === job.spec.team;
    // Another team's task makes room on the machine, but not under this team's limit.
    if (limited && !own && !underLimit(team, after, unseen, job.spec)) continue;
    victims.push(victim);
    add(free, victim.job.spec, 1);
    if (own) add(after, victim.job.spec, -1);
  }
  return enough() ? victims : null;
}

/** Processor time thrown away: saving, or what was done since the last checkpoint. */
function stopCost(victim: Placement, now: number): number {
  const { spec } = victim.job;
  if (victim.state !== "running") return spec.cpus;
  return spec.cpus * (spec.checkpointS > 0 ? spec.saveS : (now - victim.since) / 1000);
}

function add(to: { cpus: number; gpus: number; memoryGb?: number }, what: Amounts, sign: 1 | -1): void {
  to.cpus += sign * what.cpus;
  to.gpus += sign * what.gpus;
  if (to.memoryGb !== undefined) to.memoryGb += sign * what.memoryGb;
}
