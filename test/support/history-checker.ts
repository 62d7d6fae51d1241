/**
 * Checks the history of a run as users, workers, the cloud and the state service observed it: every accepted job gets
 * exactly one final response, a task is restarted only where the rules allow it, and no action precedes its record.
 */

/** One observed event; a history lists events in the order in which they happened. */
export type HistoryEvent =
  /** A key of the state service was written or removed. */
  | { kind: "recorded"; key: string; value: unknown }
  | { kind: "removed"; key: string }
  /** A controller, `by`, responded to a user with the stage of a job. */
  | { kind: "told"; job: string; stage: string; by: string }
  | { kind: "cancel_asked"; job: string }
  | { kind: "started"; task: string; host: string }
  /** An attempt ended on a worker: completed, failed, stopped by a command, or lost with its lease or machine. */
  | { kind: "ended"; task: string; host: string; cause: "done" | "error" | "halted" | "lost" }
  | { kind: "rented"; order: string }
  | { kind: "returned"; host: string };

/** The properties of a job that the checker needs. */
export interface CheckedJob {
  tasks: number;
  /** Whether its tasks may be preempted and restarted: true for all ranks but the highest. */
  isPreemptible: boolean;
}

interface TaskHistory {
  runningOn: string | null;
  isDone: boolean;
  lastCause: string | null;
}

const FINAL_STAGES = ["done", "aborted"];

const JOB_PREFIX = "fernpond/live/jobs/";
const ENDED_JOB_PREFIX = "fernpond/ended/";
const ORDER_PREFIX = "fernpond/live/orders/";
const MACHINE_PREFIX = "fernpond/live/machines/";

class Checker {
  readonly faults: string[] = [];
  private readonly recordedJobs = new Set<string>();
  private readonly finalRecordStages = new Map<string, string>();
  private readonly recordedOrders = new Set<string>();
  private readonly isLeavingByHost = new Map<string, boolean>();
  private readonly finalResponseStages = new Map<string, string>();
  private readonly acceptedJobs = new Set<string>();
  private readonly jobsWithCancelRequest = new Set<string>();
  private readonly tasks = new Map<string, TaskHistory>();

  constructor(private readonly jobs: ReadonlyMap<string, CheckedJob>) {}

  check(event: HistoryEvent): void {
    switch (event.kind) {
      case "recorded":
        this.handleRecordWrite(event.key, event.value);
        return;
      case "removed":
        return;
      case "cancel_asked":
        this.jobsWithCancelRequest.add(event.job);
        return;
      case "told":
        this.handleResponse(event.job, event.stage, event.by);
        return;
      case "started":
        this.handleStart(event.task, event.host);
        return;
      case "ended":
        this.handleEnd(event.task, event.host, event.cause);
        return;
      case "rented":
        if (!this.recordedOrders.has(event.order))
          this.faults.push(`rented without a recorded order: ${event.order}`);
        return;
      case "returned":
        if (this.isLeavingByHost.get(event.host) === false)
          this.faults.push(`returned without being recorded as leaving: ${event.host}`);
        return;
    }
  }

  private handleRecordWrite(key: string, value: unknown): void {
    if (key.startsWith(JOB_PREFIX)) this.recordedJobs.add(key.slice(JOB_PREFIX.length));
    if (key.startsWith(ENDED_JOB_PREFIX))
      this.handleFinalRecord(key.slice(ENDED_JOB_PREFIX.length), (value as { stage: string }).stage);
    if (key.startsWith(ORDER_PREFIX)) this.recordedOrders.add(key.slice(ORDER_PREFIX.length));
    if (key.startsWith(MACHINE_PREFIX))
      for (const [host, stage] of Object.entries((value as { machines: Record<string, string> }).machines))
        this.isLeavingByHost.set(host, stage === "leaving");
  }

  private handleFinalRecord(job: string, stage: string): void {
    const previousStage = this.finalRecordStages.get(job);
    if (previousStage !== undefined && previousStage !== stage)
      this.faults.push(`recorded as ${previousStage} and ${stage}: ${job}`);
    this.finalRecordStages.set(job, stage);
  }

  private handleResponse(job: string, stage: string, by: string): void {
    if (!this.recordedJobs.has(job)) this.faults.push(`accepted without a recorded job: ${job}`);
    this.acceptedJobs.add(job);
    const previousStage = this.finalResponseStages.get(job);
    if (previousStage !== undefined && stage !== previousStage)
      this.faults.push(`response ${stage} from ${by} after final response ${previousStage}: ${job}`);
    if (!FINAL_STAGES.includes(stage)) return;
    const recordedStage = this.finalRecordStages.get(job);
    if (recordedStage !== (stage === "done" ? "done" : "cancelled"))
      this.faults.push(`response ${stage} while recorded as ${recordedStage ?? "unfinished"}: ${job}`);
    if (stage === "aborted" && !this.jobsWithCancelRequest.has(job))
      this.faults.push(`cancelled without a request: ${job}`);
    if (stage === "done" && this.doneTaskCount(job) < (this.jobs.get(job)?.tasks ?? 0))
      this.faults.push(`response done before all tasks completed: ${job}`);
    this.finalResponseStages.set(job, stage);
  }

  private handleStart(task: string, host: string): void {
    const job = jobOf(task);
    const history = this.historyOf(task);
    if (!this.recordedJobs.has(job)) this.faults.push(`started without a recorded job: ${task}`);
    if (history.runningOn !== null && history.runningOn !== host)
      this.faults.push(`started on ${host} while running on ${history.runningOn}: ${task}`);
    if (this.finalRecordStages.get(job) === "done")
      this.faults.push(`started after its job was done: ${task}`);
    const isPreempted = history.lastCause === "halted" && !this.jobsWithCancelRequest.has(job);
    if (isPreempted && this.jobs.get(job)?.isPreemptible === false)
      this.faults.push(`restarted after preemption that its rank rules out: ${task}`);
    history.runningOn = host;
  }

  private handleEnd(task: string, host: string, cause: string): void {
    const history = this.historyOf(task);
    if (history.runningOn === host) history.runningOn = null;
    history.lastCause = cause;
    if (cause === "done") history.isDone = true;
  }

  private historyOf(task: string): TaskHistory {
    const existing = this.tasks.get(task);
    if (existing !== undefined) return existing;
    const history = { runningOn: null, isDone: false, lastCause: null };
    this.tasks.set(task, history);
    return history;
  }

  private doneTaskCount(job: string): number {
    let count = 0;
    for (const [task, { isDone }] of this.tasks) if (isDone && jobOf(task) === job) count++;
    return count;
  }

  /** Checks at the end of the run that every accepted job has had a final response. */
  finish(): void {
    for (const job of this.acceptedJobs)
      if (!this.finalResponseStages.has(job)) this.faults.push(`no final response: ${job}`);
  }
}

const jobOf = (task: string): string => task.slice(0, task.indexOf("/"));

/** Returns the faults in the history of a finished run; empty if there are none. */
export function checkHistory(
  events: Iterable<HistoryEvent>,
  jobs: ReadonlyMap<string, CheckedJob>,
): string[] {
  const checker = new Checker(jobs);
  for (const event of events) checker.check(event);
  checker.finish();
  return checker.faults;
}
