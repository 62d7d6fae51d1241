/** Where the tasks of one job start in a round of placement: bin packing within the team's quota. */
import type { Team } from "../config/settings.js";
import type { Job } from "../workers/job.js";
import { fits } from "./capacity.js";
import { subtractResources } from "../workers/resources.js";
import { allowsZone, countTasksByZone, countZone, isEligible } from "./eligibility.js";
import type { MachineCapacity } from "./machine-capacity.js";
import { scoreMachine } from "./placement-score.js";
import { addUsage, isWithinQuota, teamOf, type QuotaUsage } from "./quota.js";
import type { RoundState } from "./round-state.js";
import { needsReservation } from "./starvation.js";

/** Places what fits of one job. A starving one at its team's limit blocks the team's later jobs. */
export function placeWithinQuota(job: Job, state: RoundState): void {
  const { team: teamName } = job.spec;
  if (state.blockedTeams.has(teamName)) return;
  const team = teamOf(job, state.input.teams);
  const usage = state.quota.byTeam.get(teamName) ?? { cpus: 0, gpus: 0 };
  placeJob(job, state, team, usage);
  if (needsReservation(job, state.input) && !isWithinQuota(team, usage, state.quota.unreconciled, job.spec))
    state.blockedTeams.add(teamName);
}

/** A machine that could take a task of the job. */
interface CandidateMachine {
  capacity: MachineCapacity;
  score: number;
}

/** How far the placement of one job has come. */
interface JobAllocation {
  job: Job;
  state: RoundState;
  team: Team | undefined;
  /** What the job's team uses. */
  usage: QuotaUsage;
  /** How many tasks of the job are in each zone; null where the zone does not matter. */
  tasksByZone: Map<string, number> | null;
  /** The numbers of the tasks placed in this round. */
  placedIndexes: Set<number>;
}

function placeJob(job: Job, state: RoundState, team: Team | undefined, usage: QuotaUsage): void {
  if (!isWithinQuota(team, usage, state.quota.unreconciled, job.spec)) return;
  // Guards against a faulty job that fills machine after machine with tasks that fail: one is enough to tell.
  if (job.isSuspectedFaulty && job.activeAttempts.size > 0) return;
  const candidates = findCandidates(job, state);
  if (candidates.length === 0) return;
  // A machine that takes a task becomes fuller and so still better: each is filled before the next is considered.
  candidates.sort((a, b) => b.score - a.score);
  const { oneZone, spread } = job.spec;
  const tasksByZone = oneZone || spread ? countTasksByZone(job) : null;
  const allocation = { job, state, team, usage, tasksByZone, placedIndexes: new Set<number>() };
  for (const { capacity } of candidates) if (!fillMachine(capacity, allocation)) return;
}

function findCandidates(job: Job, state: RoundState): CandidateMachine[] {
  const candidates: CandidateMachine[] = [];
  for (const capacity of state.capacities) {
    state.steps++;
    const reservedFor = state.reservations.get(capacity.machine);
    if (reservedFor !== undefined && reservedFor !== job) continue;
    if (!fits(capacity, job.spec) || !isEligible(job, capacity.machine)) continue;
    candidates.push({ capacity, score: scoreMachine(job, capacity) });
  }
  return candidates;
}

/** Starts as many tasks of the job on a machine as may. False if none may start on any other machine either. */
function fillMachine(capacity: MachineCapacity, allocation: JobAllocation): boolean {
  const { job, state, tasksByZone, placedIndexes } = allocation;
  const { machine } = capacity;
  while (mayTakeMore(capacity, allocation)) {
    if (tasksByZone !== null && !allowsZone(job, machine.record.zone, tasksByZone)) break;
    const index = nextUnplacedTask(job, placedIndexes);
    if (index === null) return false;
    placedIndexes.add(index);
    state.starts.push({ job, index, machine });
    subtractResources(capacity, job.spec);
    addUsage(allocation.usage, job.spec);
    if (tasksByZone !== null) countZone(tasksByZone, machine);
    if (job.isSuspectedFaulty) return false;
  }
  return true;
}

function mayTakeMore(
  capacity: MachineCapacity,
  { job, state, team, usage, placedIndexes }: JobAllocation,
): boolean {
  return (
    placedIndexes.size < job.startableTasks &&
    fits(capacity, job.spec) &&
    isWithinQuota(team, usage, state.quota.unreconciled, job.spec)
  );
}

function nextUnplacedTask(job: Job, placedIndexes: Set<number>): number | null {
  for (let i = job.nextWaitingTask() ?? job.spec.tasks; i < job.spec.tasks; i++)
    if (!job.done.has(i) && !job.activeAttempts.has(i) && !placedIndexes.has(i)) return i;
  return null;
}
