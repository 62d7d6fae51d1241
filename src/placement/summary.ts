/** What an owner tells the leader of its shard: how full it is, what it is short of, how its machines are. Pure. */
import type { Demand, MachineSummary, ShardLoad, Summary } from "../peers/messages.js";
import type { Job, Machine, Placement } from "../workers/model.js";
import { uncovered, type Uncovered } from "./forecast.js";
import { allows, slotsOn, startable, teamUsage, underLimit, unseenUsage } from "./capacity.js";
import type { RoundInput } from "./place.js";
import { orderByUrgency } from "./urgency.js";

/** How full the shard is, and what waits, in processors. */
export function loadOf({
  jobs,
  machines,
  types,
}: Pick<RoundInput, "jobs" | "machines" | "types">): ShardLoad {
  const load = { up: 0, empty: 0, cpus: 0, used: 0, waiting: 0 };
  for (const machine of machines) {
    if (!machine.up) continue;
    load.up++;
    load.cpus += types.get(machine.record.type)?.cpus ?? 0;
    load.used += machine.used().cpus;
    if (machine.placements.size === 0) load.empty++;
  }
  for (const job of jobs) load.waiting += job.waiting * job.spec.cpus;
  return load;
}

/** What the processors in use are doing, for operators who ask where money goes. */
export function usageOf(machines: Iterable<Machine>): Record<Placement["state"], number> {
  const cpus = { assigned: 0, fetching: 0, running: 0, saving: 0 };
  for (const machine of machines)
    for (const { state, job } of machine.placements) cpus[state] += job.spec.cpus;
  return cpus;
}

/** Tasks that need machines yet to be rented, alike ones together; limits of teams respected. */
export function demandOf(input: RoundInput): Demand[] {
  const usage = teamUsage(input.jobs, input.reservedQuota);
  const unseen = unseenUsage(input.machines, input.types);
  const waiting = new Map<Job, number>();
  const open = [...input.jobs].filter((j) => j.waiting > 0 && startable(j, input));
  for (const job of orderByUrgency(open, input)) {
    const { spec } = job;
    const team = input.teams.find((t) => t.name === spec.team);
    const used = usage.get(spec.team)!;
    const most = job.suspect ? worthTrying(job, input) : job.startableTasks;
    let count = 0;
    for (; count < most && underLimit(team, used, unseen, spec); count++) {
      used.cpus += spec.cpus;
      used.gpus += spec.gpus;
    }
    if (count > 0) waiting.set(job, count);
  }
  return groupDemand(uncovered({ ...input, waiting }));
}

/** A job that may be faulty is tried with one task, for which nothing is rented while a machine could hold it. */
function worthTrying(job: Job, input: RoundInput): number {
  if (job.active.size > 0) return 0;
  for (const machine of input.machines) {
    const type = input.types.get(machine.record.type);
    if (type !== undefined && machine.usable && allows(job, machine) && slotsOn(job.spec, type) > 0) return 0;
  }
  return 1;
}

function groupDemand(rest: Uncovered[]): Demand[] {
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
export function withoutClaims(summary: Summary): Summary {
  const machines = summary.machines.map((machine): MachineSummary =>
    machine.state === "silent" ? { ...machine, state: "busy" } : machine,
  );
  return { ...summary, machines, demand: [], rooms: [] };
}

/** One machine as the leader is told of it. */
export function summarise(machine: Machine, now: number): MachineSummary {
  const { host, emptyReports } = machine;
  const since = (t: number | null): number => (t === null ? 0 : now - t);
  if (machine.record.drain || machine.leaving) return { host, state: "draining", forMs: 0, emptyReports };
  if (machine.silentSince !== null)
    return { host, state: "silent", forMs: since(machine.silentSince), emptyReports };
  // It speaks and does not hear: as good as silent, for what is to become of it.
  if (machine.responsesLost)
    return { host, state: "silent", forMs: since(machine.responsesLostSince), emptyReports };
  if (!machine.heard) {
    const state = machine.record.up ? "joining" : "booting";
    return { host, state, forMs: since(machine.addedAt), emptyReports };
  }
  if (machine.sick) return { host, state: "sick", forMs: 0, emptyReports };
  if (machine.empty && machine.noticeS === null)
    return { host, state: "idle", forMs: since(machine.emptySince), emptyReports };
  return { host, state: "busy", forMs: 0, emptyReports };
}
