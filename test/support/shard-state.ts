/** Builders of jobs, machines and attempts, and of the input of scheduling decisions about them. */
import type { PlacementInput } from "../../src/placement/scheduling-context.js";
import type { JobSpec } from "../../src/wire/index.js";
import { Job } from "../../src/workers/job.js";
import type { MachineRecord } from "../../src/workers/machine-records.js";
import { Machine } from "../../src/workers/machine.js";
import { attach, newPlacement, type Placement } from "../../src/workers/placement.js";
import { jobSpec, smallType } from "./records.js";
import { testSettings } from "./settings.js";

/** The default steady time and wall-clock time of decisions, in milliseconds. */
export const NOW = 1_000_000;

/** Creates a job with a record of version 1, accepted at `NOW` by default. */
export function newJob(id: string, specOverrides: Partial<JobSpec> = {}, acceptedAt = NOW): Job {
  return new Job(jobSpec(id, specOverrides), acceptedAt, 1);
}

/** Creates an empty, schedulable machine of the small type. */
export function newMachine(
  host: string,
  overrides: Partial<Pick<MachineRecord, "spot" | "zone">> = {},
): Machine {
  const pool = { type: "small", zone: "north", spot: false, ...overrides };
  const record = { groupKey: "g", shard: 0, ...pool, since: 0, isDraining: false, hasReported: true };
  const machine = new Machine(host, record, 0);
  machine.followsTerm = true;
  return machine;
}

/** Creates a number of empty, schedulable machines, named `i-0`, `i-1` and so on. */
export const newMachines = (count: number): Machine[] =>
  Array.from({ length: count }, (_, i) => newMachine(`i-${i}`));

/** Creates a running attempt of a task, attached to its job and machine. */
export function startTask(machine: Machine, job: Job, index: number, runningSince = NOW): Placement {
  const placement = newPlacement(job, index, index + 1, machine, runningSince);
  placement.state = "running";
  attach(placement);
  return placement;
}

/** Detaches an attempt from its job and machine. */
export function endTask(placement: Placement): void {
  placement.machine.detach(placement);
  placement.job.detach(placement);
}

/** Builds the input of scheduling decisions about these jobs and machines. */
export function placementInput(
  jobs: Job[],
  machines: Machine[],
  overrides: Partial<PlacementInput> = {},
): PlacementInput & { heartbeatIntervalMs: number } {
  return {
    jobs,
    machines,
    types: new Map([[smallType.name, smallType]]),
    teams: testSettings().teams,
    objectives: [],
    runtimeRatio: () => 1,
    now: NOW,
    wallNow: NOW,
    isReconciled: true,
    termToken: 0,
    reservedQuota: new Map(),
    preemptionReservations: new Map(),
    resumeAtJobId: null,
    starvationReservations: new Map(),
    heartbeatIntervalMs: 2000,
    ...overrides,
  };
}
