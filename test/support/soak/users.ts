/** The users of a soak run. They submit, query, resubmit and cancel jobs at random controllers until each job ends. */
import { sleep } from "../../../src/runtime/sleep.js";
import { submission, type Answer, type Cluster } from "../cluster.js";
import { CONTROLLERS, type SeededRandom, type PlannedJob } from "./plan.js";
import type { SoakRecorder } from "./recorder.js";

const QUERY_INTERVAL_MS = 1500;
const RETRY_DELAY_MS = 1000;
const QUERY_TIMEOUT_MS = 2000;
const SUBMIT_TIMEOUT_MS = 5000;
/** The share of queries that are replaced by a repeated submission. */
const RESUBMIT_SHARE = 0.15;
/** The share of queries that are preceded by a query for a job that nobody submitted. */
const UNKNOWN_JOB_SHARE = 0.03;

type RequestKind = "submit" | "look" | "cancel";

/** Sends the users' requests and records the responses. */
export class SoakUsers {
  private readonly acceptedJobs = new Set<string>();
  private readonly endedJobs = new Set<string>();
  private isStopped = false;

  constructor(
    private readonly cluster: Cluster,
    private readonly recorder: SoakRecorder,
    private readonly random: SeededRandom,
  ) {}

  /** The ids of accepted jobs without a final response. */
  get openJobs(): string[] {
    return [...this.acceptedJobs].filter((id) => !this.endedJobs.has(id));
  }

  /** Ends the request loops of all jobs after their current request. */
  stop(): void {
    this.isStopped = true;
  }

  /** Submits a job at its planned time, and follows it with queries and its cancellation until it ends. */
  async follow(job: PlannedJob): Promise<void> {
    await sleep(job.at);
    (this.cluster.workers.runMsByJob ??= new Map()).set(job.id, job.runMs);
    const body = this.bodyOf(job);
    while (!this.acceptedJobs.has(job.id) && !this.isStopped) {
      await this.sendAndRecord("submit", job.id, body);
      if (!this.acceptedJobs.has(job.id)) await sleep(RETRY_DELAY_MS);
    }
    if (job.cancelAt !== null) void this.cancelLater(job.id, job.cancelAt - job.at);
    while (!this.endedJobs.has(job.id) && !this.isStopped) {
      await sleep(QUERY_INTERVAL_MS * (0.5 + this.random.fraction()));
      await this.queryOrResubmit(job, body);
    }
    // Every controller must give the same final response to later queries.
    for (let node = 0; node < CONTROLLERS && !this.isStopped; node++)
      await this.sendAndRecord("look", job.id, undefined, node);
  }

  private async queryOrResubmit(job: PlannedJob, body: Record<string, unknown>): Promise<void> {
    if (this.random.fraction() < UNKNOWN_JOB_SHARE)
      await this.sendAndRecord("look", `req-9${job.id.slice(4)}`);
    if (this.random.fraction() < RESUBMIT_SHARE) await this.sendAndRecord("submit", job.id, body);
    else await this.sendAndRecord("look", job.id);
  }

  private async cancelLater(id: string, afterMs: number): Promise<void> {
    await sleep(Math.max(0, afterMs));
    await this.cancel(id);
  }

  /** Requests a cancellation repeatedly until the job has ended. */
  async cancel(id: string): Promise<void> {
    this.recorder.add({ kind: "cancel_asked", job: id });
    while (!this.endedJobs.has(id) && !this.isStopped) {
      await this.sendAndRecord("cancel", id);
      if (!this.endedJobs.has(id)) await sleep(RETRY_DELAY_MS);
    }
  }

  private bodyOf({ id, body, runMs }: PlannedJob): Record<string, unknown> {
    return submission(id, { ...body, memGb: body.vcpus, guessS: Math.min(60, runMs / 1000) });
  }

  private async sendAndRecord(
    request: RequestKind,
    id: string,
    body?: Record<string, unknown>,
    node = Math.floor(this.random.fraction() * CONTROLLERS),
  ): Promise<void> {
    const askedAt = this.recorder.now;
    const response = await this.send(request, id, body, node);
    const { status } = response;
    if (status === 0 || status === 503) return;
    const stage = typeof response.body.stage === "string" ? response.body.stage : "";
    this.recorder.add({ kind: "told", job: id, by: `node-${node}`, request, status, stage, askedAt });
    if (status !== 200 && status !== 201) return;
    if (request === "submit") this.acceptedJobs.add(id);
    if (stage === "done" || stage === "aborted") this.endedJobs.add(id);
  }

  private send(request: RequestKind, id: string, body: object | undefined, node: number): Promise<Answer> {
    switch (request) {
      case "submit":
        return this.cluster.request(node, "POST", "/work", body, SUBMIT_TIMEOUT_MS);
      case "look":
        return this.cluster.request(node, "GET", `/work/${id}`, undefined, QUERY_TIMEOUT_MS);
      case "cancel":
        return this.cluster.request(node, "POST", `/work/${id}/withdraw`, undefined, SUBMIT_TIMEOUT_MS);
    }
  }
}
