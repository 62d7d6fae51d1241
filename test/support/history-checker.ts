/**
 * Checks what users, workers, the cloud and the state service saw of a run: every accepted job gets one final answer, a
 * task is repeated only where it may be, and nothing is done that was not recorded before.
 */

/** One thing that somebody saw, in the order in which it happened. */
export type HistoryEvent =
  /** A key of the state service was written or removed. */
  | { kind: "recorded"; key: string; value: unknown }
  | { kind: "removed"; key: string }
  /** A user was told how a job stands. */
  | { kind: "told"; job: string; stage: string; by: string }
  | { kind: "cancel_asked"; job: string }
  | { kind: "started"; piece: string; host: string }
  /** A worker ended an attempt: done, failed, stopped by command, or lost with its lease or machine. */
  | { kind: "ended"; piece: string; host: string; cause: "done" | "error" | "halted" | "lost" }
  | { kind: "rented"; order: string }
  | { kind: "returned"; host: string };

/** What the checker has to know of the jobs. */
export interface CheckedJob {
  tasks: number;
  /** Whether its tasks may be stopped for other work and begun again: its rank is not the highest of all. */
  stoppable: boolean;
}

interface TaskHistory {
  runningOn: string | null;
  done: boolean;
  lastCause: string | null;
}

const FINAL = ["done", "aborted"];

const JOBS = "fernpond/live/jobs/";
const ENDED = "fernpond/ended/";
const ORDERS = "fernpond/live/orders/";
const MACHINES = "fernpond/live/machines/";

class Checker {
  readonly faults: string[] = [];
  private readonly recordedJobs = new Set<string>();
  private readonly endedJobs = new Map<string, string>();
  private readonly orders = new Set<string>();
  private readonly leaving = new Map<string, boolean>();
  private readonly final = new Map<string, string>();
  private readonly accepted = new Set<string>();
  private readonly cancelAsked = new Set<string>();
  private readonly tasks = new Map<string, TaskHistory>();

  constructor(private readonly jobs: ReadonlyMap<string, CheckedJob>) {}

  take(event: HistoryEvent): void {
    switch (event.kind) {
      case "recorded":
        this.recorded(event.key, event.value);
        return;
      case "removed":
        return;
      case "cancel_asked":
        this.cancelAsked.add(event.job);
        return;
      case "told":
        this.told(event.job, event.stage, event.by);
        return;
      case "started":
        this.started(event.piece, event.host);
        return;
      case "ended":
        this.ended(event.piece, event.host, event.cause);
        return;
      case "rented":
        if (!this.orders.has(event.order)) this.faults.push(`rented without a record: ${event.order}`);
        return;
      case "returned":
        if (this.leaving.get(event.host) === false)
          this.faults.push(`returned without a record: ${event.host}`);
        return;
    }
  }

  private recorded(key: string, value: unknown): void {
    if (key.startsWith(JOBS)) this.recordedJobs.add(key.slice(JOBS.length));
    if (key.startsWith(ENDED)) this.jobEnded(key.slice(ENDED.length), (value as { stage: string }).stage);
    if (key.startsWith(ORDERS)) this.orders.add(key.slice(ORDERS.length));
    if (key.startsWith(MACHINES))
      for (const [host, stage] of Object.entries((value as { machines: Record<string, string> }).machines))
        this.leaving.set(host, stage === "leaving");
  }

  private jobEnded(job: string, stage: string): void {
    const before = this.endedJobs.get(job);
    if (before !== undefined && before !== stage)
      this.faults.push(`recorded as ${before} and ${stage}: ${job}`);
    this.endedJobs.set(job, stage);
  }

  private told(job: string, stage: string, by: string): void {
    if (!this.recordedJobs.has(job)) this.faults.push(`accepted without a record: ${job}`);
    this.accepted.add(job);
    const before = this.final.get(job);
    if (before !== undefined && stage !== before)
      this.faults.push(`told ${stage} by ${by} after ${before}: ${job}`);
    if (!FINAL.includes(stage)) return;
    const recorded = this.endedJobs.get(job);
    if (recorded !== (stage === "done" ? "done" : "cancelled"))
      this.faults.push(`told ${stage} while recorded as ${recorded ?? "unfinished"}: ${job}`);
    if (stage === "aborted" && !this.cancelAsked.has(job)) this.faults.push(`cancelled by nobody: ${job}`);
    if (stage === "done" && this.doneTasks(job) < (this.jobs.get(job)?.tasks ?? 0))
      this.faults.push(`told done before all tasks were: ${job}`);
    this.final.set(job, stage);
  }

  private started(piece: string, host: string): void {
    const job = jobOf(piece);
    const task = this.taskOf(piece);
    if (!this.recordedJobs.has(job)) this.faults.push(`started without a record: ${piece}`);
    if (task.runningOn !== null && task.runningOn !== host)
      this.faults.push(`started on ${host} while on ${task.runningOn}: ${piece}`);
    if (this.endedJobs.get(job) === "done") this.faults.push(`started after its job was done: ${piece}`);
    const stopped = task.lastCause === "halted" && !this.cancelAsked.has(job);
    if (stopped && this.jobs.get(job)?.stoppable === false)
      this.faults.push(`repeated after it was stopped: ${piece}`);
    task.runningOn = host;
  }

  private ended(piece: string, host: string, cause: string): void {
    const task = this.taskOf(piece);
    if (task.runningOn === host) task.runningOn = null;
    task.lastCause = cause;
    if (cause === "done") task.done = true;
  }

  private taskOf(piece: string): TaskHistory {
    const known = this.tasks.get(piece);
    if (known !== undefined) return known;
    const task = { runningOn: null, done: false, lastCause: null };
    this.tasks.set(piece, task);
    return task;
  }

  private doneTasks(job: string): number {
    let count = 0;
    for (const [piece, { done }] of this.tasks) if (done && jobOf(piece) === job) count++;
    return count;
  }

  /** What is still missing once the run is over. */
  finish(): void {
    for (const job of this.accepted) if (!this.final.has(job)) this.faults.push(`no final answer: ${job}`);
  }
}

const jobOf = (piece: string): string => piece.slice(0, piece.indexOf("/"));

/** What is wrong with a history of a run that has ended; empty where nothing is. */
export function checkHistory(
  events: Iterable<HistoryEvent>,
  jobs: ReadonlyMap<string, CheckedJob>,
): string[] {
  const checker = new Checker(jobs);
  for (const event of events) checker.take(event);
  checker.finish();
  return checker.faults;
}
