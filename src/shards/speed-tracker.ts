/** What tasks really take: by class, beside their estimates, and by machine, beside the other tasks of their jobs. */
import type { Logger } from "../runtime/log.js";
import type { Job } from "../workers/job.js";
import type { Machine } from "../workers/machine.js";
import type { Placement } from "../workers/placement.js";

/** The weight of one more task in what is known of a class's estimates. */
const CLASS_WEIGHT = 0.1;
/** The weight of one more task in what is known of a machine's speed. */
const MACHINE_WEIGHT = 0.25;
/** From so many completed tasks on a job says what its tasks usually take. */
const LEAST_TASKS_OF_JOB = 3;
/** From so many compared tasks on a machine may count as slow. */
const LEAST_TASKS_OF_MACHINE = 4;
/** Machines of a type differ by a tenth, and so do tasks of a job: one that takes so many times as long is slow. */
const SLOW_RATIO = 1.6;

/** Learns from completed tasks; a slow machine is marked, and unmarked once its tasks take the usual time again. */
export class SpeedTracker {
  /** What tasks really take for each second of their estimate, by class. */
  private readonly ratios = new Map<string, number>();

  constructor(private readonly log: Logger) {}

  /** How long a task of a class runs for each second of its estimate; 1 before anything is known. */
  ratio(className: string): number {
    return this.ratios.get(className) ?? 1;
  }

  /** A task has completed. */
  finished({ job, machine, state, stateSince: since, resumed }: Placement, now: number): void {
    const { className, estimateS, checkpointS } = job.spec;
    // A task that saves may have gone on from where it was stopped, and then says little.
    if (state !== "running" || estimateS <= 0 || (checkpointS > 0 && resumed)) return;
    const runMs = now - since;
    const seen = runMs / 1000 / estimateS;
    const known = this.ratios.get(className);
    this.ratios.set(className, known === undefined ? seen : known + (seen - known) * CLASS_WEIGHT);
    this.compare(job, machine, runMs);
  }

  /** Estimates differ from job to job, so that only tasks of one job tell machines apart. */
  private compare(job: Job, machine: Machine, runMs: number): void {
    const { completedRuns: runs } = job;
    const usualMs = runs.count < LEAST_TASKS_OF_JOB ? 0 : runs.totalMs / runs.count;
    runs.count++;
    runs.totalMs += runMs;
    if (usualMs <= 0) return;
    machine.comparedTasks++;
    machine.relativeRunTime += (runMs / usualMs - machine.relativeRunTime) * MACHINE_WEIGHT;
    const slow = machine.comparedTasks >= LEAST_TASKS_OF_MACHINE && machine.relativeRunTime > SLOW_RATIO;
    if (slow === machine.slow) return;
    machine.slow = slow;
    const { host, relativeRunTime: relativeRun } = machine;
    this.log.info({ host, relativeRun }, slow ? "machine is slow" : "machine is not slow any more");
  }
}
