/** What will soon be free on machines, and which of their tasks may be preempted. Pure. */
import type { MachineType } from "../wire/index.js";
import type { Machine } from "../workers/machine.js";
import type { Placement } from "../workers/placement.js";
import { subtractResources, type Resources } from "../workers/resources.js";
import { priorityRank } from "./priority-rank.js";
import { subtractUsage, type QuotaUsage } from "./quota.js";
import { expectedRemainingMs, expectedRuntimeMs } from "./runtime-estimates.js";
import type { PlacementInput } from "./scheduling-context.js";

/** Work that cannot be saved may be discarded while it is less than this fraction of the whole. */
const MAX_DISCARDED_FRACTION = 0.1;

/** What preemption is decided on. */
export interface PreemptionInput extends PlacementInput {
  /** The interval of workers' heartbeats, in milliseconds. */
  heartbeatIntervalMs: number;
}

/** A machine, and what will be free on it about as soon as a task stopped now would release its capacity. */
export interface PreemptableCapacity extends Resources {
  machine: Machine;
  /** What may be preempted here: the lowest priority first, and of that what has started last. */
  victims: Placement[];
}

/** What will soon be free on all machines on which tasks may start. Subtracts the tasks that end from the usage. */
export function preemptableCapacities(
  input: PreemptionInput,
  usageByTeam: Map<string, QuotaUsage>,
): PreemptableCapacity[] {
  const capacities: PreemptableCapacity[] = [];
  for (const machine of input.machines) {
    const type = input.types.get(machine.record.type);
    if (!type || !machine.isSchedulable) continue;
    capacities.push(preemptableCapacityOf(machine, type, input, usageByTeam));
  }
  return capacities;
}

function preemptableCapacityOf(
  machine: Machine,
  type: MachineType,
  input: PreemptionInput,
  usageByTeam: Map<string, QuotaUsage>,
): PreemptableCapacity {
  const { cpus, gpus, memoryGb } = type;
  const capacity: PreemptableCapacity = { machine, cpus, gpus, memoryGb, victims: [] };
  for (const placement of machine.placements) {
    const { job } = placement;
    if (placement.stop !== null || job.isTerminating || endsSoon(placement, type, input)) {
      subtractUsage(usageByTeam.get(job.spec.team)!, job.spec);
      continue;
    }
    subtractResources(capacity, job.spec);
    if (isCheapToStop(placement, input)) capacity.victims.push(placement);
  }
  capacity.victims.sort((a, b) => priorityRank(a.job) - priorityRank(b.job) || b.stateSince - a.stateSince);
  return capacity;
}

/**
 * Whether a task ends about as soon as a stopped one would. Guards against counting on the end of a task that has
 * outrun its estimate: others would be stopped beside it, again and again, for capacity that is not released.
 */
function endsSoon(placement: Placement, type: MachineType, input: PreemptionInput): boolean {
  const { state, stateSince, job } = placement;
  if (state === "running" && input.now - stateSince > expectedRuntimeMs(job, input)) return false;
  return expectedRemainingMs(placement, type, input) <= job.spec.saveS * 1000 + 2 * input.heartbeatIntervalMs;
}

/** Whether little work is lost: it is saved, or has hardly begun. */
function isCheapToStop(placement: Placement, input: PreemptionInput): boolean {
  const { job, state, stateSince } = placement;
  if (state === "saving") return false;
  if (job.spec.checkpointS > 0 || state !== "running") return true;
  return input.now - stateSince < MAX_DISCARDED_FRACTION * expectedRuntimeMs(job, input);
}
