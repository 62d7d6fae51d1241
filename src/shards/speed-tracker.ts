/** Measured run times: of classes relative to their estimates, of machines relative to other tasks of the same jobs. */
import type { Logger } from "../runtime/log.js";
import type { Job } from "../workers/job.js";
import type { Machine } from "../workers/machine.js";
import type { Placement } from "../workers/placement.js";

/** The weight of one more task in the moving average of a class's run times. */
const CLASS_WEIGHT = 0.1;
/** The weight of one more task in the moving average of a machine's run times. */
const MACHINE_WEIGHT = 0.25;
/** After so many completed tasks a job's mean run time is taken as usual. */
const MIN_TASKS_OF_JOB = 3;
/** After so many compared tasks a machine may count as slow. */
const MIN_TASKS_OF_MACHINE = 4;
/** Machines of a type differ by a tenth, and so do tasks of a job: a machine that takes so many times as long is slow. */
const SLOW_RATIO = 1.6;

/** Learns from completed tasks; a slow machine is marked, and unmarked once its tasks take the usual time again. */
export class SpeedTracker {
  /** Measured run time by estimated run time, by class. */
  private readonly runtimeRatios = new Map<string, number>();

  constructor(private readonly log: Logger) {}

  /** How long tasks of a class run for each second of their estimate; 1 before any has completed. */
  ratio(className: string): number {
    return this.runtimeRatios.get(className) ?? 1;
  }

  /** A task has completed; `now` is steady time in milliseconds. */
  finished({ job, machine, state, stateSince, isResumed }: Placement, now: number): void {
    const { className, estimateS, checkpointS } = job.spec;
    // A task that checkpoints may have resumed where it was stopped: its run time says little then.
    if (state !== "running" || estimateS <= 0 || (checkpointS > 0 && isResumed)) return;
    const runMs = now - stateSince;
    const measured = runMs / 1000 / estimateS;
    const average = this.runtimeRatios.get(className) ?? measured;
    this.runtimeRatios.set(className, average + (measured - average) * CLASS_WEIGHT);
    this.compare(job, machine, runMs);
  }

  /** Estimates differ from job to job, so that machines are compared by tasks of the same job only. */
  private compare(job: Job, machine: Machine, runMs: number): void {
    const { completedRuns: runs } = job;
    const usualMs = runs.count < MIN_TASKS_OF_JOB ? 0 : runs.totalMs / runs.count;
    runs.count++;
    runs.totalMs += runMs;
    if (usualMs <= 0) return;
    machine.comparedTaskCount++;
    machine.relativeRunTime += (runMs / usualMs - machine.relativeRunTime) * MACHINE_WEIGHT;
    const slow = machine.comparedTaskCount >= MIN_TASKS_OF_MACHINE && machine.relativeRunTime > SLOW_RATIO;
    if (slow === machine.isSlow) return;
    machine.isSlow = slow;
    const { host, relativeRunTime: relativeRun } = machine;
    this.log.info({ host, relativeRun }, slow ? "machine marked slow" : "machine not slow any more");
  }
}
