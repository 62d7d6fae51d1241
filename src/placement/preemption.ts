/**
 * Chooses running tasks to preempt so that more urgent ones can start. A task is preempted only if it has a lower
 * priority and little work is lost (it has checkpoints, or has just started); capacity that tasks are about to release
 * is used first. Without side effects, except that the clock passed in is read.
 */
import type { SteadyClock } from "../runtime/clock.js";
import type { Job } from "../workers/job.js";
import type { Machine } from "../workers/machine.js";
import type { Placement } from "../workers/placement.js";
import { returnTask, takeTask } from "../workers/resources.js";
import { countZone, isEligible, isStartable } from "./eligibility.js";
import { orderByPriority } from "./job-queue.js";
import {
  preemptableCapacities,
  type PreemptableCapacity,
  type PreemptionInput,
} from "./preemptable-capacity.js";
import { priorityRank, URGENT_RANK } from "./priority-rank.js";
import { addUsage, quotaSnapshot, subtractUsage, teamOf, type QuotaSnapshot } from "./quota.js";
import { expectedRemainingMs, provisioningMs } from "./runtime-estimates.js";
import type { PlacementInput } from "./scheduling-context.js";
import { latestStartTime, runningTaskSlackMs } from "./slo-window.js";
import { findVictims, type PreemptionChoice, type VictimSearch } from "./victim-search.js";

/** The tasks to preempt, and the jobs they make room for. */
export interface Preemption {
  victims: Placement[];
  /** The machines on which tasks are preempted, each reserved for the job that they are preempted for. */
  reservations: Map<Machine, Job>;
}

/** The capacity and quota usage left after the preemptions chosen so far. */
interface PreemptionState {
  capacities: PreemptableCapacity[];
  quota: QuotaSnapshot;
  chosen: Preemption;
}

/**
 * Chooses tasks to preempt for waiting jobs that cannot wait for a machine to be provisioned. Jobs that are not reached
 * by the deadline are considered again in the next round.
 *
 * @param deadlineAt the reading of `clock` after which no further task is considered
 */
export function choosePreemptions(
  input: PreemptionInput,
  clock: SteadyClock = () => 0,
  deadlineAt = Infinity,
): Preemption {
  const chosen: Preemption = { victims: [], reservations: new Map() };
  const jobs = [...input.jobs];
  const waiting = jobs.filter(
    (job) => job.waitingCount > 0 && isStartable(job, input) && isTooUrgentToProvision(job, input),
  );
  if (waiting.length === 0) return chosen;
  const quota = quotaSnapshot(input);
  const state = { capacities: preemptableCapacities(input, quota.byTeam), quota, chosen };
  const canBePreempted = memoizePerVictim((victim) => isPreemptable(victim, input));
  const queuePositions = queuePositionsOf(jobs, input);
  for (const job of waiting.sort((a, b) => queuePositions.get(a)! - queuePositions.get(b)!)) {
    const search: VictimSearch = {
      job,
      team: teamOf(job, input.teams),
      usage: quota.byTeam.get(job.spec.team)!,
      unreconciled: quota.unreconciled,
      tasksByZone: new Map(job.tasksByZone),
      queuePositions,
      canBePreempted,
      now: input.now,
    };
    const candidates = candidatesFor(job, state.capacities, input);
    for (let remaining = job.startableTasks; remaining > 0; remaining--) {
      if (clock() > deadlineAt) return chosen;
      const choice = findVictims(search, candidates);
      if (choice === null) break;
      applyChoice(choice, search, state);
    }
  }
  return chosen;
}

/** Whether the job is urgent, or a newly rented machine would be ready only after the job's latest start. */
function isTooUrgentToProvision(job: Job, input: PreemptionInput): boolean {
  return (
    priorityRank(job) >= URGENT_RANK ||
    latestStartTime(job, input) - input.wallNow < provisioningMs(job, input)
  );
}

/** The queue position of every job that has waiting or active tasks, in scheduling order. */
function queuePositionsOf(jobs: Job[], input: PreemptionInput): Map<Job, number> {
  const activeJobs = jobs.filter((job) => job.waitingCount > 0 || job.activeAttempts.size > 0);
  return new Map(orderByPriority(activeJobs, input).map((job, position) => [job, position]));
}

/** The machines that the job is eligible for and that are not reserved for another job. */
function candidatesFor(
  job: Job,
  capacities: PreemptableCapacity[],
  { preemptionReservations }: PreemptionInput,
): PreemptableCapacity[] {
  return capacities.filter(
    ({ machine }) => isEligible(job, machine) && (preemptionReservations.get(machine) ?? job) === job,
  );
}

/** Updates capacity and quota usage: removes the victims from the machine and adds one task of the job. */
function applyChoice(
  { capacity, victims }: PreemptionChoice,
  { job, usage, tasksByZone }: VictimSearch,
  { quota, chosen }: PreemptionState,
): void {
  for (const victim of victims) {
    returnTask(capacity, victim.job.spec);
    subtractUsage(quota.byTeam.get(victim.job.spec.team)!, victim.job.spec);
    capacity.candidateVictims.splice(capacity.candidateVictims.indexOf(victim), 1);
    chosen.victims.push(victim);
  }
  if (victims.length > 0) chosen.reservations.set(capacity.machine, job);
  takeTask(capacity, job.spec);
  addUsage(usage, job.spec);
  countZone(tasksByZone, capacity.machine);
}

/** Caches the decision per victim: it does not depend on the waiting task, so one computation a round is enough. */
function memoizePerVictim(decide: (victim: Placement) => boolean): (victim: Placement) => boolean {
  const decisions = new Map<Placement, boolean>();
  return (victim) => {
    let decision = decisions.get(victim);
    if (decision === undefined) {
      decision = decide(victim);
      decisions.set(victim, decision);
    }
    return decision;
  };
}

/**
 * Whether a task may be preempted for a job below urgent priority (an urgent job may preempt any task of lower
 * priority): only if its job can still meet its objective after the delay, and if it was not stopped before. Otherwise
 * two jobs could preempt each other's tasks in turn.
 */
function isPreemptable(victim: Placement, input: PlacementInput): boolean {
  if (victim.isResumed) return false;
  const type = input.types.get(victim.machine.record.type);
  if (type === undefined) return false;
  const delayMs = 2 * provisioningMs(victim.job, input) + victim.job.spec.saveS * 1000;
  return runningTaskSlackMs(victim.job, expectedRemainingMs(victim, type, input), input) > delayMs;
}
