/** Finds the machine on which one more task can start with the cheapest preemptions. Pure. */
import type { Team } from "../config/settings.js";
import type { Job } from "../workers/job.js";
import type { Placement } from "../workers/placement.js";
import { fitsOneMore } from "./capacity.js";
import { returnTask, type RemainingCapacity } from "../workers/resources.js";
import { allowsZone } from "./eligibility.js";
import type { PreemptableCapacity } from "./preemptable-capacity.js";
import { priorityRank, URGENT_RANK } from "./priority-rank.js";
import { isWithinQuota, subtractUsage, type QuotaUsage } from "./quota.js";

/** The inputs of a search that are the same for all tasks of one job. */
export interface VictimSearch {
  job: Job;
  team: Team | undefined;
  /** The usage of the job's team. */
  usage: QuotaUsage;
  /** The usage that counts for every team; see `QuotaSnapshot`. */
  unreconciled: QuotaUsage;
  /** The number of the job's tasks in each zone. */
  tasksByZone: Map<string, number>;
  /** The position of each job in scheduling order. */
  queuePositions: Map<Job, number>;
  /** Whether a task may be preempted for a job below urgent priority. */
  canBePreempted: (victim: Placement) => boolean;
  /** Steady time in milliseconds. */
  now: number;
}

/** A machine on which one more task can start, and the tasks to preempt there first. */
export interface PreemptionChoice {
  capacity: PreemptableCapacity;
  victims: Placement[];
  /** The lost work in CPU seconds. */
  cost: number;
}

/** The machine and victims that make room for one more task at the lowest cost; null if there are none. */
export function findVictims(
  search: VictimSearch,
  capacities: PreemptableCapacity[],
): PreemptionChoice | null {
  const { job, team, usage, unreconciled, tasksByZone, now } = search;
  const isQuotaExhausted = !isWithinQuota(team, usage, unreconciled, job.spec);
  let best: PreemptionChoice | null = null;
  for (const capacity of capacities) {
    // Victims are sorted by priority, lowest first: if the first is not lower than the job, none is. This check skips
    // most machines.
    const [lowest] = capacity.candidateVictims;
    const hasLowerVictim = lowest !== undefined && priorityRank(lowest.job) < priorityRank(job);
    if (!hasLowerVictim && (isQuotaExhausted || !fitsOneMore(capacity, job.spec))) continue;
    if (!allowsZone(job, capacity.machine.record.zone, tasksByZone)) continue;
    const victims = victimsOnMachine(capacity, search, isQuotaExhausted);
    if (victims === null) continue;
    const cost = victims.reduce((sum, victim) => sum + preemptionCost(victim, now), 0);
    if (best === null || cost < best.cost) best = { capacity, victims, cost };
    if (cost === 0) break;
  }
  return best;
}

/** The tasks to preempt on one machine for one more task; null if preemption cannot release enough. */
function victimsOnMachine(
  capacity: PreemptableCapacity,
  search: VictimSearch,
  isQuotaExhausted: boolean,
): Placement[] | null {
  const { job, team, unreconciled } = search;
  const victims: Placement[] = [];
  const { cpus, gpus, memoryGb, taskSlots } = capacity;
  const free: RemainingCapacity = { cpus, gpus, memoryGb, taskSlots };
  const usageAfter = { ...search.usage };
  const isWithinQuotaAfter = (): boolean => isWithinQuota(team, usageAfter, unreconciled, job.spec);
  const isEnough = (): boolean => fitsOneMore(free, job.spec) && isWithinQuotaAfter();
  for (const victim of capacity.candidateVictims) {
    if (isEnough() || priorityRank(victim.job) >= priorityRank(job)) break;
    if (!mayPreempt(victim, search)) continue;
    const isOfSameTeam = victim.job.spec.team === job.spec.team;
    // Preempting another team's task releases machine capacity, but none of this team's quota.
    if (isQuotaExhausted && !isOfSameTeam && !isWithinQuotaAfter()) continue;
    victims.push(victim);
    returnTask(free, victim.job.spec);
    if (isOfSameTeam) subtractUsage(usageAfter, victim.job.spec);
  }
  return isEnough() ? victims : null;
}

/** Whether a task of lower priority may be preempted for the job. */
function mayPreempt(victim: Placement, { job, queuePositions, canBePreempted }: VictimSearch): boolean {
  // A job behind the victim's job in the queue must not preempt it: the victim would start again first.
  if (queuePositions.get(victim.job)! < queuePositions.get(job)!) return false;
  return priorityRank(job) >= URGENT_RANK || canBePreempted(victim);
}

/**
 * The CPU seconds lost by a preemption: those of saving if the task has checkpoints, else those of its run so far.
 * One second is counted for a task that is not running.
 */
function preemptionCost(victim: Placement, now: number): number {
  const { spec } = victim.job;
  if (victim.state !== "running") return spec.cpus;
  return spec.cpus * (spec.checkpointS > 0 ? spec.saveS : (now - victim.stateSince) / 1000);
}
