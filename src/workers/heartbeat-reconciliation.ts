/**
 * Reconciles the owner's state of a machine with a heartbeat from its worker, and computes the commands for the
 * response. Start commands are sent only in responses: the worker drops a late response, so no task starts late.
 */
import { HEARTBEAT_TIMEOUT_S, type Heartbeat, type WorkerCommand } from "../wire/index.js";
import { isLive } from "./job.js";
import { updateEpoch } from "./lost-responses.js";
import type { Machine } from "./machine.js";
import { release, type Placement } from "./placement.js";
import { reconcileTask, type TaskReconciliationContext } from "./task-reconciliation.js";
import { commandFor, limitCommands } from "./worker-commands.js";

/** After this many consecutive heartbeats that do not reflect the start command, responses count as lost. */
const MAX_LOST_STARTS = 3;

/** The shard state that reconciliation reads, and the callbacks that it calls. */
export interface ReconciliationContext extends TaskReconciliationContext {
  /** When this owner's term began, in steady time in milliseconds. */
  readonly termStartedAt: number;
  /** The longest time that a worker's lease may last after a heartbeat, including everything that may delay its end. */
  readonly leaseMs: number;
  /** Whether a token belongs to this owner's term: a worker whose highest token it is follows only this owner. */
  isTokenOfTerm(token: number): boolean;
}

/** Whether a heartbeat is newer than every heartbeat reconciled so far for this machine. */
export function isNewerHeartbeat(machine: Machine, { epoch, sequence }: Heartbeat): boolean {
  return epoch > machine.epoch || (epoch === machine.epoch && sequence > machine.sequence);
}

/** Reconciles a heartbeat that must be newer than the last one, and returns the commands for the response. */
export function reconcileHeartbeat(
  machine: Machine,
  heartbeat: Heartbeat,
  context: ReconciliationContext,
): WorkerCommand[] {
  const { now } = context;
  updateEpoch(machine, heartbeat.epoch, now, context.leaseMs);
  machine.sequence = heartbeat.sequence;
  machine.firstHeartbeatAt ??= now;
  if (!context.isTokenOfTerm(heartbeat.highestToken)) return reconcileOtherTerm(machine, heartbeat, context);
  machine.lastHeartbeatAt = now;
  machine.leaseExpiredAt = null;
  machine.interruptionNoticeS = heartbeat.interruptionNoticeS;
  machine.recordReportedTasks(heartbeat.tasks);
  machine.orphanTasks = new Set();
  machine.followsTerm = true;

  const commands: WorkerCommand[] = [];
  const reported = new Set<Placement>();
  for (const task of heartbeat.tasks) {
    const command = reconcileTask(machine, task, reported, context);
    if (command !== null) commands.push(command);
  }
  releaseUnreported(machine, reported, now);
  for (const placement of machine.placements) {
    const command = commandFor(placement);
    if (command !== null) commands.push(command);
  }
  updateEmptyState(machine, now);
  // The caller counts the stops returned here as sent, then adds starts and limits the response again.
  return limitCommands(commands);
}

/**
 * Handles a heartbeat whose highest token belongs to another term. It may be a late heartbeat, or a duplicate, sent to
 * an earlier owner or another shard's owner. That owner's commands may have changed the tasks since, so the heartbeat
 * proves nothing about them. The response carries this owner's token; a heartbeat that shows the token is current.
 *
 * Also guards against a machine whose heartbeats arrive while responses to it are lost. A newer heartbeat without a
 * token of this term proves that the worker received no earlier response of this term. The tasks that ran there when
 * the term began therefore outlive one lease only if the worker receives the response to this heartbeat, and only if
 * the heartbeat was sent within that lease; the worker drops a response that exceeds its timeout. Heartbeats after a
 * lease plus the timeout no longer extend the lease: it expires however many arrive, and delays neither the shard nor
 * a job.
 */
function reconcileOtherTerm(
  machine: Machine,
  heartbeat: Heartbeat,
  context: ReconciliationContext,
): WorkerCommand[] {
  const { now, termStartedAt, leaseMs } = context;
  if (now - termStartedAt <= leaseMs + HEARTBEAT_TIMEOUT_S * 1000) machine.lastHeartbeatAt = now;
  return stopCommandsForEndedJobs(heartbeat, context);
}

/**
 * Builds stop commands for tasks of jobs that have ended. Guards against `ran_cancelled`: the response renews the
 * worker's lease, so a series of owners, each ending before the worker's second heartbeat and following the last within
 * a lease, would keep a cancelled task running. A stop needs no current heartbeat: the task must not continue, whatever
 * has happened to it since.
 */
function stopCommandsForEndedJobs(heartbeat: Heartbeat, { jobs }: ReconciliationContext): WorkerCommand[] {
  return heartbeat.tasks
    .filter((task) => task.state !== "exited" && !isLive(jobs.get(task.job)))
    .map(({ job, index, attempt }) => ({ op: "stop", job, index, attempt, graceS: 0 }));
}

/**
 * Releases placements that a newer heartbeat does not report: their tasks are proven not to be on the machine. This
 * includes tasks to be started, as the worker has either executed the response to its last heartbeat before it sent
 * this one, or dropped that response for good.
 */
function releaseUnreported(machine: Machine, reported: Set<Placement>, now: number): void {
  for (const placement of [...machine.placements]) {
    if (reported.has(placement)) {
      placement.missedHeartbeats = 0;
      continue;
    }
    const canStartAgain =
      placement.state === "assigned" &&
      !placement.stop &&
      !placement.job.isTerminating &&
      machine.isSchedulable;
    // Guards against a task assigned forever to a machine that receives no response: this heartbeat proves that no
    // start command so far was received, and the response to it includes no further one.
    if (canStartAgain && placement.missedHeartbeats++ < MAX_LOST_STARTS) continue;
    if (canStartAgain) machine.responsesLostSince ??= now;
    release(placement);
  }
}

function updateEmptyState(machine: Machine, now: number): void {
  if (!machine.isEmpty) {
    machine.emptySince = null;
    machine.emptyHeartbeats = 0;
    return;
  }
  machine.emptySince ??= now;
  machine.emptyHeartbeats++;
}
