/** Distinguishes faulty jobs from faulty machines by where else they succeed or fail. */
import type { Logger } from "../runtime/log.js";
import { MAX_WAIT_WITH_FREE_CAPACITY_S } from "../wire/index.js";
import type { Job } from "../workers/job.js";
import type { Machine } from "../workers/machine.js";

/** A job counts as faulty once it has failed on this many machines. */
const MIN_MACHINES_FOR_FAULTY_JOB = 3;

/** Longest backoff of a faulty job, as a fraction of the maximum wait of a job while capacity is free. */
const MAX_BACKOFF_FRACTION = 2 / 3;
const MAX_BACKOFF_MS = MAX_BACKOFF_FRACTION * MAX_WAIT_WITH_FREE_CAPACITY_S * 1000;

/** A job may be retried on a machine this many lease durations after it failed there. */
const FAILURE_RETENTION_LEASES = 2;

/** A machine counts as faulty once this many jobs have failed on it without a success in between. */
const MIN_JOBS_FOR_FAULTY_MACHINE = 2;

/**
 * Tracks failures per job and machine, quarantines faulty machines, and retries faulty jobs with exponential backoff.
 */
export class FailureTracker {
  constructor(
    private readonly machines: ReadonlyMap<string, Machine>,
    private readonly leaseMs: number,
    private readonly log: Logger,
  ) {}

  /** Records a successful task: neither its job nor its machine is faulty. */
  recordSuccess(job: Job, machine: Machine): void {
    machine.failedJobs.clear();
    job.backoffCount = 0;
    job.isSuspectedFaulty = false;
  }

  /** Records a failed task; `now` is steady time in milliseconds. */
  recordFailure(job: Job, machine: Machine, now: number): void {
    // Failures of tasks that were already running when the job was found faulty are no new evidence about it or its
    // machines.
    if (job.notBefore > now) return;
    job.lastFailedAtByHost.set(machine.host, now);
    machine.failedJobs.add(job.spec.id);
    if (job.isSuspectedFaulty || job.lastFailedAtByHost.size >= MIN_MACHINES_FOR_FAULTY_JOB)
      this.backOff(job, now);
    else if (machine.failedJobs.size >= MIN_JOBS_FOR_FAULTY_MACHINE && !machine.isQuarantined) {
      machine.isQuarantined = true;
      this.log.info({ host: machine.host, jobs: [...machine.failedJobs] }, "machine quarantined");
    }
  }

  /**
   * Delays the next attempt of a job that fails wherever it runs, and no longer counts its failures against its
   * machines. The exponential backoff stays within the maximum wait of a job while capacity is free, since the machines
   * may have been at fault after all.
   */
  private backOff(job: Job, now: number): void {
    for (const host of job.lastFailedAtByHost.keys()) this.machines.get(host)?.failedJobs.delete(job.spec.id);
    job.lastFailedAtByHost.clear();
    job.isSuspectedFaulty = true;
    job.notBefore = now + Math.min(2 ** job.backoffCount * this.leaseMs, MAX_BACKOFF_MS);
    job.backoffCount++;
    this.log.info(
      { job: job.spec.id, failures: job.backoffCount },
      "job fails on several machines; retrying with backoff",
    );
  }

  /**
   * Drops failures that are too old. Otherwise a job could wait forever while capacity is free, if the only machines
   * with room are those on which it failed.
   */
  expireFailures(jobs: Iterable<Job>, now: number): void {
    for (const { lastFailedAtByHost } of jobs)
      for (const [host, failedAt] of lastFailedAtByHost)
        if (now - failedAt > FAILURE_RETENTION_LEASES * this.leaseMs) lastFailedAtByHost.delete(host);
  }
}
