/**
 * What a worker's report proves, and what the worker is told in return. The only commands that start a task are
 * made here, as part of an answer: an answer that comes late is dropped by the worker, so nothing starts late.
 */
import type { Command, TaskReport, WorkerReport } from "../wire/index.js";
import { attach, type Job, type Machine, type Placement } from "./model.js";

export interface ReportContext {
  jobs: Map<string, Job>;
  now: number;
  /** The token with which this owner's term began: a worker that has seen it follows no earlier owner. */
  termToken: number;
  /** Tells of an attempt of ours that came to its end with a result. */
  finished(placement: Placement): void;
  /** Tells of a task that ended on this machine; `done` ones have been added to the job already. */
  ended(job: Job, index: number, machine: Machine, cause: NonNullable<TaskReport["cause"]>): void;
}

/** Answers stay far under the worker's limit of a line. */
const MAX_COMMANDS = 300;

const taskKey = (t: { job: string; index: number }): string => `${t.job}/${t.index}`;

/** Whether a report is newer than all that were seen from this machine. */
export function isNewer(machine: Machine, report: WorkerReport): boolean {
  return report.session > machine.session || (report.session === machine.session && report.seq > machine.seq);
}

/** Takes in a report that is newer than the last one, and returns the commands for the answer. */
export function applyReport(machine: Machine, report: WorkerReport, context: ReportContext): Command[] {
  machine.session = report.session;
  machine.seq = report.seq;
  machine.lastReportAt = context.now;
  machine.silentSince = null;
  machine.noticeS = report.noticeS;
  machine.reported = report.tasks;
  machine.orphans = new Set();
  // Guards against a late report from an earlier owner's time: what it shows may have changed since, under that
  // owner's commands. Our answer carries the new token, and the report that shows it tells the truth.
  if (report.token < context.termToken) return [];
  machine.heard = true;

  const commands: Command[] = [];
  const seen = new Set<Placement>();
  for (const task of report.tasks) {
    const job = context.jobs.get(task.job);
    const placement = job?.active.get(task.index);
    if (job && placement?.machine === machine && placement.attempt === task.attempt) seen.add(placement);
    commands.push(...answerTask(machine, task, job, placement, seen, context));
  }
  dropUnseen(machine, seen);
  for (const placement of machine.placements) commands.push(...commandsFor(placement));
  noteEmptiness(machine, context.now);
  return commands.slice(0, MAX_COMMANDS);
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
  const forget: Command = { op: "forget", job: id, index, attempt };
  const stop: Command = { op: "stop", job: id, index, attempt, graceS: 0 };
  const ours = placement !== undefined && seen.has(placement);
  if (task.state === "exited") {
    if (ours) release(placement);
    if (ours && task.cause === "done") context.finished(placement);
    if (job === undefined) return [forget];
    if (task.cause === "done") {
      // A result counts whichever attempt brought it. It is reaped only once it is durable.
      if (job.markDone(index)) context.ended(job, index, machine, "done");
      return job.durable.has(index) || job.closing ? [forget] : [];
    }
    if (ours) context.ended(job, index, machine, task.cause ?? "error");
    return [forget];
  }
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
  const adopted: Placement = {
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
  attach(adopted);
  seen.add(adopted);
  if (task.state === "running") machine.images.add(job.spec.image);
  return [];
}

/**
 * A newer report without a task proves it gone. That holds for starts as well: the worker either carried out the
 * answer to its last report before it made this one, or has dropped that answer for good.
 */
function dropUnseen(machine: Machine, seen: Set<Placement>): void {
  for (const placement of [...machine.placements]) {
    if (seen.has(placement)) continue;
    const startAgain =
      placement.state === "assigned" && !placement.stop && !placement.job.closing && machine.usable;
    if (!startAgain) release(placement);
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
