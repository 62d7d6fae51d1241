/**
 * What a worker's report proves, and what the worker is told in return. The only commands that start a task are
 * made here, as part of an answer: an answer that comes late is dropped by the worker, so nothing starts late.
 */
import { REPORT_TIMEOUT_S, type Command, type TaskReport, type WorkerReport } from "../wire/index.js";
import { attach, type Job, type Machine, type Placement } from "./model.js";

/** What taking in a report needs to know of the shard. */
export interface ReportContext {
  jobs: Map<string, Job>;
  now: number;
  /** When this owner's term began. */
  startedAt: number;
  /** A worker's lease, with all that may delay its end. */
  leaseMs: number;
  /** Whether a token is one of this owner's term: a worker whose highest it is follows this owner and no other. */
  ofTerm(token: number): boolean;
  /** Tells of an attempt of ours that came to its end with a result. */
  finished(placement: Placement): void;
  /** Tells of a task that ended on this machine; `done` ones have been added to the job already. */
  ended(job: Job, index: number, machine: Machine, cause: NonNullable<TaskReport["cause"]>): void;
}

/** How many answers in a row a session must have ended after, to say that none arrives. */
const REMEMBERED_ANSWERS = 3;
/** Answers stay far under the worker's limit of a line. */
const MAX_COMMANDS = 300;

const taskKey = (t: { job: string; index: number }): string => `${t.job}/${t.index}`;

/** Whether a report is newer than all that were seen from this machine. */
export function isNewer(machine: Machine, report: WorkerReport): boolean {
  return report.session > machine.session || (report.session === machine.session && report.seq > machine.seq);
}

/** So many answers with a start that left no trace in the next report: answers do not reach the machine. */
const LOST_ANSWERS = 3;

/** Takes in a report that is newer than the last one, and returns the commands for the answer. */
export function applyReport(machine: Machine, report: WorkerReport, context: ReportContext): Command[] {
  const { now } = context;
  noteSession(machine, report.session, context);
  machine.seq = report.seq;
  machine.spokeAt ??= now;
  if (!context.ofTerm(report.token)) return takeUnfollowed(machine, report, context);
  machine.lastReportAt = now;
  machine.silentSince = null;
  machine.noticeS = report.noticeS;
  machine.reported = report.tasks;
  machine.orphans = new Set();
  machine.heard = true;

  const commands: Command[] = [];
  const seen = new Set<Placement>();
  for (const task of report.tasks) {
    const job = context.jobs.get(task.job);
    const placement = job?.active.get(task.index);
    if (job && placement?.machine === machine && placement.attempt === task.attempt) seen.add(placement);
    commands.push(...answerTask(machine, task, job, placement, seen, context));
  }
  dropUnseen(machine, seen, now);
  for (const placement of machine.placements) commands.push(...commandsFor(placement));
  noteEmptiness(machine, context.now);
  return withinLimit(commands);
}

/**
 * As many commands as one answer holds, and stops before all others. Guards against a cancelled task whose lease is renewed
 * by an answer that had no room for its stop.
 */
export function withinLimit(commands: Command[]): Command[] {
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
function takeUnfollowed(machine: Machine, report: WorkerReport, context: ReportContext): Command[] {
  const { now, startedAt, leaseMs } = context;
  if (now - startedAt <= leaseMs + REPORT_TIMEOUT_S * 1000) machine.lastReportAt = now;
  return stopsOfEndedJobs(report, context);
}

/**
 * Guards against `ran_cancelled`: the answer renews the worker's lease, so that owners which follow each other within a
 * lease would keep a cancelled task running for as long as each ends before the worker's second report. A stop needs no
 * proof: whatever has happened to the task since the report was made, it must not go on.
 */
function stopsOfEndedJobs(report: WorkerReport, { jobs }: ReportContext): Command[] {
  return report.tasks
    .filter((task) => task.state !== "exited" && !isLive(jobs.get(task.job)))
    .map(({ job, index, attempt }) => ({ op: "stop", job, index, attempt, graceS: 0 }));
}

/** Whether a job's tasks may go on, as far as the records are known. */
export const isLive = (job: Job | undefined): job is Job => job !== undefined && !job.closing;

/**
 * A session ends when no answer has come for a lease. Where answers were given all the while, they do not arrive; the
 * machine takes nothing new until a session has outlived a lease.
 */
function noteSession(machine: Machine, session: number, { now, leaseMs }: ReportContext): void {
  if (session > machine.session) {
    const oldest = machine.answers[0];
    const unheeded =
      machine.answers.length === REMEMBERED_ANSWERS && oldest !== undefined && now - oldest < leaseMs;
    if (machine.session > 0 && unheeded) machine.responsesLostSince ??= now;
    machine.session = session;
    machine.sessionSince = now;
    machine.answers.length = 0;
  } else if (
    machine.responsesLostSince !== null &&
    now - Math.max(machine.sessionSince, machine.responsesLostSince) > leaseMs
  )
    machine.responsesLostSince = null;
}

/** Remembers that an answer goes out now. */
export function noteAnswer(machine: Machine, now: number): void {
  machine.answers.push(now);
  if (machine.answers.length > REMEMBERED_ANSWERS) machine.answers.shift();
}

function answerTask(
  machine: Machine,
  task: TaskReport,
  job: Job | undefined,
  placement: Placement | undefined,
  seen: Set<Placement>,
  context: ReportContext,
): Command[] {
  const { job: id, index, attempt } = task;
  const stop: Command = { op: "stop", job: id, index, attempt, graceS: 0 };
  const ours = placement !== undefined && seen.has(placement);
  if (task.state === "exited") return answerExited(machine, task, job, ours ? placement : null, context);
  if (ours) {
    if (placement.state !== task.state) placement.since = context.now;
    placement.state = task.state;
    // Only a machine that has run the image surely has it.
    if (task.state === "running") machine.images.add(placement.job.spec.image);
    return [];
  }
  const stray =
    job === undefined || index >= job.spec.tasks || placement !== undefined || job.done.has(index);
  if (stray || job.closing) {
    machine.orphans.add(taskKey(task));
    return [stop];
  }
  // An earlier owner's attempt that goes on: it is ours from now on.
  const takenOver: Placement = {
    job,
    index,
    attempt,
    machine,
    state: task.state,
    since: context.now,
    stop: null,
    resumed: true,
    unseen: 0,
  };
  attach(takenOver);
  seen.add(takenOver);
  if (task.state === "running") machine.images.add(job.spec.image);
  return [];
}

/**
 * A newer report without a task proves it gone. That holds for starts as well: the worker either carried out the
 * answer to its last report before it made this one, or has dropped that answer for good.
 */
function dropUnseen(machine: Machine, seen: Set<Placement>, now: number): void {
  for (const placement of [...machine.placements]) {
    if (seen.has(placement)) {
      placement.unseen = 0;
      continue;
    }
    const startAgain =
      placement.state === "assigned" && !placement.stop && !placement.job.closing && machine.usable;
    // Guards against a task that waits for ever on a machine that hears nothing: this report proves that none of the
    // starts so far was taken, and this answer brings no other.
    if (startAgain && placement.unseen++ < LOST_ANSWERS) continue;
    if (startAgain) machine.responsesLostSince ??= now;
    release(placement);
  }
}

function commandsFor(placement: Placement): Command[] {
  const { job, index, attempt } = placement;
  const task = { job: job.spec.id, index, attempt };
  // Guards against a result that came in by another attempt: a done task must not go on.
  if (job.closing || job.done.has(index)) return [{ op: "stop", ...task, graceS: 0 }];
  if (placement.state === "assigned") return [{ op: "start", ...task }];
  if (placement.stop !== null && placement.state !== "saving")
    return [{ op: "stop", ...task, graceS: placement.stop.graceS }];
  return [];
}

function noteEmptiness(machine: Machine, now: number): void {
  if (!machine.empty) {
    machine.emptySince = null;
    machine.emptyReports = 0;
    return;
  }
  machine.emptySince ??= now;
  machine.emptyReports++;
}

/** A task that has ended: its room is free, and its result is kept by the worker until it is durable. */
function answerExited(
  machine: Machine,
  task: TaskReport,
  job: Job | undefined,
  /** The attempt, if it is one that this owner knows of. */
  placement: Placement | null,
  context: ReportContext,
): Command[] {
  const { index, attempt, cause } = task;
  const forget: Command = { op: "forget", job: task.job, index, attempt };
  if (placement !== null) release(placement);
  if (placement !== null && cause === "done") context.finished(placement);
  if (job === undefined) return [forget];
  if (cause === "done") {
    // A result counts whichever attempt brought it. It is reaped only once it is durable.
    if (job.markDone(index)) context.ended(job, index, machine, "done");
    return job.durable.has(index) || job.closing ? [forget] : [];
  }
  if (placement !== null) context.ended(job, index, machine, cause ?? "error");
  return [forget];
}

/** The task is proven not to be on its machine any more. */
export function release(placement: Placement): void {
  placement.machine.detach(placement);
  if (placement.state !== "assigned") placement.job.stopped.add(placement.index);
  placement.job.detach(placement);
}

/** The worker's lease is surely over, or the machine is gone: so is everything that was on it. */
export function releaseAll(machine: Machine): void {
  for (const placement of [...machine.placements]) release(placement);
  machine.orphans = new Set();
  machine.reported = [];
}
