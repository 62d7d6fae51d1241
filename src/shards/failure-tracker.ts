/** Distinguishes faulty jobs from faulty machines, by where else each of them succeeds. */
import type { Logger } from "../runtime/log.js";
import { MAX_WAIT_WITH_FREE_CAPACITY_S } from "../wire/index.js";
import type { Job } from "../workers/job.js";
import type { Machine } from "../workers/machine.js";

/** A job that fails on so many machines is faulty itself. */
const FAULTY_JOB_MACHINES = 3;

/** The longest back-off of a faulty job, as a part of the time that nobody waits beside free capacity. */
const MAX_BACK_OFF_FRACTION = 2 / 3;
const MAX_BACK_OFF_MS = MAX_BACK_OFF_FRACTION * MAX_WAIT_WITH_FREE_CAPACITY_S * 1000;

/** So many leases after a failure the job may be retried on that machine. */
const FAILURE_MEMORY_LEASES = 2;

/** A machine on which so many jobs fail, with no success between, is faulty itself. */
const FAULTY_MACHINE_JOBS = 2;

/** Counts failures per job and machine, quarantines machines and retries faulty jobs with exponential back-off. */
export class FailureTracker {
  constructor(
    private readonly machines: ReadonlyMap<string, Machine>,
    private readonly leaseMs: number,
    private readonly log: Logger,
  ) {}

  /** A task succeeded: neither its job nor its machine is faulty. */
  succeeded(job: Job, machine: Machine): void {
    machine.failedJobs.clear();
    job.backOffCount = 0;
    job.isSuspectedFaulty = false;
  }

  /** A task of the job failed on the machine; `now` is steady time in milliseconds. */
  failed(job: Job, machine: Machine, now: number): void {
    // Tasks that were running when the job was found faulty prove nothing new about it or its machines.
    if (job.notBefore > now) return;
    job.lastFailedAtByHost.set(machine.host, now);
    machine.failedJobs.add(job.spec.id);
    if (job.isSuspectedFaulty || job.lastFailedAtByHost.size >= FAULTY_JOB_MACHINES) this.backOff(job, now);
    else if (machine.failedJobs.size >= FAULTY_MACHINE_JOBS && !machine.isQuarantined) {
      machine.isQuarantined = true;
      this.log.info({ host: machine.host, jobs: [...machine.failedJobs] }, "machine quarantined");
    }
  }

  /**
   * The job fails wherever it runs. Its machines are not at fault, and it is retried with exponential back-off, but within
   * the time that nobody waits beside free capacity: it may have been the machines after all.
   */
  private backOff(job: Job, now: number): void {
    for (const host of job.lastFailedAtByHost.keys()) this.machines.get(host)?.failedJobs.delete(job.spec.id);
    job.lastFailedAtByHost.clear();
    job.isSuspectedFaulty = true;
    job.notBefore = now + Math.min(2 ** job.backOffCount * this.leaseMs, MAX_BACK_OFF_MS);
    job.backOffCount++;
    this.log.info(
      { job: job.spec.id, failures: job.backOffCount },
      "job backed off: it fails on every machine",
    );
  }

  /** Guards against a job that waits for ever beside free capacity: the only machines may be those on which it failed. */
  expireFailures(jobs: Iterable<Job>, now: number): void {
    for (const { lastFailedAtByHost } of jobs)
      for (const [host, failedAt] of lastFailedAtByHost)
        if (now - failedAt > FAILURE_MEMORY_LEASES * this.leaseMs) lastFailedAtByHost.delete(host);
  }
}
