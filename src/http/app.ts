/** The interface for users, workers and health checks. */
import Koa, { type Context } from "koa";
import { BodyTooLargeError, parseJson, readBodyText } from "../runtime/http-body.js";
import { restrictionLines, statusRows, type LinkStatus } from "../links/status.js";
import type { DecisionReport } from "../shards/decision-metrics.js";
import { MAX_BODY_BYTES, paths } from "../wire/index.js";
import { handleHeartbeat, type HeartbeatDependencies } from "./heartbeats.js";
import type { UserRequestHandler } from "./user-requests.js";

/** What the HTTP interface needs of the rest of the process. */
export interface HttpDependencies extends HeartbeatDependencies {
  users: UserRequestHandler;
  isHealthy(): boolean;
  linkStatus(): LinkStatus;
  decisions(): DecisionReport;
}

/** When a user that cannot be served now should come again. */
const RETRY_AFTER_S = "1";
/** Where operators see the state of this controller's links. */
const LINKS_PATH = "/links";
/** Where operators see this controller's decisions on answers to workers and on cancelled tasks. */
const DECISIONS_PATH = "/decisions";
const JSON_TYPE = "application/json; charset=utf-8";

/** The koa application for users, workers and health checks. */
export function createApp(parts: HttpDependencies): Koa {
  const app = new Koa();
  app.on("error", (err: Error) => {
    parts.log.debug({ err: err.message }, "request failed");
  });
  app.use(async (ctx) => {
    if (ctx.path === paths.health)
      return requireMethod(ctx, "GET", () => {
        health(ctx, parts);
      });
    if (ctx.path === LINKS_PATH)
      return requireMethod(ctx, "GET", () => {
        linkStatus(ctx, parts);
      });
    if (ctx.path === DECISIONS_PATH)
      return requireMethod(ctx, "GET", () => {
        sendJson(ctx, 200, parts.decisions());
      });
    if (ctx.path === paths.heartbeat)
      return requireMethod(ctx, "POST", async () => {
        const { status, body } = await handleHeartbeat(await readBody(ctx), parts);
        sendJson(ctx, status, body);
      });
    const { method, path } = ctx;
    const text = method === "POST" ? await readBody(ctx) : undefined;
    const body = text === undefined ? undefined : parseJson(text);
    const { status, body: said, allow } = await parts.users.handle({ method, path, body });
    if (allow !== undefined) ctx.set("Allow", allow);
    sendJson(ctx, status, said);
  });
  return app;
}

/** Written by itself: finding out what kind of body it has costs koa a good part of a report's answer. */
function sendJson(ctx: Context, status: number, body: object): void {
  ctx.respond = false;
  if (status === 503) ctx.set("Retry-After", RETRY_AFTER_S);
  const text = JSON.stringify(body);
  ctx.res.writeHead(status, { "Content-Type": JSON_TYPE, "Content-Length": Buffer.byteLength(text) });
  ctx.res.end(text);
}

async function requireMethod(
  ctx: Context,
  method: string,
  handle: () => Promise<void> | void,
): Promise<void> {
  if (ctx.method !== method) {
    ctx.set("Allow", method);
    sendJson(ctx, 405, { error: `use ${method}` });
    return;
  }
  await handle();
}

function health(ctx: Context, parts: HttpDependencies): void {
  const ok = parts.isHealthy();
  sendJson(ctx, ok ? 200 : 503, { ok });
}

/** JSON, or plain text for those who ask for it. */
function linkStatus(ctx: Context, parts: HttpDependencies): void {
  const status = parts.linkStatus();
  if (ctx.accepts("application/json", "text/plain") !== "text/plain") {
    sendJson(ctx, 200, status);
    return;
  }
  const rows = statusRows(status).map((row) => Object.values(row).join("\t"));
  ctx.type = "text/plain";
  ctx.body = `${[`${status.node}: ${status.mode}`, ...rows, ...restrictionLines(status)].join("\n")}\n`;
}

/** The body's text; undefined where it is too long. */
async function readBody(ctx: Context): Promise<string | undefined> {
  try {
    return await readBodyText(ctx.req, MAX_BODY_BYTES);
  } catch (err) {
    if (!(err instanceof BodyTooLargeError)) throw err;
    ctx.set("Connection", "close");
    return undefined;
  }
}
