/** The interface for users, workers and health checks. */
import Koa, { type Context } from "koa";
import type { JobService, LookResult } from "../jobs/service.js";
import { BodyTooLarge, parseJson, readAll } from "../runtime/http-client.js";
import type { Logger } from "../runtime/log.js";
import {
  MAX_BODY_BYTES,
  acceptedToWire,
  isJobId,
  parseReport,
  parseSubmission,
  paths,
  redirectToWire,
  statusToWire,
  type WorkerReport,
} from "../wire/index.js";

export type Routed = { kind: "commands"; body: object } | { kind: "redirect"; owner: string | null };

export interface AppParts {
  jobs: JobService;
  /** Finds who may answer a worker, and answers if that is this node. */
  report(report: WorkerReport): Promise<Routed>;
  healthy(): boolean;
  log: Logger;
}

/** When a user that cannot be served now should come again. */
const RETRY_AFTER_S = "1";

export function createApp(parts: AppParts): Koa {
  const app = new Koa();
  app.on("error", (err: Error) => parts.log.debug({ err: err.message }, "request failed"));
  app.use(async (ctx) => {
    const { method, path } = ctx;
    const job = paths.job.exec(path)?.[1];
    const cancel = paths.cancel.exec(path)?.[1];
    if (path === paths.health) return only(ctx, "GET", () => health(ctx, parts));
    if (path === paths.report) return only(ctx, "POST", () => report(ctx, parts));
    if (path === paths.submit) return only(ctx, "POST", () => submit(ctx, parts));
    if (cancel !== undefined)
      return only(ctx, "POST", () => look(ctx, cancel, (id) => parts.jobs.cancel(id)));
    if (job !== undefined) return only(ctx, "GET", () => look(ctx, job, (id) => parts.jobs.look(id), true));
    answer(ctx, 404, { error: `nothing at ${method} ${path.slice(0, 100)}` });
  });
  return app;
}

function answer(ctx: Context, status: number, body: object): void {
  ctx.status = status;
  ctx.body = body;
  if (status === 503) ctx.set("Retry-After", RETRY_AFTER_S);
}

async function only(ctx: Context, method: string, handle: () => Promise<void> | void): Promise<void> {
  if (ctx.method !== method) {
    ctx.set("Allow", method);
    return answer(ctx, 405, { error: `use ${method}` });
  }
  await handle();
}

function health(ctx: Context, parts: AppParts): void {
  const ok = parts.healthy();
  answer(ctx, ok ? 200 : 503, { ok });
}

/** The body as JSON; undefined where it is none or too long. */
async function readBody(ctx: Context): Promise<unknown> {
  try {
    return parseJson(await readAll(ctx.req, MAX_BODY_BYTES));
  } catch (err) {
    if (!(err instanceof BodyTooLarge)) throw err;
    ctx.set("Connection", "close");
    return undefined;
  }
}

async function submit(ctx: Context, parts: AppParts): Promise<void> {
  const parsed = parseSubmission(await readBody(ctx));
  if (!parsed.ok) {
    return answer(ctx, 400, { error: parsed.error });
  }
  const result = await parts.jobs.submit(parsed.value);
  switch (result.kind) {
    case "accepted":
      return answer(ctx, result.fresh ? 201 : 200, acceptedToWire(parsed.value.id, result.stage));
    case "malformed":
      return answer(ctx, 400, { error: result.reason });
    case "impossible":
      return answer(ctx, 422, { error: result.reason });
    case "unavailable":
      return answer(ctx, 503, { error: "cannot decide now" });
  }
}

async function look(
  ctx: Context,
  id: string,
  find: (id: string) => Promise<LookResult>,
  counts = false,
): Promise<void> {
  const result: LookResult = isJobId(id) ? await find(id) : { kind: "unknown" };
  if (result.kind === "unknown") return answer(ctx, 404, { error: "no such job" });
  if (result.kind === "unavailable") return answer(ctx, 503, { error: "cannot say now" });
  answer(ctx, 200, counts ? statusToWire(result.status) : acceptedToWire(id, result.status.stage));
}

async function report(ctx: Context, parts: AppParts): Promise<void> {
  const parsed = parseReport(await readBody(ctx));
  if (!parsed.ok) {
    parts.log.info({ error: parsed.error }, "unreadable report");
    return answer(ctx, 400, { error: parsed.error });
  }
  const routed = await parts.report(parsed.value);
  if (routed.kind === "commands") return answer(ctx, 200, routed.body);
  answer(ctx, 421, redirectToWire(routed.owner));
}
