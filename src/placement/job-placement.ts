/** Places the tasks of one job during a placement round: bin packing within the team's quota. */
import type { Team } from "../config/settings.js";
import type { Job } from "../workers/job.js";
import { fitsOneMore } from "./capacity.js";
import { takeTask } from "../workers/resources.js";
import { allowsZone, countZone, isEligible } from "./eligibility.js";
import type { MachineCapacity } from "./machine-capacity.js";
import { scoreMachine } from "./placement-score.js";
import { addUsage, isWithinQuota, teamOf, type QuotaUsage } from "./quota.js";
import type { RoundState } from "./round-state.js";
import { needsReservation } from "./starvation.js";

/** A round places at least this many tasks, so that placement goes on even if preparing a round takes all its time. */
const MIN_STARTS_PER_ROUND = 400;

/**
 * Places as many tasks of a job as capacity, quota and the round's time allow. If a job that needs a reservation has
 * reached its team's limit, no later job of the team starts in this round: they would use the quota that the starving
 * job waits for.
 *
 * @returns false if the round's time was up before the job's tasks were offered to all machines
 */
export function placeWithinQuota(job: Job, state: RoundState): boolean {
  const { team: teamName } = job.spec;
  if (state.blockedTeams.has(teamName)) return true;
  const team = teamOf(job, state.input.teams);
  const usage = state.quota.byTeam.get(teamName) ?? { cpus: 0, gpus: 0 };
  const isComplete = placeJob(job, state, team, usage);
  if (needsReservation(job, state.input) && !isWithinQuota(team, usage, state.quota.unreconciled, job.spec))
    state.blockedTeams.add(teamName);
  return isComplete;
}

/** A machine on which a task of the job fits, and its score; the highest score is the best. */
interface CandidateMachine {
  capacity: MachineCapacity;
  score: number;
}

/** The progress of placing one job in the current round. */
interface JobAllocation {
  job: Job;
  state: RoundState;
  team: Team | undefined;
  /** The usage of the job's team, including the tasks placed in this round. */
  usage: QuotaUsage;
  /** The number of the job's tasks in each zone; null if the job has no zone constraint. */
  tasksByZone: Map<string, number> | null;
  /** The job's waiting tasks that this round has not placed. */
  waitingTasks: Iterator<number, void>;
  /** How many of its tasks this round has placed. */
  placedCount: number;
}

/** Places tasks of a job on the machines in order of their scores. Returns false if the round's time was up first. */
function placeJob(job: Job, state: RoundState, team: Team | undefined, usage: QuotaUsage): boolean {
  if (!isWithinQuota(team, usage, state.quota.unreconciled, job.spec)) return true;
  // A suspected faulty job runs one task at a time: one failure is enough to detect the fault, and otherwise failing
  // tasks would occupy machine after machine.
  if (job.isSuspectedFaulty && job.activeAttempts.size > 0) return true;
  const candidates = findCandidates(job, state);
  if (candidates.length === 0) return true;
  // The score rises as a machine fills up: each machine is filled before the next one is considered.
  candidates.sort((a, b) => b.score - a.score);
  const { oneZone, spread } = job.spec;
  const tasksByZone = oneZone || spread ? new Map(job.tasksByZone) : null;
  const waitingTasks = job.waitingTasks();
  const allocation: JobAllocation = { job, state, team, usage, tasksByZone, waitingTasks, placedCount: 0 };
  for (const { capacity } of candidates) {
    if (state.starts.length >= MIN_STARTS_PER_ROUND && state.isTimeUp()) return false;
    if (!fillMachine(capacity, allocation)) return true;
  }
  return true;
}

function findCandidates(job: Job, state: RoundState): CandidateMachine[] {
  const candidates: CandidateMachine[] = [];
  for (const capacity of state.capacities) {
    state.pairsConsidered++;
    const reservedFor = state.reservations.get(capacity.machine);
    if (reservedFor !== undefined && reservedFor !== job) continue;
    if (!fitsOneMore(capacity, job.spec) || !isEligible(job, capacity.machine)) continue;
    candidates.push({ capacity, score: scoreMachine(job, capacity) });
  }
  return candidates;
}

/** Places as many tasks of the job on a machine as allowed. Returns false if no other machine may take one either. */
function fillMachine(capacity: MachineCapacity, allocation: JobAllocation): boolean {
  const { job, state, tasksByZone } = allocation;
  const { machine } = capacity;
  while (canTakeTask(capacity, allocation)) {
    if (tasksByZone !== null && !allowsZone(job, machine.record.zone, tasksByZone)) break;
    const next = allocation.waitingTasks.next();
    if (next.done === true) return false;
    allocation.placedCount++;
    state.starts.push({ job, index: next.value, machine });
    takeTask(capacity, job.spec);
    addUsage(allocation.usage, job.spec);
    if (tasksByZone !== null) countZone(tasksByZone, machine);
    if (job.isSuspectedFaulty) return false;
  }
  return true;
}

function canTakeTask(
  capacity: MachineCapacity,
  { job, state, team, usage, placedCount }: JobAllocation,
): boolean {
  return (
    placedCount < job.startableTasks &&
    fitsOneMore(capacity, job.spec) &&
    isWithinQuota(team, usage, state.quota.unreconciled, job.spec)
  );
}
