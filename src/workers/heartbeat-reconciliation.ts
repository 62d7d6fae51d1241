/**
 * What a worker's heartbeat proves, and the commands for the response. Commands that start a task are made only as part
 * of a response: the worker drops a response that comes late, so that nothing starts late.
 */
import { HEARTBEAT_TIMEOUT_S, type Heartbeat, type WorkerCommand } from "../wire/index.js";
import { isLive } from "./job.js";
import { updateEpoch } from "./lost-responses.js";
import type { Machine } from "./machine.js";
import { release, type Placement } from "./placement.js";
import { reconcileTask, type TaskReconciliationContext } from "./task-reconciliation.js";
import { commandFor, limitCommands } from "./worker-commands.js";

/** After so many responses whose start left no trace in the next heartbeat, responses do not reach the machine. */
const MAX_LOST_STARTS = 3;

/** What reconciliation needs to know of the shard, and whom it notifies. */
export interface ReconciliationContext extends TaskReconciliationContext {
  /** When this owner's term began; steady time in milliseconds. */
  readonly termStartedAt: number;
  /** The longest that a worker's lease may last after a heartbeat, with all that may delay its end. */
  readonly leaseMs: number;
  /** Whether a token is one of this owner's term: a worker whose highest token it is follows this owner alone. */
  isTokenOfTerm(token: number): boolean;
}

/** Whether a heartbeat is newer than all that were reconciled for this machine. */
export function isNewerHeartbeat(machine: Machine, { epoch, sequence }: Heartbeat): boolean {
  return epoch > machine.epoch || (epoch === machine.epoch && sequence > machine.sequence);
}

/** Reconciles a heartbeat that is newer than the last one, and returns the commands for the response. */
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
  machine.reportedTasks = heartbeat.tasks;
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
  // The response is limited once more when starts have been added; the caller counts the stops of this result as sent.
  return limitCommands(commands);
}

/**
 * Guards against a late heartbeat, or a copy of one, from an earlier owner's time or another shard's: what it shows may
 * have changed since by that owner's commands, so that it proves nothing. The response carries this owner's token, and
 * the heartbeat that shows this token is current.
 *
 * It also guards against a machine whose heartbeats arrive and which no response reaches. A newer heartbeat without a
 * token of this term proves that no response of this term before it was received. So what ran there when the term began
 * outlives a lease only if the response to this very heartbeat is received, and only if it was sent within that lease;
 * the worker drops a response that takes longer than its time-out. Heartbeats after both say nothing of the lease any
 * more: the lease expires then, however many heartbeats come, and holds up neither the shard nor a job.
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
 * Guards against `ran_cancelled`: the response renews the worker's lease, so that owners which follow each other within
 * a lease would keep a cancelled task running for as long as each ends before the worker's second heartbeat. A stop
 * needs no proof: whatever has happened to the task since the heartbeat was sent, it must not go on.
 */
function stopCommandsForEndedJobs(heartbeat: Heartbeat, { jobs }: ReconciliationContext): WorkerCommand[] {
  return heartbeat.tasks
    .filter((task) => task.state !== "exited" && !isLive(jobs.get(task.job)))
    .map(({ job, index, attempt }) => ({ op: "stop", job, index, attempt, graceS: 0 }));
}

/**
 * A newer heartbeat without a task proves it gone. That holds for starts as well: the worker either carried out the
 * response to its last heartbeat before it sent this one, or has dropped that response for good.
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
    // Guards against a task that waits for ever on a machine that no response reaches: this heartbeat proves that none
    // of the starts so far was received, and this response brings no other.
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
