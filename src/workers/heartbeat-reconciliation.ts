/**
 * What a worker's report proves, and what the worker is told in return. The only commands that start a task are
 * made here, as part of an answer: an answer that comes late is dropped by the worker, so nothing starts late.
 */
import { HEARTBEAT_TIMEOUT_S, type WorkerCommand, type TaskStatus, type Heartbeat } from "../wire/index.js";
import { attach, newPlacement, type Job, type Machine, type Placement } from "./model.js";

/** What taking in a report needs to know of the shard. */
export interface ReconciliationContext {
  jobs: Map<string, Job>;
  now: number;
  /** When this owner's term began. */
  termStartedAt: number;
  /** A worker's lease, with all that may delay its end. */
  leaseMs: number;
  /** Whether a token is one of this owner's term: a worker whose highest it is follows this owner and no other. */
  isTokenOfTerm(token: number): boolean;
  /** Tells of an attempt of ours that came to its end with a result. */
  onAttemptFinished(placement: Placement): void;
  /** Tells of a task that ended on this machine; `done` ones have been added to the job already. */
  onTaskExited(job: Job, index: number, machine: Machine, cause: NonNullable<TaskStatus["cause"]>): void;
}

/** How many answers in a row a session must have ended after, to say that none arrives. */
const REMEMBERED_RESPONSES = 3;
/** Answers stay far under the worker's limit of a line. */
const MAX_COMMANDS = 300;

const taskKey = (t: { job: string; index: number }): string => `${t.job}/${t.index}`;

/** Whether a report is newer than all that were seen from this machine. */
export function isNewerHeartbeat(machine: Machine, report: Heartbeat): boolean {
  return (
    report.epoch > machine.epoch || (report.epoch === machine.epoch && report.sequence > machine.sequence)
  );
}

/** So many answers with a start that left no trace in the next report: answers do not reach the machine. */
const MAX_LOST_STARTS = 3;

/** Takes in a report that is newer than the last one, and returns the commands for the answer. */
export function reconcileHeartbeat(
  machine: Machine,
  report: Heartbeat,
  context: ReconciliationContext,
): WorkerCommand[] {
  const { now } = context;
  updateEpoch(machine, report.epoch, context);
  machine.sequence = report.sequence;
  machine.firstHeartbeatAt ??= now;
  if (!context.isTokenOfTerm(report.highestToken)) return reconcileForeignTerm(machine, report, context);
  machine.lastHeartbeatAt = now;
  machine.leaseExpiredAt = null;
  machine.interruptionNoticeS = report.interruptionNoticeS;
  machine.reportedTasks = report.tasks;
  machine.orphanTasks = new Set();
  machine.followsTerm = true;

  const commands: WorkerCommand[] = [];
  const seen = new Set<Placement>();
  for (const task of report.tasks) {
    const job = context.jobs.get(task.job);
    const placement = job?.active.get(task.index);
    if (job && placement?.machine === machine && placement.attempt === task.attempt) seen.add(placement);
    commands.push(...reconcileTask(machine, task, job, placement, seen, context));
  }
  releaseUnreported(machine, seen, now);
  for (const placement of machine.placements) commands.push(...commandsForPlacement(placement));
  updateEmptiness(machine, context.now);
  return limitCommands(commands);
}

/**
 * As many commands as one answer holds, and stops before all others. Guards against a cancelled task whose lease is renewed
 * by an answer that had no room for its stop.
 */
export function limitCommands(commands: WorkerCommand[]): WorkerCommand[] {
  if (commands.length <= MAX_COMMANDS) return commands;
  const stops = commands.filter(({ op }) => op === "stop");
  const others = commands.filter(({ op }) => op !== "stop");
  return [...stops, ...others].slice(0, MAX_COMMANDS);
}

/**
 * Guards against a late report, or a copy of one, from an earlier owner's time or another shard's: what it shows may
 * have changed since under that owner's commands, so that it shows nothing. Our answer carries our token, and the
 * report that has it tells the truth.
 *
 * It also guards against a machine whose reports arrive and which no answer reaches. A newer report without our token
 * proves that no answer of this term before it was taken. So what ran there when the term began lives on past a lease
 * only if the answer to this very report is taken, and only if it was sent within that lease; the worker drops an
 * answer that takes longer than its time-out. Reports after both say nothing of the lease any more: the machine counts
 * as silent then, however often it speaks, and holds up neither the shard nor a job.
 */
function reconcileForeignTerm(
  machine: Machine,
  report: Heartbeat,
  context: ReconciliationContext,
): WorkerCommand[] {
  const { now, termStartedAt: startedAt, leaseMs } = context;
  if (now - startedAt <= leaseMs + HEARTBEAT_TIMEOUT_S * 1000) machine.lastHeartbeatAt = now;
  return stopsOfEndedJobs(report, context);
}

/**
 * Guards against `ran_cancelled`: the answer renews the worker's lease, so that owners which follow each other within a
 * lease would keep a cancelled task running for as long as each ends before the worker's second report. A stop needs no
 * proof: whatever has happened to the task since the report was made, it must not go on.
 */
function stopsOfEndedJobs(report: Heartbeat, { jobs }: ReconciliationContext): WorkerCommand[] {
  return report.tasks
    .filter((task) => task.state !== "exited" && !isLive(jobs.get(task.job)))
    .map(({ job, index, attempt }) => ({ op: "stop", job, index, attempt, graceS: 0 }));
}

/** Whether a job's tasks may go on, as far as the records are known. */
export const isLive = (job: Job | undefined): job is Job => job !== undefined && !job.terminating;

/**
 * A session ends when no answer has come for a lease. Where answers were given all the while, they do not arrive; the
 * machine takes nothing new until a session has outlived a lease.
 */
function updateEpoch(machine: Machine, session: number, { now, leaseMs }: ReconciliationContext): void {
  if (session > machine.epoch) {
    const oldest = machine.responseTimes[0];
    const unheeded =
      machine.responseTimes.length === REMEMBERED_RESPONSES && oldest !== undefined && now - oldest < leaseMs;
    if (machine.epoch > 0 && unheeded) machine.responsesLostSince ??= now;
    machine.epoch = session;
    machine.epochSince = now;
    machine.responseTimes.length = 0;
  } else if (
    machine.responsesLostSince !== null &&
    now - Math.max(machine.epochSince, machine.responsesLostSince) > leaseMs
  )
    machine.responsesLostSince = null;
}

/** Remembers that an answer goes out now. */
export function recordResponse(machine: Machine, now: number): void {
  machine.responseTimes.push(now);
  if (machine.responseTimes.length > REMEMBERED_RESPONSES) machine.responseTimes.shift();
}

function reconcileTask(
  machine: Machine,
  task: TaskStatus,
  job: Job | undefined,
  placement: Placement | undefined,
  seen: Set<Placement>,
  context: ReconciliationContext,
): WorkerCommand[] {
  const { job: id, index, attempt } = task;
  const stop: WorkerCommand = { op: "stop", job: id, index, attempt, graceS: 0 };
  const ours = placement !== undefined && seen.has(placement);
  if (task.state === "exited")
    return reconcileExitedTask(machine, task, job, ours ? placement : null, context);
  if (ours) {
    if (placement.state !== task.state) placement.stateSince = context.now;
    placement.state = task.state;
    // Only a machine that has run the image surely has it.
    if (task.state === "running") machine.images.add(placement.job.spec.image);
    return [];
  }
  const stray =
    job === undefined || index >= job.spec.tasks || placement !== undefined || job.done.has(index);
  if (stray || job.terminating) {
    machine.orphanTasks.add(taskKey(task));
    return [stop];
  }
  // An earlier owner's attempt that goes on: it is ours from now on.
  const inherited = newPlacement(job, index, attempt, machine, context.now);
  inherited.state = task.state;
  inherited.resumed = true;
  attach(inherited);
  seen.add(inherited);
  if (task.state === "running") machine.images.add(job.spec.image);
  return [];
}

/**
 * A newer report without a task proves it gone. That holds for starts as well: the worker either carried out the
 * answer to its last report before it made this one, or has dropped that answer for good.
 */
function releaseUnreported(machine: Machine, seen: Set<Placement>, now: number): void {
  for (const placement of [...machine.placements]) {
    if (seen.has(placement)) {
      placement.missedHeartbeats = 0;
      continue;
    }
    const startAgain =
      placement.state === "assigned" && !placement.stop && !placement.job.terminating && machine.schedulable;
    // Guards against a task that waits for ever on a machine that hears nothing: this report proves that none of the
    // starts so far was taken, and this answer brings no other.
    if (startAgain && placement.missedHeartbeats++ < MAX_LOST_STARTS) continue;
    if (startAgain) machine.responsesLostSince ??= now;
    release(placement);
  }
}

function commandsForPlacement(placement: Placement): WorkerCommand[] {
  const { job, index, attempt } = placement;
  const task = { job: job.spec.id, index, attempt };
  // Guards against a result that came in by another attempt: a done task must not go on.
  if (job.terminating || job.done.has(index)) return [{ op: "stop", ...task, graceS: 0 }];
  if (placement.state === "assigned") return [{ op: "start", ...task }];
  if (placement.stop !== null && placement.state !== "saving")
    return [{ op: "stop", ...task, graceS: placement.stop.graceS }];
  return [];
}

function updateEmptiness(machine: Machine, now: number): void {
  if (!machine.empty) {
    machine.emptySince = null;
    machine.emptyHeartbeats = 0;
    return;
  }
  machine.emptySince ??= now;
  machine.emptyHeartbeats++;
}

/** A task that has ended: its room is free, and its result is kept by the worker until it is durable. */
function reconcileExitedTask(
  machine: Machine,
  task: TaskStatus,
  job: Job | undefined,
  /** The attempt, if it is one that this owner knows of. */
  placement: Placement | null,
  context: ReconciliationContext,
): WorkerCommand[] {
  const { index, attempt, cause } = task;
  const forget: WorkerCommand = { op: "forget", job: task.job, index, attempt };
  if (placement !== null) release(placement);
  if (placement !== null && cause === "done") context.onAttemptFinished(placement);
  if (job === undefined) return [forget];
  if (cause === "done") {
    // A result counts whichever attempt brought it. It is reaped only once it is durable.
    if (job.markDone(index)) context.onTaskExited(job, index, machine, "done");
    return job.durable.has(index) || job.terminating ? [forget] : [];
  }
  if (placement !== null) context.onTaskExited(job, index, machine, cause ?? "error");
  return [forget];
}

/** The task is proven not to be on its machine any more. */
export function release(placement: Placement): void {
  placement.machine.detach(placement);
  if (placement.state !== "assigned") placement.job.interruptedTasks.add(placement.index);
  placement.job.detach(placement);
}

/** The worker's lease is surely over, or the machine is gone: so is everything that was on it. */
export function releaseAll(machine: Machine): void {
  for (const placement of [...machine.placements]) release(placement);
  machine.orphanTasks = new Set();
  machine.reportedTasks = [];
}
