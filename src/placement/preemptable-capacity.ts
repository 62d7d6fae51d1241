/** Computes the capacity that machines will have soon, and the tasks that may be preempted on them. Pure. */
import type { MachineType } from "../wire/index.js";
import type { Machine } from "../workers/machine.js";
import type { Placement } from "../workers/placement.js";
import { takeTask, type RemainingCapacity } from "../workers/resources.js";
import { priorityRank } from "./priority-rank.js";
import { subtractUsage, type QuotaUsage } from "./quota.js";
import { expectedRemainingMs, expectedRuntimeMs } from "./runtime-estimates.js";
import type { PlacementInput } from "./scheduling-context.js";

/** A running task without checkpoints may be preempted until it has run for this fraction of its expected run time. */
const MAX_DISCARDED_FRACTION = 0.1;

/** The input of preemption decisions. */
export interface PreemptionInput extends PlacementInput {
  /** The interval of workers' heartbeats, in milliseconds. */
  heartbeatIntervalMs: number;
}

/** A machine and its capacity by the time at which a task preempted now would have released its resources. */
export interface PreemptableCapacity extends RemainingCapacity {
  machine: Machine;
  /** The tasks that may be preempted, lowest priority first; within a priority the most recent state change first. */
  candidateVictims: Placement[];
}

/** The capacity soon free on each schedulable machine. Subtracts tasks that are about to end from `usageByTeam`. */
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
  const taskSlots = machine.freeTaskSlots + machine.placements.size;
  const capacity: PreemptableCapacity = { machine, cpus, gpus, memoryGb, taskSlots, candidateVictims: [] };
  for (const placement of machine.placements) {
    const { job } = placement;
    if (placement.stop !== null || job.isTerminating || endsSoon(placement, type, input)) {
      subtractUsage(usageByTeam.get(job.spec.team)!, job.spec);
      continue;
    }
    takeTask(capacity, job.spec);
    if (isCheapToStop(placement, input)) capacity.candidateVictims.push(placement);
  }
  capacity.candidateVictims.sort(
    (a, b) => priorityRank(a.job) - priorityRank(b.job) || b.stateSince - a.stateSince,
  );
  return capacity;
}

/**
 * Whether a task will end about as soon as it would if preempted: within its save time and two heartbeats. False for a
 * running task that has exceeded its expected run time: its end cannot be relied on, and other tasks would be preempted
 * repeatedly for capacity that it does not release.
 */
function endsSoon(placement: Placement, type: MachineType, input: PreemptionInput): boolean {
  const { state, stateSince, job } = placement;
  if (state === "running" && input.now - stateSince > expectedRuntimeMs(job, input)) return false;
  return expectedRemainingMs(placement, type, input) <= job.spec.saveS * 1000 + 2 * input.heartbeatIntervalMs;
}

/** Whether preempting a task loses little work: it has checkpoints or has just started. A saving task is left alone. */
function isCheapToStop(placement: Placement, input: PreemptionInput): boolean {
  const { job, state, stateSince } = placement;
  if (state === "saving") return false;
  if (job.spec.checkpointS > 0 || state !== "running") return true;
  return input.now - stateSince < MAX_DISCARDED_FRACTION * expectedRuntimeMs(job, input);
}
