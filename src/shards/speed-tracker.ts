/**
 * Measures run times: of job classes relative to their estimates, and of machines relative to other tasks of the same
 * jobs.
 */
import type { Logger } from "../runtime/log.js";
import type { Job } from "../workers/job.js";
import type { Machine } from "../workers/machine.js";
import type { Placement } from "../workers/placement.js";

/** Weight of a new task in the moving average of a class's run times. */
const CLASS_AVERAGE_WEIGHT = 0.1;
/** Weight of a new task in the moving average of a machine's run times. */
const MACHINE_AVERAGE_WEIGHT = 0.25;
/** Number of completed tasks from which a job's mean run time is used for comparison. */
const MIN_TASKS_OF_JOB = 3;
/** Number of compared tasks from which a machine may count as slow. */
const MIN_TASKS_OF_MACHINE = 4;
/**
 * A machine counts as slow if its tasks take more than this many times the mean. Machines of a type differ by a tenth,
 * and so do tasks of a job.
 */
const SLOW_RATIO = 1.6;

/**
 * Tracks the run times of completed tasks. Marks slow machines, and unmarks them once their tasks take the usual time
 * again.
 */
export class SpeedTracker {
  /** Ratio of measured to estimated run time, by class. */
  private readonly runtimeRatios = new Map<string, number>();

  constructor(private readonly log: Logger) {}

  /** Seconds that tasks of a class run per second of their estimate; 1 before any has completed. */
  runtimeRatio(className: string): number {
    return this.runtimeRatios.get(className) ?? 1;
  }

  /** Records a completed task; `now` is steady time in milliseconds. */
  recordFinished({ job, machine, state, stateSince, isResumed }: Placement, now: number): void {
    const { className, estimateS, checkpointS } = job.spec;
    // A task that checkpoints may have resumed from a checkpoint, so its run time is not comparable.
    if (state !== "running" || estimateS <= 0 || (checkpointS > 0 && isResumed)) return;
    const runMs = now - stateSince;
    const measured = runMs / 1000 / estimateS;
    const average = this.runtimeRatios.get(className) ?? measured;
    this.runtimeRatios.set(className, average + (measured - average) * CLASS_AVERAGE_WEIGHT);
    this.updateMachineSpeed(job, machine, runMs);
  }

  /** Compares machines only by tasks of the same job, since the accuracy of estimates differs from job to job. */
  private updateMachineSpeed(job: Job, machine: Machine, runMs: number): void {
    const { completedRuns: runs } = job;
    const meanMs = runs.count < MIN_TASKS_OF_JOB ? 0 : runs.totalMs / runs.count;
    runs.count++;
    runs.totalMs += runMs;
    if (meanMs <= 0) return;
    machine.comparedTaskCount++;
    machine.relativeRunTime += (runMs / meanMs - machine.relativeRunTime) * MACHINE_AVERAGE_WEIGHT;
    const slow = machine.comparedTaskCount >= MIN_TASKS_OF_MACHINE && machine.relativeRunTime > SLOW_RATIO;
    if (slow === machine.isSlow) return;
    machine.isSlow = slow;
    const { host, relativeRunTime: relativeRun } = machine;
    this.log.info({ host, relativeRun }, slow ? "machine marked slow" : "machine no longer slow");
  }
}
