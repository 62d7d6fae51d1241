/** Users of a soak run: they submit, ask, repeat and call off at whichever controller, until each job has ended. */
import { sleep } from "../../../src/runtime/sleep.js";
import { submission, type Answer, type Cluster } from "../cluster.js";
import { CONTROLLERS, type Luck, type PlannedJob } from "./plan.js";
import type { SoakRecorder } from "./recorder.js";

const ASK_MS = 1500;
const RETRY_MS = 1000;
const LOOK_TIMEOUT_MS = 2000;
const SUBMIT_TIMEOUT_MS = 5000;
/** One in so many questions is a repeated submission instead, and one is about a job that nobody submitted. */
const REPEAT_SHARE = 0.15;
const STRANGE_SHARE = 0.03;

type Request = "submit" | "look" | "cancel";

export class SoakUsers {
  private readonly accepted = new Set<string>();
  private readonly ended = new Set<string>();
  private stopped = false;

  constructor(
    private readonly cluster: Cluster,
    private readonly recorder: SoakRecorder,
    private readonly luck: Luck,
  ) {}

  /** Jobs that were accepted and have no final answer yet. */
  get open(): string[] {
    return [...this.accepted].filter((id) => !this.ended.has(id));
  }

  stop(): void {
    this.stopped = true;
  }

  /** Submits a job when its time has come, and follows it to its end. */
  async follow(job: PlannedJob): Promise<void> {
    await sleep(job.at);
    (this.cluster.workers.runMsByJob ??= new Map()).set(job.id, job.runMs);
    const body = this.bodyOf(job);
    while (!this.accepted.has(job.id) && !this.stopped) {
      await this.ask("submit", job.id, body);
      if (!this.accepted.has(job.id)) await sleep(RETRY_MS);
    }
    if (job.cancelAt !== null) void this.cancelLater(job.id, job.cancelAt - job.at);
    while (!this.ended.has(job.id) && !this.stopped) {
      await sleep(ASK_MS * (0.5 + this.luck.chance()));
      await this.look(job, body);
    }
    // Whoever asks again gets the same answer, at every controller.
    for (let node = 0; node < CONTROLLERS && !this.stopped; node++)
      await this.ask("look", job.id, undefined, node);
  }

  private async look(job: PlannedJob, body: Record<string, unknown>): Promise<void> {
    if (this.luck.chance() < STRANGE_SHARE) await this.ask("look", `req-9${job.id.slice(4)}`);
    if (this.luck.chance() < REPEAT_SHARE) await this.ask("submit", job.id, body);
    else await this.ask("look", job.id);
  }

  private async cancelLater(id: string, afterMs: number): Promise<void> {
    await sleep(Math.max(0, afterMs));
    await this.cancel(id);
  }

  async cancel(id: string): Promise<void> {
    this.recorder.add({ kind: "cancel_asked", job: id });
    while (!this.ended.has(id) && !this.stopped) {
      await this.ask("cancel", id);
      if (!this.ended.has(id)) await sleep(RETRY_MS);
    }
  }

  private bodyOf({ id, body, runMs }: PlannedJob): Record<string, unknown> {
    return submission(id, { ...body, memGb: body.vcpus, guessS: Math.min(60, runMs / 1000) });
  }

  private async ask(
    request: Request,
    id: string,
    body?: Record<string, unknown>,
    node = Math.floor(this.luck.chance() * CONTROLLERS),
  ): Promise<void> {
    const askedAt = this.recorder.now;
    const answer = await this.send(request, id, body, node);
    const { status } = answer;
    if (status === 0 || status === 503) return;
    const stage = typeof answer.body.stage === "string" ? answer.body.stage : "";
    this.recorder.add({ kind: "told", job: id, by: `node-${node}`, request, status, stage, askedAt });
    if (status !== 200 && status !== 201) return;
    if (request === "submit") this.accepted.add(id);
    if (stage === "done" || stage === "aborted") this.ended.add(id);
  }

  private send(request: Request, id: string, body: object | undefined, node: number): Promise<Answer> {
    switch (request) {
      case "submit":
        return this.cluster.request(node, "POST", "/work", body, SUBMIT_TIMEOUT_MS);
      case "look":
        return this.cluster.request(node, "GET", `/work/${id}`, undefined, LOOK_TIMEOUT_MS);
      case "cancel":
        return this.cluster.request(node, "POST", `/work/${id}/withdraw`, undefined, SUBMIT_TIMEOUT_MS);
    }
  }
}
