/** Reconciles the owner's state with one task in a heartbeat, and decides the worker's command for it. */
import type { TaskStatus, WorkerCommand } from "../wire/index.js";
import type { Job } from "./job.js";
import type { Machine } from "./machine.js";
import { attach, newPlacement, release, type Placement } from "./placement.js";

/** The shard state that task reconciliation reads, and the callbacks that it calls. */
export interface TaskReconciliationContext {
  /** The jobs of the shard by id, including ended jobs that still have tasks on machines. */
  readonly jobs: ReadonlyMap<string, Job>;
  /** Steady time in milliseconds. */
  readonly now: number;
  /** Called when an attempt known to this owner has completed its task. */
  onAttemptFinished(placement: Placement): void;
  /** Called when a task has exited on a machine; a completed task is already marked as done in its job. */
  onTaskExited(job: Job, index: number, machine: Machine, cause: NonNullable<TaskStatus["cause"]>): void;
}

/**
 * Reconciles one task of a heartbeat whose worker follows this owner's term.
 *
 * @param reported collects the known attempts that the heartbeat reports; the task's attempt is added
 * @returns the command for the task; null if there is none
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

/** Whether a reported task without a known attempt may continue. */
function canContinue(job: Job, index: number): boolean {
  return index < job.spec.tasks && !job.done.has(index) && !job.isTerminating;
}

function updateState(placement: Placement, state: Placement["state"], now: number): void {
  if (placement.state !== state) placement.stateSince = now;
  placement.state = state;
  // Only a task in the running state proves that the machine has pulled its image.
  if (state === "running") placement.machine.images.add(placement.job.spec.image);
}

/** Takes over an attempt that an earlier owner started. */
function inheritTask(machine: Machine, job: Job, { index, attempt }: TaskStatus, now: number): Placement {
  const inherited = newPlacement(job, index, attempt, machine, now);
  inherited.isResumed = true;
  attach(inherited);
  return inherited;
}

/**
 * Reconciles a task that has exited: its resources are freed. The worker keeps a completion until it is durable.
 *
 * @param placement the attempt; null if this owner does not know it
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
    // A completion counts whichever attempt reports it. The worker may forget it only once it is durable.
    if (job.markDone(index)) context.onTaskExited(job, index, machine, "done");
    return job.durablyDone.has(index) || job.isTerminating ? forget : null;
  }
  if (placement !== null) context.onTaskExited(job, index, machine, cause ?? "error");
  return forget;
}
