/** What a round of placement has decided so far. */
import type { Job } from "../workers/job.js";
import type { Machine } from "../workers/machine.js";
import type { MachineCapacity } from "./machine-capacity.js";
import { quotaSnapshot, type QuotaSnapshot } from "./quota.js";
import type { PlacementInput } from "./scheduling-context.js";

/** A decision to start a task on a machine. */
export interface TaskStart {
  job: Job;
  /** The number of the task in its job. */
  index: number;
  machine: Machine;
}

/** The state of a round; used by rounds over all machines and by those for one machine alike. */
export interface RoundState {
  readonly input: PlacementInput;
  /** Includes the usage of the tasks that this round starts. */
  readonly quota: QuotaSnapshot;
  /** What is free beside the tasks that this round starts. */
  readonly capacities: MachineCapacity[];
  readonly starts: TaskStart[];
  /** Machines on which only tasks of one job may start. */
  readonly reservations: Map<Machine, Job>;
  /** Teams of which nothing more starts in this round, by name. */
  readonly blockedTeams: Set<string>;
  /** How many machines were considered for how many jobs. */
  pairsConsidered: number;
}

/** The state of a round that has decided nothing yet. */
export function beginRound(
  input: PlacementInput,
  capacities: MachineCapacity[],
  reservations: Map<Machine, Job>,
): RoundState {
  return {
    input,
    quota: quotaSnapshot(input),
    capacities,
    starts: [],
    reservations,
    blockedTeams: new Set(),
    pairsConsidered: 0,
  };
}
