/**
 * Which running tasks to stop so that more urgent ones can start: only those of lower priority, only where little work
 * is lost (it is saved, or has hardly begun), and only where nothing ends soon anyway. Pure but for the clock.
 */
import type { SteadyClock } from "../runtime/clock.js";
import type { Job } from "../workers/job.js";
import type { Machine } from "../workers/machine.js";
import type { Placement } from "../workers/placement.js";
import { addResources, subtractResources } from "../workers/resources.js";
import { countTasksByZone, countZone, isEligible, isStartable } from "./eligibility.js";
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

/** Which tasks to stop, and for which jobs. */
export interface Preemption {
  victims: Placement[];
  /** The machines on which tasks are stopped, and the job for which. */
  reserved: Map<Machine, Job>;
}

/** What the preemptions chosen so far leave. */
interface PreemptionState {
  capacities: PreemptableCapacity[];
  quota: QuotaSnapshot;
  chosen: Preemption;
}

/**
 * Chooses tasks to stop for waiting jobs that cannot wait for a new machine. What is not decided by the deadline is
 * left to the next round, which finds it again.
 *
 * @param deadlineAt the time of the clock after which no further task is considered
 */
export function choosePreemptions(
  input: PreemptionInput,
  clock: SteadyClock = () => 0,
  deadlineAt = Infinity,
): Preemption {
  const chosen: Preemption = { victims: [], reserved: new Map() };
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
      tasksByZone: countTasksByZone(job),
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

/** Whether a rented machine would come too late for the job. */
function isTooUrgentToProvision(job: Job, input: PreemptionInput): boolean {
  return (
    priorityRank(job) >= URGENT_RANK ||
    latestStartTime(job, input) - input.wallNow < provisioningMs(job, input)
  );
}

/** The positions of all jobs that wait or run in the order in which placement serves them. */
function queuePositionsOf(jobs: Job[], input: PreemptionInput): Map<Job, number> {
  const activeJobs = jobs.filter((job) => job.waitingCount > 0 || job.activeAttempts.size > 0);
  return new Map(orderByPriority(activeJobs, input).map((job, position) => [job, position]));
}

/** The machines on which the job may run, those left out that are reserved for other jobs. */
function candidatesFor(
  job: Job,
  capacities: PreemptableCapacity[],
  { preemptionReservations }: PreemptionInput,
): PreemptableCapacity[] {
  return capacities.filter(
    ({ machine }) => isEligible(job, machine) && (preemptionReservations.get(machine) ?? job) === job,
  );
}

/** Takes the victims off their machine and one more task of the job on it. */
function applyChoice(
  { capacity, victims }: PreemptionChoice,
  { job, usage, tasksByZone }: VictimSearch,
  { quota, chosen }: PreemptionState,
): void {
  for (const victim of victims) {
    addResources(capacity, victim.job.spec);
    subtractUsage(quota.byTeam.get(victim.job.spec.team)!, victim.job.spec);
    capacity.victims.splice(capacity.victims.indexOf(victim), 1);
    chosen.victims.push(victim);
  }
  if (victims.length > 0) chosen.reserved.set(capacity.machine, job);
  subtractResources(capacity, job.spec);
  addUsage(usage, job.spec);
  countZone(tasksByZone, capacity.machine);
}

/** The answer for a victim is the same for every waiting task: it is computed once a round. */
function memoizePerVictim(decide: (victim: Placement) => boolean): (victim: Placement) => boolean {
  const answers = new Map<Placement, boolean>();
  return (victim) => {
    let answer = answers.get(victim);
    if (answer === undefined) {
      answer = decide(victim);
      answers.set(victim, answer);
    }
    return answer;
  };
}

/**
 * Whether a task may be stopped for work that is not urgent (urgent work may stop anything lower): only what has time
 * to go on later, and nothing twice. Guards against two jobs that stop each other's tasks in turn.
 */
function isPreemptable(victim: Placement, input: PlacementInput): boolean {
  if (victim.isResumed) return false;
  const type = input.types.get(victim.machine.record.type);
  if (type === undefined) return false;
  const delayMs = 2 * provisioningMs(victim.job, input) + victim.job.spec.saveS * 1000;
  return runningTaskSlackMs(victim.job, expectedRemainingMs(victim, type, input), input) > delayMs;
}
