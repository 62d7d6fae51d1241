/** On which machine one more task can start, and which tasks must be preempted for it. Pure. */
import type { Team } from "../config/settings.js";
import type { Job } from "../workers/job.js";
import type { Placement } from "../workers/placement.js";
import { fits } from "./capacity.js";
import { addResources, type Resources } from "../workers/resources.js";
import { allowsZone } from "./eligibility.js";
import type { PreemptableCapacity } from "./preemptable-capacity.js";
import { priorityRank, URGENT_RANK } from "./priority-rank.js";
import { isWithinQuota, subtractUsage, type QuotaUsage } from "./quota.js";

/** What is the same for all tasks of one job for which capacity is searched. */
export interface VictimSearch {
  job: Job;
  team: Team | undefined;
  /** What the job's team uses. */
  usage: QuotaUsage;
  unreconciled: QuotaUsage;
  /** How many tasks of the job are in each zone. */
  tasksByZone: Map<string, number>;
  /** The position of each job in the queue. */
  queuePositions: Map<Job, number>;
  /** Whether a task may be preempted for work that is not urgent. */
  canBePreempted: (victim: Placement) => boolean;
  /** Steady time in milliseconds. */
  now: number;
}

/** Where one more task can start and what must be preempted for it. */
export interface PreemptionChoice {
  capacity: PreemptableCapacity;
  victims: Placement[];
  /** Processor time that is lost, in processor seconds. */
  cost: number;
}

/** The cheapest way to make capacity for one more task; null if there is none. */
export function findVictims(
  search: VictimSearch,
  capacities: PreemptableCapacity[],
): PreemptionChoice | null {
  const { job, team, usage, unreconciled, tasksByZone, now } = search;
  const isQuotaExhausted = !isWithinQuota(team, usage, unreconciled, job.spec);
  let best: PreemptionChoice | null = null;
  for (const capacity of capacities) {
    // Victims are sorted by priority: where the first is no lower, none is, and most machines are skipped here.
    const [lowest] = capacity.candidateVictims;
    const hasLowerVictim = lowest !== undefined && priorityRank(lowest.job) < priorityRank(job);
    if (!hasLowerVictim && (isQuotaExhausted || !fits(capacity, job.spec))) continue;
    if (!allowsZone(job, capacity.machine.record.zone, tasksByZone)) continue;
    const victims = victimsOnMachine(capacity, search, isQuotaExhausted);
    if (victims === null) continue;
    const cost = victims.reduce((sum, victim) => sum + preemptionCost(victim, now), 0);
    if (best === null || cost < best.cost) best = { capacity, victims, cost };
    if (cost === 0) break;
  }
  return best;
}

/** What must be preempted on one machine for one more task; null if that does not release enough. */
function victimsOnMachine(
  capacity: PreemptableCapacity,
  search: VictimSearch,
  isQuotaExhausted: boolean,
): Placement[] | null {
  const { job, team, unreconciled } = search;
  const victims: Placement[] = [];
  const free: Resources = { cpus: capacity.cpus, gpus: capacity.gpus, memoryGb: capacity.memoryGb };
  const usageAfter = { ...search.usage };
  const isWithinQuotaAfter = (): boolean => isWithinQuota(team, usageAfter, unreconciled, job.spec);
  const isEnough = (): boolean => fits(free, job.spec) && isWithinQuotaAfter();
  for (const victim of capacity.candidateVictims) {
    if (isEnough() || priorityRank(victim.job) >= priorityRank(job)) break;
    if (!mayPreempt(victim, search)) continue;
    const isOfSameTeam = victim.job.spec.team === job.spec.team;
    // Another team's task releases capacity of the machine, but no quota of this team.
    if (isQuotaExhausted && !isOfSameTeam && !isWithinQuotaAfter()) continue;
    victims.push(victim);
    addResources(free, victim.job.spec);
    if (isOfSameTeam) subtractUsage(usageAfter, victim.job.spec);
  }
  return isEnough() ? victims : null;
}

/** Whether a task of lower priority may be preempted for the job. */
function mayPreempt(victim: Placement, { job, queuePositions, canBePreempted }: VictimSearch): boolean {
  // What is served after its victims must not preempt them: they would only start again before it.
  if (queuePositions.get(victim.job)! < queuePositions.get(job)!) return false;
  return priorityRank(job) >= URGENT_RANK || canBePreempted(victim);
}

/** Processor seconds lost: those of saving, or of what was done since the task started. */
function preemptionCost(victim: Placement, now: number): number {
  const { spec } = victim.job;
  if (victim.state !== "running") return spec.cpus;
  return spec.cpus * (spec.checkpointS > 0 ? spec.saveS : (now - victim.stateSince) / 1000);
}
