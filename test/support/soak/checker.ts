/**
 * Checks a soak run against the protocol's rules. It uses only what users and machines observed, on their clock: which
 * task runs on which machine and when, and which responses users received to requests that they had sent when.
 */

/** An event that a user or a machine observed. Times are in milliseconds on one clock. */
export type SoakEvent = { at: number } & (
  | { kind: "started"; task: string; host: string; zone: string }
  | { kind: "ended"; task: string; host: string; cause: string }
  | { kind: "completed"; task: string }
  | { kind: "cancel_asked"; job: string }
  /** A response to a query, submission or cancellation; `askedAt` is when the request was sent. */
  | {
      kind: "told";
      job: string;
      by: string;
      request: "submit" | "look" | "cancel";
      status: number;
      stage: string;
      askedAt: number;
    }
);

/** The properties of a job that the checker needs. */
export interface SoakJob {
  tasks: number;
  team: string;
  cpus: number;
  zone: string | null;
}

/** The limits that a run must keep. */
export interface SoakRules {
  /** The maximum time from the response that confirms a cancellation to the end of the job's tasks. */
  cancelMs: number;
  /** The maximum number of CPUs that each team may use at a time; teams without a limit are left out. */
  cpuLimits: ReadonlyMap<string, number>;
}

/** The violations and the counts of a run. */
export interface SoakFindings {
  /**
   * The violations, each as "rule: details". The rules are:
   * - `invented`: a job or task that no user submitted;
   * - `ran_twice`: a task on two machines at the same time;
   * - `ran_cancelled`: a task that ran for too long after the cancellation of its job was confirmed;
   * - `wrong_place`: a task outside the zone of its job;
   * - `quota`: a team over its limit;
   * - `forgotten`: an accepted job that is unknown or rejected later, or has no final response;
   * - `went_back`: a stage that contradicts the final one, or a cancellation that no user requested;
   * - `not_done`: a job reported as done without all of its tasks;
   * - `nothing_ran`: a run without any task;
   * - `violation`: a lease renewal that a controller rejected in a final check.
   */
  broken: string[];
  startsAfterCancellation: number;
  cancelled: number;
  done: number;
  started: number;
  /** The longest time from a confirmed cancellation to the end of the job's last task. */
  slowestEndMs: number;
}

/** The tolerance for rounding errors in sums of CPUs. */
const CPU_TOLERANCE = 1e-9;
const FINAL_STAGES = new Set(["done", "aborted"]);

const jobOf = (task: string): string => task.slice(0, task.indexOf("/"));

class SoakChecker {
  readonly findings: SoakFindings = {
    broken: [],
    startsAfterCancellation: 0,
    cancelled: 0,
    done: 0,
    started: 0,
    slowestEndMs: 0,
  };
  private readonly reportedLines = new Set<string>();
  private readonly runningOn = new Map<string, { host: string; at: number }>();
  private readonly completedTasks = new Set<string>();
  private readonly jobsWithCancelRequest = new Set<string>();
  private readonly acceptedAt = new Map<string, number>();
  private readonly finalResponses = new Map<string, { stage: string; at: number }>();
  private readonly cpusInUse = new Map<string, number>();

  constructor(
    private readonly jobs: ReadonlyMap<string, SoakJob>,
    private readonly rules: SoakRules,
  ) {}

  check(event: SoakEvent): void {
    switch (event.kind) {
      case "started":
        this.handleStart(event);
        return;
      case "ended":
        this.handleEnd(event.task, event.host, event.at);
        return;
      case "completed":
        this.completedTasks.add(event.task);
        return;
      case "cancel_asked":
        this.jobsWithCancelRequest.add(event.job);
        return;
      case "told":
        this.handleResponse(event);
        return;
    }
  }

  /** Adds a violation unless the same line has been added before. */
  private report(rule: string, details: string): void {
    const line = `${rule}: ${details}`;
    if (this.reportedLines.has(line)) return;
    this.reportedLines.add(line);
    this.findings.broken.push(line);
  }

  private handleStart({ task, host, zone, at }: Extract<SoakEvent, { kind: "started" }>): void {
    this.findings.started++;
    const job = this.jobs.get(jobOf(task));
    if (job === undefined) {
      this.report("invented", task);
      return;
    }
    const other = this.runningOn.get(task);
    if (other !== undefined) this.report("ran_twice", `${task} on ${host} while on ${other.host}`);
    else this.addUsage(job, 1);
    this.runningOn.set(task, { host, at });
    if (job.zone !== null && job.zone !== zone) this.report("wrong_place", `${task} in ${zone}`);
    const cancelledAt = this.cancelledAt(jobOf(task));
    if (cancelledAt === null) return;
    this.findings.startsAfterCancellation++;
    if (at > cancelledAt + this.rules.cancelMs)
      this.report(
        "ran_cancelled",
        `${task} started ${Math.round(at - cancelledAt)} ms after the cancellation`,
      );
  }

  private handleEnd(task: string, host: string, at: number): void {
    const running = this.runningOn.get(task);
    if (running?.host !== host) return;
    this.runningOn.delete(task);
    this.addUsage(this.jobs.get(jobOf(task))!, -1);
    this.checkEnd(task, at);
  }

  /** Checks that a task of a cancelled job, on its machine until now, has ended in time. */
  private checkEnd(task: string, at: number): void {
    const cancelledAt = this.cancelledAt(jobOf(task));
    if (cancelledAt === null) return;
    const tookMs = Math.round(at - cancelledAt);
    this.findings.slowestEndMs = Math.max(this.findings.slowestEndMs, tookMs);
    if (tookMs > this.rules.cancelMs) this.report("ran_cancelled", `${task} ran for another ${tookMs} ms`);
  }

  private addUsage({ team, cpus }: SoakJob, sign: 1 | -1): void {
    const used = (this.cpusInUse.get(team) ?? 0) + sign * cpus;
    this.cpusInUse.set(team, used);
    const limit = this.rules.cpuLimits.get(team) ?? Infinity;
    if (used > limit + CPU_TOLERANCE) this.report("quota", `${team} uses ${used} of ${limit}`);
  }

  private cancelledAt(job: string): number | null {
    const finalResponse = this.finalResponses.get(job);
    return finalResponse?.stage === "aborted" ? finalResponse.at : null;
  }

  private handleResponse(event: Extract<SoakEvent, { kind: "told" }>): void {
    const { job, by, request, status, stage, askedAt, at } = event;
    const acceptedAt = this.acceptedAt.get(job) ?? Infinity;
    if (status === 404 && askedAt > acceptedAt) this.report("forgotten", `${job} gets 404 from ${by}`);
    if ((status === 400 || status === 422) && request === "submit" && askedAt > acceptedAt)
      this.report("forgotten", `${job} gets ${status} from ${by}`);
    if (status !== 200 && status !== 201) return;
    if (!this.jobs.has(job)) {
      this.report("invented", job);
      return;
    }
    if (request === "submit") this.acceptedAt.set(job, Math.min(acceptedAt, at));
    const finalResponse = this.finalResponses.get(job);
    if (
      finalResponse !== undefined &&
      stage !== finalResponse.stage &&
      (FINAL_STAGES.has(stage) || askedAt > finalResponse.at)
    )
      this.report("went_back", `${job} ${finalResponse.stage}, then ${stage} by ${by}`);
    if (finalResponse === undefined && FINAL_STAGES.has(stage)) this.handleFinalStage(job, stage, at);
  }

  private handleFinalStage(job: string, stage: string, at: number): void {
    this.finalResponses.set(job, { stage, at });
    if (stage === "aborted") {
      this.findings.cancelled++;
      if (!this.jobsWithCancelRequest.has(job))
        this.report("went_back", `${job} cancelled without a request`);
      return;
    }
    this.findings.done++;
    const { tasks } = this.jobs.get(job)!;
    for (let i = 0; i < tasks; i++)
      if (!this.completedTasks.has(`${job}/${i}`)) this.report("not_done", `${job} done without ${job}/${i}`);
  }

  /** Checks at the end of the run the tasks that still run and the jobs without a final response. */
  finish(at: number): void {
    for (const task of this.runningOn.keys()) this.checkEnd(task, at);
    for (const job of this.acceptedAt.keys())
      if (!this.finalResponses.has(job)) this.report("forgotten", `${job} has no final response`);
    if (this.findings.started === 0) this.report("nothing_ran", "no task was started");
  }
}

/** Returns the findings for a run that ended at the given time. Events may be in any order. */
export function checkSoak(
  events: readonly SoakEvent[],
  jobs: ReadonlyMap<string, SoakJob>,
  rules: SoakRules,
  endedAt: number,
): SoakFindings {
  const checker = new SoakChecker(jobs, rules);
  for (const event of [...events].sort((a, b) => a.at - b.at)) checker.check(event);
  checker.finish(endedAt);
  return checker.findings;
}
