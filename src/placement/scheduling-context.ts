/** What scheduling decisions are made on. */
import type { Objective, Team } from "../config/settings.js";
import type { MachineType } from "../wire/index.js";
import type { Job } from "../workers/job.js";
import type { Machine } from "../workers/machine.js";
import type { OwnershipTerm } from "./eligibility.js";
import type { QuotaUsage } from "./quota.js";

/** What the order of jobs is decided on. */
export interface SchedulingContext {
  teams: Team[];
  types: Map<string, MachineType>;
  objectives: Objective[];
  /** Time of day in milliseconds, the clock by which jobs are dated. */
  wallNow: number;
  /** How long a task really runs for each second of its estimate, by class. */
  runtimeRatio(className: string): number;
}

/** What placements, preemptions, migrations and the shard's demand are decided on. */
export interface PlacementInput extends SchedulingContext, OwnershipTerm {
  /** Iterated several times. */
  jobs: Iterable<Job>;
  machines: Machine[];
  /** What is reserved of teams' limits for jobs that have migrated to other shards. */
  reservedQuota: ReadonlyMap<string, QuotaUsage>;
  /** The id of the job at which the last round ran out of time. */
  resumeAtJobId: string | null;
  /** Machines reserved for a starving job, and the job that each is reserved for. */
  starvationReservations: ReadonlyMap<Machine, Job>;
  /** Machines on which tasks were preempted for a job, until the job has had the time to start there. */
  preemptionReservations: ReadonlyMap<Machine, Job>;
}
