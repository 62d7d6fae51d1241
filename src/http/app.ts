/** The HTTP interface for users, operators, health checks, and the heartbeats that heartbeat-endpoint.ts leaves to it. */
import Koa, { type Context } from "koa";
import { BodyTooLargeError, parseJson, readBodyText } from "../runtime/http-body.js";
import { restrictionLines, statusRows, type LinkStatus } from "../links/status.js";
import type { DecisionReport } from "../shards/decision-metrics.js";
import { MAX_BODY_BYTES, paths } from "../wire/index.js";
import { handleHeartbeat, type HeartbeatDependencies } from "./heartbeats.js";
import { JSON_CONTENT_TYPE } from "./responses.js";
import type { UserRequestHandler } from "./user-requests.js";

/** What the HTTP interface needs of the rest of the process. */
export interface HttpDependencies extends HeartbeatDependencies {
  users: UserRequestHandler;
  /** Whether the load balancer should send users here. */
  isHealthy(): boolean;
  /** The state of this controller's links, for operators. */
  linkStatus(): LinkStatus;
  /** The counts of this controller's decisions on lease renewals and on cancelled tasks, for operators. */
  decisions(): DecisionReport;
}

/** The wait before a request that cannot be served now should be retried, in seconds. */
const RETRY_AFTER_S = "1";
/** Where operators see the state of this controller's links. */
const LINKS_PATH = "/links";
/** Where operators see this controller's decisions on lease renewals and on cancelled tasks. */
const DECISIONS_PATH = "/decisions";

/** The koa application for users, operators, workers and health checks. */
export function createApp(dependencies: HttpDependencies): Koa {
  const app = new Koa();
  app.on("error", (err: Error) => {
    dependencies.log.debug({ err }, "request failed");
  });
  app.use((ctx) => {
    switch (ctx.path) {
      case paths.health:
        return requireMethod(ctx, "GET", () => {
          sendHealth(ctx, dependencies);
        });
      case LINKS_PATH:
        return requireMethod(ctx, "GET", () => {
          sendLinkStatus(ctx, dependencies);
        });
      case DECISIONS_PATH:
        return requireMethod(ctx, "GET", () => {
          sendJson(ctx, 200, dependencies.decisions());
        });
      case paths.heartbeat:
        return requireMethod(ctx, "POST", () => respondToHeartbeat(ctx, dependencies));
      default:
        return respondToUser(ctx, dependencies.users);
    }
  });
  return app;
}

async function respondToHeartbeat(ctx: Context, dependencies: HeartbeatDependencies): Promise<void> {
  const { status, body } = await handleHeartbeat(await readBody(ctx), dependencies);
  sendJson(ctx, status, body);
}

async function respondToUser(ctx: Context, users: UserRequestHandler): Promise<void> {
  const { method, path } = ctx;
  const text = method === "POST" ? await readBody(ctx) : undefined;
  const body = text === undefined ? undefined : parseJson(text);
  const response = await users.handle({ method, path, body });
  if (response.allow !== undefined) ctx.set("Allow", response.allow);
  sendJson(ctx, response.status, response.body);
}

/** Writes the response itself: koa's detection of the kind of body is a good part of the cost of a heartbeat's response. */
function sendJson(ctx: Context, status: number, body: object): void {
  ctx.respond = false;
  if (status === 503) ctx.set("Retry-After", RETRY_AFTER_S);
  const text = JSON.stringify(body);
  ctx.res.writeHead(status, { "Content-Type": JSON_CONTENT_TYPE, "Content-Length": Buffer.byteLength(text) });
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

function sendHealth(ctx: Context, dependencies: HttpDependencies): void {
  const ok = dependencies.isHealthy();
  sendJson(ctx, ok ? 200 : 503, { ok });
}

/** Sends JSON, or plain text where the request prefers it. */
function sendLinkStatus(ctx: Context, dependencies: HttpDependencies): void {
  const status = dependencies.linkStatus();
  if (ctx.accepts("application/json", "text/plain") !== "text/plain") {
    sendJson(ctx, 200, status);
    return;
  }
  const rows = statusRows(status).map((row) => Object.values(row).join("\t"));
  ctx.type = "text/plain";
  ctx.body = `${[`${status.node}: ${status.mode}`, ...rows, ...restrictionLines(status)].join("\n")}\n`;
}

/** The body's text; undefined where it is too long, in which case the connection is closed after the response. */
async function readBody(ctx: Context): Promise<string | undefined> {
  try {
    return await readBodyText(ctx.req, MAX_BODY_BYTES);
  } catch (err) {
    if (!(err instanceof BodyTooLargeError)) throw err;
    ctx.set("Connection", "close");
    return undefined;
  }
}
