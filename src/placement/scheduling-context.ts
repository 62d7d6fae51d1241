/** The inputs of scheduling decisions. */
import type { Objective, Team } from "../config/settings.js";
import type { MachineType } from "../wire/index.js";
import type { Job } from "../workers/job.js";
import type { Machine } from "../workers/machine.js";
import type { OwnershipTerm } from "./eligibility.js";
import type { QuotaUsage } from "./quota.js";

/** The inputs for ordering jobs. */
export interface SchedulingContext {
  teams: Team[];
  types: Map<string, MachineType>;
  objectives: Objective[];
  /** Wall-clock time in milliseconds; jobs' `acceptedAt` is on the same clock. */
  wallNow: number;
  /** The ratio of actual to estimated run time of a class's tasks. */
  runtimeRatio(className: string): number;
}

/** The inputs for placement, preemption, migration and the shard's demand. */
export interface PlacementInput extends SchedulingContext, OwnershipTerm {
  /** Must allow repeated iteration. */
  jobs: Iterable<Job>;
  machines: Machine[];
  /** The quota reserved, by team, for jobs that have migrated to other shards. */
  reservedQuota: ReadonlyMap<string, QuotaUsage>;
  /** The id of the job at which the last full round stopped at its deadline; null if it considered the whole queue. */
  resumeAtJobId: string | null;
  /** The machines reserved for starving jobs, each with its job. */
  starvationReservations: ReadonlyMap<Machine, Job>;
  /** The machines on which tasks were preempted for a job, reserved for it until it has had time to start there. */
  preemptionReservations: ReadonlyMap<Machine, Job>;
}
