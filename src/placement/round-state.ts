/** The state of a placement round: decisions so far and remaining capacity. */
import type { Job } from "../workers/job.js";
import type { Machine } from "../workers/machine.js";
import type { MachineCapacity } from "./machine-capacity.js";
import { quotaSnapshot, type QuotaSnapshot } from "./quota.js";
import type { PlacementInput } from "./scheduling-context.js";

/** The decision to start a task on a machine. */
export interface TaskStart {
  job: Job;
  /** The index of the task in its job. */
  index: number;
  machine: Machine;
}

/** The state shared by rounds over all machines and rounds for a single machine. */
export interface RoundState {
  readonly input: PlacementInput;
  /** The quota usage, including the tasks that this round starts. */
  readonly quota: QuotaSnapshot;
  /** The capacity that is still free after the tasks that this round starts. */
  readonly capacities: MachineCapacity[];
  readonly starts: TaskStart[];
  /** Machines on which only tasks of the given job may start. */
  readonly reservations: Map<Machine, Job>;
  /** The names of teams whose jobs start no more tasks in this round. */
  readonly blockedTeams: Set<string>;
  /** The number of (job, machine) pairs considered. */
  pairsConsidered: number;
  /** Whether the time of the round is used up. */
  isTimeUp(): boolean;
}

/**
 * Creates the state of a round before its first decision.
 *
 * @param isTimeUp by default the round has as much time as it needs
 */
export function beginRound(
  input: PlacementInput,
  capacities: MachineCapacity[],
  reservations: Map<Machine, Job>,
  isTimeUp: () => boolean = () => false,
): RoundState {
  return {
    input,
    isTimeUp,
    quota: quotaSnapshot(input),
    capacities,
    starts: [],
    reservations,
    blockedTeams: new Set(),
    pairsConsidered: 0,
  };
}
