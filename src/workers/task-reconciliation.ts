/** What one task in a heartbeat shows, and what the worker is to do with it. */
import type { TaskStatus, WorkerCommand } from "../wire/index.js";
import type { Job } from "./job.js";
import type { Machine } from "./machine.js";
import { attach, newPlacement, release, type Placement } from "./placement.js";

/** What the reconciliation of tasks needs to know of the shard, and whom it notifies. */
export interface TaskReconciliationContext {
  /** The jobs of the shard by id, those included that have ended and still have tasks on machines. */
  readonly jobs: ReadonlyMap<string, Job>;
  /** Steady time in milliseconds. */
  readonly now: number;
  /** Called when an attempt known to this owner has ended with a result. */
  onAttemptFinished(placement: Placement): void;
  /** Called when a task has ended on a machine; a completed one has been added to its job before. */
  onTaskExited(job: Job, index: number, machine: Machine, cause: NonNullable<TaskStatus["cause"]>): void;
}

/**
 * Reconciles one task of a heartbeat whose worker follows this owner's term.
 *
 * @param reported the attempts that the heartbeat shows; the task's own is added
 * @returns the command that the task calls for, if any
 */
export function reconcileTask(
  machine: Machine,
  task: TaskStatus,
  reported: Set<Placement>,
  context: TaskReconciliationContext,
): WorkerCommand | null {
  const { state, index, attempt } = task;
  const job = context.jobs.get(task.job);
  const placement = job?.activeAttempts.get(index);
  if (placement?.machine === machine && placement.attempt === attempt) reported.add(placement);
  const known = placement !== undefined && reported.has(placement) ? placement : null;
  if (state === "exited") return reconcileExitedTask(machine, task, job, known, context);
  if (known !== null) {
    updateState(known, state, context.now);
    return null;
  }
  if (job === undefined || placement !== undefined || !canContinue(job, index)) {
    machine.orphanTasks.add(`${task.job}/${index}`);
    return { op: "stop", job: task.job, index, attempt, graceS: 0 };
  }
  const inherited = inheritTask(machine, job, task, context.now);
  updateState(inherited, state, context.now);
  reported.add(inherited);
  return null;
}

/** Whether a task of which no attempt is known may go on. */
function canContinue(job: Job, index: number): boolean {
  return index < job.spec.tasks && !job.done.has(index) && !job.isTerminating;
}

function updateState(placement: Placement, state: Placement["state"], now: number): void {
  if (placement.state !== state) placement.stateSince = now;
  placement.state = state;
  // Only a machine that has run the image surely has it.
  if (state === "running") placement.machine.images.add(placement.job.spec.image);
}

/** An attempt that an earlier owner started: this owner goes on with it. */
function inheritTask(machine: Machine, job: Job, { index, attempt }: TaskStatus, now: number): Placement {
  const inherited = newPlacement(job, index, attempt, machine, now);
  inherited.isResumed = true;
  attach(inherited);
  return inherited;
}

/**
 * A task that has ended: its resources are free, and the worker keeps its result until it is durable.
 *
 * @param placement the attempt, if it is known to this owner
 */
function reconcileExitedTask(
  machine: Machine,
  task: TaskStatus,
  job: Job | undefined,
  placement: Placement | null,
  context: TaskReconciliationContext,
): WorkerCommand | null {
  const { index, attempt, cause } = task;
  const forget: WorkerCommand = { op: "forget", job: task.job, index, attempt };
  if (placement !== null) release(placement);
  if (placement !== null && cause === "done") context.onAttemptFinished(placement);
  if (job === undefined) return forget;
  if (cause === "done") {
    // A result counts whichever attempt brought it. The worker may forget it only once it is durable.
    if (job.markDone(index)) context.onTaskExited(job, index, machine, "done");
    return job.durablyDone.has(index) || job.isTerminating ? forget : null;
  }
  if (placement !== null) context.onTaskExited(job, index, machine, cause ?? "error");
  return forget;
}
