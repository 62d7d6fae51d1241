/** Computes the shard summary that an owner reports to the leader: load, demand and machine states. Pure. */
import type { Demand, MachineSummary, ShardLoad, ShardSummary } from "../peers/peer-messages.js";
import type { MachineType } from "../wire/index.js";
import type { Job } from "../workers/job.js";
import type { Machine } from "../workers/machine.js";
import type { Placement } from "../workers/placement.js";
import { forecastUnmetDemand, type UnmetDemand } from "./capacity-forecast.js";
import { fillAtTaskLimit, slotsPerMachine } from "./capacity.js";
import { isEligible, isStartable } from "./eligibility.js";
import { orderByPriority } from "./job-queue.js";
import {
  addUsage,
  isWithinQuota,
  quotaSnapshot,
  tasksWithinLimit,
  teamOf,
  type QuotaSnapshot,
} from "./quota.js";
import type { PlacementInput } from "./scheduling-context.js";

/** The load of the shard: machines up and empty, and the CPUs present, used and waited for. */
export function measureLoad({
  jobs,
  machines,
  types,
}: Pick<PlacementInput, "jobs" | "machines" | "types">): ShardLoad {
  const load = { machinesUp: 0, emptyMachines: 0, cpus: 0, usedCpus: 0, waitingCpus: 0 };
  for (const machine of machines) {
    if (!machine.isUp) continue;
    load.machinesUp++;
    load.cpus += types.get(machine.record.type)?.cpus ?? 0;
    load.usedCpus += machine.usedResources().cpus;
    if (machine.placements.size === 0) load.emptyMachines++;
  }
  for (const job of jobs) load.waitingCpus += job.waitingCount * job.spec.cpus;
  return load;
}

/** The CPUs used by tasks in each state, which show operators what they pay for. */
export function cpusByTaskState(machines: Iterable<Machine>): Record<Placement["state"], number> {
  const cpus = { assigned: 0, fetching: 0, running: 0, saving: 0 };
  for (const machine of machines)
    for (const { state, job } of machine.placements) cpus[state] += job.spec.cpus;
  return cpus;
}

/** The tasks that need machines to be rented, within their teams' quotas, grouped by requirements and priority. */
export function computeDemand(input: PlacementInput): Demand[] {
  const quota = quotaSnapshot(input);
  const startable = [...input.jobs].filter((job) => job.waitingCount > 0 && isStartable(job, input));
  const waiting = new Map<Job, number>();
  for (const job of orderByPriority(startable, input)) {
    const count = claimQuota(job, quota, input);
    if (count > 0) waiting.set(job, count);
  }
  const unmet = forecastUnmetDemand({ ...input, waiting });
  return groupDemand(
    unmet.map((part) => ({ ...part, count: tasksToRentFor(part.job, part.count, input.types) })),
  );
}

/** How many more tasks of a job may run within its team's quota. Adds them to the team's usage. */
function claimQuota(job: Job, quota: QuotaSnapshot, input: PlacementInput): number {
  const team = teamOf(job, input.teams);
  const usage = quota.byTeam.get(job.spec.team)!;
  if (team === undefined || !isWithinQuota(team, usage, quota.unreconciled, job.spec)) return 0;
  const maxTasks = job.isSuspectedFaulty ? trialTasks(job, input) : job.startableTasks;
  const tasksInQuota = tasksWithinLimit(team, usage, quota.unreconciled, job.spec);
  const tasks = Math.max(0, Math.min(maxTasks, tasksInQuota));
  addUsage(usage, job.spec, tasks);
  return tasks;
}

/**
 * How many tasks of a suspected faulty job count as demand. It runs one task at a time, so this is 1 if none is active
 * and no schedulable machine could hold one, else 0.
 */
function trialTasks(job: Job, input: PlacementInput): number {
  if (job.activeAttempts.size > 0) return 0;
  for (const machine of input.machines) {
    const type = input.types.get(machine.record.type);
    if (
      type !== undefined &&
      machine.isSchedulable &&
      isEligible(job, machine) &&
      slotsPerMachine(job.spec, type) > 0
    )
      return 0;
  }
  return 1;
}

/**
 * How many of a job's unmet tasks machines are rented for. Where a machine has the most tasks that it may have before its
 * resources are used, only as many as need these resources: the team's quota limits resources, and a machine for each
 * few hundred tiny tasks would exceed by far what it allows. At least one, so that the job can start.
 */
function tasksToRentFor({ spec }: Job, count: number, types: Map<string, MachineType>): number {
  const fills = [...types.values()]
    .filter(({ name }) => spec.types === null || spec.types.includes(name))
    .filter((type) => slotsPerMachine(spec, type) > 0)
    .map((type) => fillAtTaskLimit(spec, type));
  const fill = fills.length > 0 ? Math.max(...fills) : 1;
  return Math.max(1, Math.ceil(count * fill));
}

function groupDemand(unmet: UnmetDemand[]): Demand[] {
  const groups = new Map<string, Demand>();
  for (const { job, count, zone } of unmet) {
    const { cpus, gpus, memoryGb, spot, priority, types } = job.spec;
    const group = { cpus, gpus, memoryGb, types: types ?? [], zone: zone ?? "", spot, priority };
    const key = JSON.stringify(group);
    const existing = groups.get(key);
    if (existing) existing.count += count;
    else groups.set(key, { ...group, count });
  }
  return [...groups.values()];
}

/**
 * The summary reported by an owner that cannot start tasks. It has no demand and no free capacity, so that no machines
 * are rented for it and no jobs migrate to it. Machines with expired leases are reported as busy, so that none is
 * returned only because this owner did not receive its heartbeats.
 */
export function withoutDemand(summary: ShardSummary): ShardSummary {
  const machines = summary.machines.map((machine): MachineSummary =>
    machine.state === "lease_expired" ? { ...machine, state: "busy" } : machine,
  );
  return { ...summary, machines, demand: [], freeCapacity: [] };
}

/**
 * The state of one machine as reported to the leader.
 *
 * @param now steady time in milliseconds
 */
export function summarizeMachine(machine: Machine, now: number): MachineSummary {
  const { host, emptyHeartbeats } = machine;
  const elapsedSince = (instant: number | null): number => (instant === null ? 0 : now - instant);
  if (machine.record.isDraining || machine.isRemovalPending)
    return { host, state: "draining", stateForMs: 0, emptyHeartbeats };
  if (machine.leaseExpiredAt !== null)
    return {
      host,
      state: "lease_expired",
      stateForMs: elapsedSince(machine.leaseExpiredAt),
      emptyHeartbeats,
    };
  // Responses do not reach the machine, although its heartbeats arrive: it is as unusable as one without heartbeats.
  if (machine.hasLostResponses)
    return {
      host,
      state: "lease_expired",
      stateForMs: elapsedSince(machine.responsesLostSince),
      emptyHeartbeats,
    };
  if (!machine.followsTerm) {
    const state = machine.record.hasReported ? "awaiting_heartbeat" : "booting";
    return { host, state, stateForMs: elapsedSince(machine.addedAt), emptyHeartbeats };
  }
  if (machine.isQuarantined) return { host, state: "quarantined", stateForMs: 0, emptyHeartbeats };
  if (machine.isEmpty && machine.interruptionNoticeS === null)
    return { host, state: "idle", stateForMs: elapsedSince(machine.emptySince), emptyHeartbeats };
  return { host, state: "busy", stateForMs: 0, emptyHeartbeats };
}
