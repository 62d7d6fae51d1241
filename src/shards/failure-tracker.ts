/** Tells jobs that were submitted with a mistake from faulty machines, by where else each of them does well. */
import type { Logger } from "../runtime/log.js";
import { MAX_WAIT_WITH_FREE_CAPACITY_S } from "../wire/index.js";
import type { Job } from "../workers/job.js";
import type { Machine } from "../workers/machine.js";

/** A job that fails on so many machines is at fault itself. */
const FAULTY_JOB_MACHINES = 3;

/** The longest that a faulty job is not tried, as a part of the time that nobody waits beside room. */
const MAX_BACK_OFF_FRACTION = 2 / 3;

/** So many leases after a failure the job may be tried on that machine again. */
const FAILURE_MEMORY_LEASES = 2;

/** A machine on which so many jobs fail, with no success between, is at fault itself. */
const FAULTY_MACHINE_JOBS = 2;

/** Counts failures per job and machine, quarantines machines and retries faulty jobs with growing pauses. */
export class FailureTracker {
  constructor(
    private readonly machines: ReadonlyMap<string, Machine>,
    private readonly leaseMs: number,
    private readonly log: Logger,
  ) {}

  /** A task ended well: neither its job nor its machine is at fault. */
  succeeded(job: Job, machine: Machine): void {
    machine.failedJobs.clear();
    job.backOffCount = 0;
    job.suspectedFaulty = false;
  }

  /** A task of the job failed on the machine. */
  failed(job: Job, machine: Machine, now: number): void {
    // What was still under way when the job was found faulty says nothing new, of it or of its machines.
    if (job.notBefore > now) return;
    job.failedOn.set(machine.host, now);
    machine.failedJobs.add(job.spec.id);
    if (job.suspectedFaulty || job.failedOn.size >= FAULTY_JOB_MACHINES) this.backOff(job, now);
    else if (machine.failedJobs.size >= FAULTY_MACHINE_JOBS && !machine.quarantined) {
      machine.quarantined = true;
      this.log.info({ host: machine.host, jobs: [...machine.failedJobs] }, "machine quarantined");
    }
  }

  /**
   * It fails wherever it runs. Its machines are not to blame, and it is tried again ever more rarely, but within the time
   * that nobody waits beside room: it may have been the machines after all.
   */
  private backOff(job: Job, now: number): void {
    for (const host of job.failedOn.keys()) this.machines.get(host)?.failedJobs.delete(job.spec.id);
    job.failedOn.clear();
    job.suspectedFaulty = true;
    job.notBefore =
      now +
      Math.min(
        2 ** job.backOffCount * this.leaseMs,
        MAX_BACK_OFF_FRACTION * MAX_WAIT_WITH_FREE_CAPACITY_S * 1000,
      );
    job.backOffCount++;
    this.log.info(
      { job: job.spec.id, failures: job.backOffCount },
      "job fails on every machine, backing off",
    );
  }

  /** Guards against a job that waits for ever beside room: the only machines may be those on which it once failed. */
  expireFailures(jobs: Iterable<Job>, now: number): void {
    for (const { failedOn } of jobs)
      for (const [host, at] of failedOn)
        if (now - at > FAILURE_MEMORY_LEASES * this.leaseMs) failedOn.delete(host);
  }
}
