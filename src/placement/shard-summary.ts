/** What an owner tells the leader of its shard: how full it is, what it is short of, how its machines are. Pure. */
import type { Demand, MachineSummary, ShardLoad, ShardSummary } from "../peers/peer-messages.js";
import type { Job, Machine, Placement } from "../workers/model.js";
import { forecastUnmetDemand, type UnmetDemand } from "./capacity-forecast.js";
import {
  isEligible,
  slotsPerMachine,
  isStartable,
  teamUsage,
  isWithinQuota,
  unreconciledUsage,
} from "./capacity.js";
import type { PlacementInput } from "./placement-round.js";
import { orderByPriority } from "./slo-priority.js";

/** How full the shard is, and what waits, in processors. */
export function measureLoad({
  jobs,
  machines,
  types,
}: Pick<PlacementInput, "jobs" | "machines" | "types">): ShardLoad {
  const load = { machinesUp: 0, emptyMachines: 0, cpus: 0, usedCpus: 0, waitingCpus: 0 };
  for (const machine of machines) {
    if (!machine.up) continue;
    load.machinesUp++;
    load.cpus += types.get(machine.record.type)?.cpus ?? 0;
    load.usedCpus += machine.usedResources().cpus;
    if (machine.placements.size === 0) load.emptyMachines++;
  }
  for (const job of jobs) load.waitingCpus += job.waiting * job.spec.cpus;
  return load;
}

/** What the processors in use are doing, for operators who ask where money goes. */
export function cpusByTaskState(machines: Iterable<Machine>): Record<Placement["state"], number> {
  const cpus = { assigned: 0, fetching: 0, running: 0, saving: 0 };
  for (const machine of machines)
    for (const { state, job } of machine.placements) cpus[state] += job.spec.cpus;
  return cpus;
}

/** Tasks that need machines yet to be rented, alike ones together; limits of teams respected. */
export function computeDemand(input: PlacementInput): Demand[] {
  const usage = teamUsage(input.jobs, input.reservedQuota);
  const unseen = unreconciledUsage(input.machines, input.types);
  const waiting = new Map<Job, number>();
  const open = [...input.jobs].filter((j) => j.waiting > 0 && isStartable(j, input));
  for (const job of orderByPriority(open, input)) {
    const { spec } = job;
    const team = input.teams.find((t) => t.name === spec.team);
    const used = usage.get(spec.team)!;
    const most = job.suspectedFaulty ? worthTrying(job, input) : job.startableTasks;
    let count = 0;
    for (; count < most && isWithinQuota(team, used, unseen, spec); count++) {
      used.cpus += spec.cpus;
      used.gpus += spec.gpus;
    }
    if (count > 0) waiting.set(job, count);
  }
  return groupDemand(forecastUnmetDemand({ ...input, waiting }));
}

/** A job that may be faulty is tried with one task, for which nothing is rented while a machine could hold it. */
function worthTrying(job: Job, input: PlacementInput): number {
  if (job.active.size > 0) return 0;
  for (const machine of input.machines) {
    const type = input.types.get(machine.record.type);
    if (
      type !== undefined &&
      machine.schedulable &&
      isEligible(job, machine) &&
      slotsPerMachine(job.spec, type) > 0
    )
      return 0;
  }
  return 1;
}

function groupDemand(rest: UnmetDemand[]): Demand[] {
  const groups = new Map<string, Demand>();
  for (const { job, count, zone } of rest) {
    const { cpus, gpus, memoryGb, spot, priority, types } = job.spec;
    const group = { cpus, gpus, memoryGb, types: types ?? [], zone: zone ?? "", spot, priority };
    const key = JSON.stringify(group);
    const known = groups.get(key);
    if (known) known.count += count;
    else groups.set(key, { ...group, count });
  }
  return [...groups.values()];
}

/**
 * What an owner that cannot start anything tells: no machines are rented for it, no jobs pass to it, and machines that it
 * does not hear are not returned on its word.
 */
export function withoutDemand(summary: ShardSummary): ShardSummary {
  const machines = summary.machines.map((machine): MachineSummary =>
    machine.state === "lease_expired" ? { ...machine, state: "busy" } : machine,
  );
  return { ...summary, machines, demand: [], freeCapacity: [] };
}

/** One machine as the leader is told of it. */
export function summarizeMachine(machine: Machine, now: number): MachineSummary {
  const { host, emptyHeartbeats } = machine;
  const since = (t: number | null): number => (t === null ? 0 : now - t);
  if (machine.record.draining || machine.removalPending)
    return { host, state: "draining", stateForMs: 0, emptyHeartbeats };
  if (machine.leaseExpiredAt !== null)
    return { host, state: "lease_expired", stateForMs: since(machine.leaseExpiredAt), emptyHeartbeats };
  // It speaks and does not hear: as good as silent, for what is to become of it.
  if (machine.responsesLost)
    return { host, state: "lease_expired", stateForMs: since(machine.responsesLostSince), emptyHeartbeats };
  if (!machine.followsTerm) {
    const state = machine.record.hasReported ? "awaiting_heartbeat" : "booting";
    return { host, state, stateForMs: since(machine.addedAt), emptyHeartbeats };
  }
  if (machine.quarantined) return { host, state: "quarantined", stateForMs: 0, emptyHeartbeats };
  if (machine.empty && machine.interruptionNoticeS === null)
    return { host, state: "idle", stateForMs: since(machine.emptySince), emptyHeartbeats };
  return { host, state: "busy", stateForMs: 0, emptyHeartbeats };
}
