/**
 * Checks a soak run against the protocol's rules, from what users and machines saw and on their clock: what is on which
 * machine from when to when, and what users were told, in answer to what they had asked when.
 */

/** Something that a user or a machine saw. Times are in milliseconds of one clock. */
export type SoakEvent = { at: number } & (
  | { kind: "started"; task: string; host: string; zone: string }
  | { kind: "ended"; task: string; host: string; cause: string }
  | { kind: "completed"; task: string }
  | { kind: "cancel_asked"; job: string }
  /** An answer to a question, a submission or a cancellation, and when that was sent. */
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

/** What the checker has to know of a job. */
export interface SoakJob {
  tasks: number;
  team: string;
  cpus: number;
  zone: string | null;
}

export interface SoakRules {
  cancelMs: number;
  /** What each team may use at a time; teams without a limit are not named. */
  limits: ReadonlyMap<string, number>;
}

export interface SoakFindings {
  broken: string[];
  startsAfterCancellation: number;
  cancelled: number;
  done: number;
  started: number;
  /** The longest time from a confirmed cancellation to the end of its last task. */
  slowestEndMs: number;
}

const EPSILON = 1e-9;
const FINAL = new Set(["done", "aborted"]);

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
  private readonly seen = new Set<string>();
  private readonly runningOn = new Map<string, { host: string; at: number }>();
  private readonly completed = new Set<string>();
  private readonly cancelAsked = new Set<string>();
  private readonly acceptedAt = new Map<string, number>();
  private readonly final = new Map<string, { stage: string; at: number }>();
  private readonly usage = new Map<string, number>();

  constructor(
    private readonly jobs: ReadonlyMap<string, SoakJob>,
    private readonly rules: SoakRules,
  ) {}

  take(event: SoakEvent): void {
    switch (event.kind) {
      case "started":
        this.started(event);
        return;
      case "ended":
        this.ended(event.task, event.host, event.at);
        return;
      case "completed":
        this.completed.add(event.task);
        return;
      case "cancel_asked":
        this.cancelAsked.add(event.job);
        return;
      case "told":
        this.told(event);
        return;
    }
  }

  /** Each break is told once for a job or task. */
  private note(rule: string, what: string): void {
    const line = `${rule}: ${what}`;
    if (this.seen.has(line)) return;
    this.seen.add(line);
    this.findings.broken.push(line);
  }

  private started({ task, host, zone, at }: Extract<SoakEvent, { kind: "started" }>): void {
    this.findings.started++;
    const job = this.jobs.get(jobOf(task));
    if (job === undefined) {
      this.note("invented", task);
      return;
    }
    const other = this.runningOn.get(task);
    if (other !== undefined) this.note("ran_twice", `${task} on ${host} while on ${other.host}`);
    else this.use(job, 1);
    this.runningOn.set(task, { host, at });
    if (job.zone !== null && job.zone !== zone) this.note("wrong_place", `${task} in ${zone}`);
    const cancelledAt = this.cancelledAt(jobOf(task));
    if (cancelledAt === null) return;
    this.findings.startsAfterCancellation++;
    if (at > cancelledAt + this.rules.cancelMs)
      this.note("ran_cancelled", `${task} started ${Math.round(at - cancelledAt)} ms after`);
  }

  private ended(task: string, host: string, at: number): void {
    const running = this.runningOn.get(task);
    if (running?.host !== host) return;
    this.runningOn.delete(task);
    this.use(this.jobs.get(jobOf(task))!, -1);
    this.checkEnd(task, at);
  }

  /** A task of a cancelled job was on its machine until now. */
  private checkEnd(task: string, at: number): void {
    const cancelledAt = this.cancelledAt(jobOf(task));
    if (cancelledAt === null) return;
    const tookMs = Math.round(at - cancelledAt);
    this.findings.slowestEndMs = Math.max(this.findings.slowestEndMs, tookMs);
    if (tookMs > this.rules.cancelMs) this.note("ran_cancelled", `${task} went on for ${tookMs} ms`);
  }

  private use({ team, cpus }: SoakJob, sign: 1 | -1): void {
    const used = (this.usage.get(team) ?? 0) + sign * cpus;
    this.usage.set(team, used);
    const limit = this.rules.limits.get(team) ?? Infinity;
    if (used > limit + EPSILON) this.note("quota", `${team} uses ${used} of ${limit}`);
  }

  private cancelledAt(job: string): number | null {
    const final = this.final.get(job);
    return final?.stage === "aborted" ? final.at : null;
  }

  private told(event: Extract<SoakEvent, { kind: "told" }>): void {
    const { job, by, request, status, stage, askedAt, at } = event;
    const acceptedAt = this.acceptedAt.get(job) ?? Infinity;
    if (status === 404 && askedAt > acceptedAt) this.note("forgotten", `${job} gets 404 from ${by}`);
    if ((status === 400 || status === 422) && request === "submit" && askedAt > acceptedAt)
      this.note("forgotten", `${job} gets ${status} from ${by}`);
    if (status !== 200 && status !== 201) return;
    if (!this.jobs.has(job)) {
      this.note("invented", job);
      return;
    }
    if (request === "submit") this.acceptedAt.set(job, Math.min(acceptedAt, at));
    const final = this.final.get(job);
    if (final !== undefined && stage !== final.stage && (FINAL.has(stage) || askedAt > final.at))
      this.note("went_back", `${job} ${final.stage}, then ${stage} by ${by}`);
    if (final === undefined && FINAL.has(stage)) this.ends(job, stage, at);
  }

  private ends(job: string, stage: string, at: number): void {
    this.final.set(job, { stage, at });
    if (stage === "aborted") {
      this.findings.cancelled++;
      if (!this.cancelAsked.has(job)) this.note("went_back", `${job} cancelled by nobody`);
      return;
    }
    this.findings.done++;
    const { tasks } = this.jobs.get(job)!;
    for (let i = 0; i < tasks; i++)
      if (!this.completed.has(`${job}/${i}`)) this.note("not_done", `${job} without ${job}/${i}`);
  }

  /** What is still on a machine, and who was never given a final answer, when the run ends. */
  finish(at: number): void {
    for (const task of this.runningOn.keys()) this.checkEnd(task, at);
    for (const job of this.acceptedAt.keys())
      if (!this.final.has(job)) this.note("forgotten", `${job} has no final answer`);
    if (this.findings.started === 0) this.note("nothing_ran", "no task was started");
  }
}

/** What is to be said of a run that ended at a moment. Events may come in any order. */
export function checkSoak(
  events: readonly SoakEvent[],
  jobs: ReadonlyMap<string, SoakJob>,
  rules: SoakRules,
  endedAt: number,
): SoakFindings {
  const checker = new SoakChecker(jobs, rules);
  for (const event of [...events].sort((a, b) => a.at - b.at)) checker.take(event);
  checker.finish(endedAt);
  return checker.findings;
}
