/**
 * Which running tasks to stop so that more urgent ones can start. Only lower priority gives way, only where it
 * can be had cheaply (work that is saved, or hardly begun), and only where nothing ends soon anyway. Pure.
 */
import type { Team } from "../config/settings.js";
import type { SteadyClock } from "../runtime/clock.js";
import { PRIORITIES, type MachineType } from "../wire/index.js";
import type { Job, Machine, Placement } from "../workers/model.js";
import { expectedRemainingMs } from "./capacity-forecast.js";
import {
  isEligible,
  countZone,
  fits,
  isStartable,
  teamUsage,
  isWithinQuota,
  unreconciledUsage,
  allowsZone,
  countTasksByZone,
  type Resources,
  type QuotaUsage,
} from "./capacity.js";
import type { PlacementInput } from "./placement-round.js";
import {
  expectedRuntimeMs,
  latestStartTime,
  orderByPriority,
  provisioningMs,
  runningTaskSlackMs,
} from "./slo-priority.js";

interface PreemptableCapacity extends Resources {
  machine: Machine;
  /** What may still be stopped here. */
  victims: Placement[];
}

/** Work that cannot be saved may be thrown away while it is less than this part of the whole. */
const MAX_DISCARDED_FRACTION = 0.1;

const URGENT = PRIORITIES.indexOf("urgent");
const rank = (job: Job): number => PRIORITIES.indexOf(job.spec.priority);

/** What preemption is decided on. */
export interface PreemptionInput extends PlacementInput {
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
  input: PreemptionInput,
  clock: SteadyClock = () => 0,
  deadline = Infinity,
): Preemption {
  const chosen: Preemption = { victims: [], reserved: new Map() };
  const jobs = [...input.jobs];
  const waiting = jobs.filter(
    (job) => job.waiting > 0 && isStartable(job, input) && isTooUrgentToProvision(job, input),
  );
  if (waiting.length === 0) return chosen;
  const usage = teamUsage(jobs, input.reservedQuota);
  const unseen = unreconciledUsage(input.machines, input.types);
  const rooms = roomsAfterEnds(input, usage);
  const givesWay = memoizePerVictim((victim) => canBePreempted(victim, input));
  // What placing would serve after its victims must not stop them: they would only start again before it.
  const place = new Map(
    orderByPriority(
      jobs.filter((job) => job.waiting > 0 || job.active.size > 0),
      input,
    ).map((job, i) => [job, i]),
  );
  for (const job of waiting.sort((a, b) => place.get(a)! - place.get(b)!)) {
    const team = input.teams.find((t) => t.name === job.spec.team);
    const open = rooms.filter(
      ({ machine }) => isEligible(job, machine) && (input.preemptionReservations.get(machine) ?? job) === job,
    );
    const zones = countTasksByZone(job);
    const used = usage.get(job.spec.team)!;
    const search = { job, team, used, unseen, zones, place, givesWay, now: input.now };
    for (let left = job.startableTasks; left > 0; left--) {
      if (clock() > deadline) return chosen;
      const plan = findVictims(search, open);
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
function roomsAfterEnds(
  input: PreemptionInput,
  usage: Map<string, { cpus: number; gpus: number }>,
): PreemptableCapacity[] {
  const rooms: PreemptableCapacity[] = [];
  for (const machine of input.machines) {
    const type = input.types.get(machine.record.type);
    if (!type || !machine.schedulable) continue;
    const room: PreemptableCapacity = {
      machine,
      cpus: type.cpus,
      gpus: type.gpus,
      memoryGb: type.memoryGb,
      victims: [],
    };
    for (const placement of machine.placements) {
      const { spec } = placement.job;
      if (placement.stop !== null || placement.job.terminating || endsSoon(placement, type, input)) {
        add(usage.get(spec.team)!, spec, -1);
        continue;
      }
      add(room, spec, -1);
      if (isCheapToStop(placement, input)) room.victims.push(placement);
    }
    // The lowest priority first, and of that what has begun last.
    room.victims.sort((a, b) => rank(a.job) - rank(b.job) || b.stateSince - a.stateSince);
    rooms.push(room);
  }
  return rooms;
}

/**
 * Whether it ends about as soon as a stopped task would. Guards against counting on the end of a task that has outrun
 * its estimate: others would be stopped beside it, again and again, for room that does not come.
 */
function endsSoon(placement: Placement, type: MachineType, input: PreemptionInput): boolean {
  const { state, stateSince: since, job } = placement;
  if (state === "running" && input.now - since > expectedRuntimeMs(job, input)) return false;
  return expectedRemainingMs(placement, type, input) <= job.spec.saveS * 1000 + 2 * input.reportMs;
}

/** Whether a rented machine would come too late for the job. */
function isTooUrgentToProvision(job: Job, input: PreemptionInput): boolean {
  return rank(job) >= URGENT || latestStartTime(job, input) - input.wallNow < provisioningMs(job, input);
}

/** The same for a task whoever asks, so that it is worked out once a round and not for every waiting task. */
function memoizePerVictim(decide: (victim: Placement) => boolean): (victim: Placement) => boolean {
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
function canBePreempted(victim: Placement, input: PreemptionInput): boolean {
  if (victim.resumed) return false;
  const type = input.types.get(victim.machine.record.type);
  if (type === undefined) return false;
  const setBack = 2 * provisioningMs(victim.job, input) + victim.job.spec.saveS * 1000;
  return runningTaskSlackMs(victim.job, expectedRemainingMs(victim, type, input), input) > setBack;
}

function isCheapToStop(placement: Placement, input: PreemptionInput): boolean {
  if (placement.state === "saving") return false;
  if (placement.job.spec.checkpointS > 0 || placement.state !== "running") return true;
  return input.now - placement.stateSince < MAX_DISCARDED_FRACTION * expectedRuntimeMs(placement.job, input);
}

/** What is the same for all tasks of one job for which room is looked for. */
interface VictimSearch {
  job: Job;
  team: Team | undefined;
  /** What the job's team uses. */
  used: QuotaUsage;
  unseen: QuotaUsage;
  zones: Map<string, number>;
  /** The place of each job in the queue. */
  place: Map<Job, number>;
  givesWay: (victim: Placement) => boolean;
  now: number;
}

/** The room for one more task and what must be stopped for it; null if it cannot be had. */
function findVictims(
  search: VictimSearch,
  rooms: PreemptableCapacity[],
): { room: PreemptableCapacity; victims: Placement[] } | null {
  const { job, team, used, unseen, zones, now } = search;
  const limited = !isWithinQuota(team, used, unseen, job.spec);
  let best: { room: PreemptableCapacity; victims: Placement[]; cost: number } | null = null;
  for (const room of rooms) {
    // Sorted by priority: where the first is no lower, nothing is, and most rooms are passed by at this.
    const [lowest] = room.victims;
    const stoppable = lowest !== undefined && rank(lowest.job) < rank(job);
    if (!stoppable && (limited || !fits(room, job.spec))) continue;
    if (!allowsZone(job, room.machine.record.zone, zones)) continue;
    const victims = victimsOnMachine(room, search, limited);
    if (victims === null) continue;
    const cost = victims.reduce((sum, victim) => sum + preemptionCost(victim, now), 0);
    if (best === null || cost < best.cost) best = { room, victims, cost };
    if (cost === 0) break;
  }
  return best;
}

/** What must be stopped in one room for one more task; null if stopping does not make enough room. */
function victimsOnMachine(
  room: PreemptableCapacity,
  search: VictimSearch,
  limited: boolean,
): Placement[] | null {
  const { job, team, used, unseen, place, givesWay } = search;
  const victims: Placement[] = [];
  const free: Resources = { cpus: room.cpus, gpus: room.gpus, memoryGb: room.memoryGb };
  const after = { ...used };
  const enough = (): boolean => fits(free, job.spec) && isWithinQuota(team, after, unseen, job.spec);
  for (const victim of room.victims) {
    if (enough() || rank(victim.job) >= rank(job)) break;
    if (place.get(victim.job)! < place.get(job)!) continue;
    if (rank(job) < URGENT && !givesWay(victim)) continue;
    const own = victim.job.spec.team === job.spec.team;
    // Another team's task makes room on the machine, but not under this team's limit.
    if (limited && !own && !isWithinQuota(team, after, unseen, job.spec)) continue;
    victims.push(victim);
    add(free, victim.job.spec, 1);
    if (own) add(after, victim.job.spec, -1);
  }
  return enough() ? victims : null;
}

/** Processor time thrown away: saving, or what was done since the last checkpoint. */
function preemptionCost(victim: Placement, now: number): number {
  const { spec } = victim.job;
  if (victim.state !== "running") return spec.cpus;
  return spec.cpus * (spec.checkpointS > 0 ? spec.saveS : (now - victim.stateSince) / 1000);
}

function add(to: { cpus: number; gpus: number; memoryGb?: number }, what: Resources, sign: 1 | -1): void {
  to.cpus += sign * what.cpus;
  to.gpus += sign * what.gpus;
  if (to.memoryGb !== undefined) to.memoryGb += sign * what.memoryGb;
}
