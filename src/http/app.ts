/** The HTTP application for users, operators, health checks, and heartbeats that heartbeat-endpoint.ts passes on. */
import Koa, { type Context } from "koa";
import { BodyTooLargeError, parseJson, readBodyText } from "../runtime/http-body.js";
import { restrictionLines, statusRows, type LinkStatus } from "../links/status.js";
import type { DecisionReport } from "../shards/decision-metrics.js";
import { MAX_BODY_BYTES, paths } from "../wire/index.js";
import { handleHeartbeat, type HeartbeatDependencies } from "./heartbeats.js";
import { JSON_CONTENT_TYPE } from "./responses.js";
import type { UserRequestHandler } from "./user-requests.js";

/** The services that the HTTP application uses. */
export interface HttpDependencies extends HeartbeatDependencies {
  users: UserRequestHandler;
  /** Whether the load balancer should route users to this controller. */
  isHealthy(): boolean;
  /** The state of this controller's links, for operators. */
  linkStatus(): LinkStatus;
  /** The counts of this controller's decisions on lease renewals and on cancelled tasks, for operators. */
  decisions(): DecisionReport;
}

/** The Retry-After value of responses with status 503, in seconds. */
const RETRY_AFTER_S = "1";
/** The path of this controller's link status, for operators. */
const LINKS_PATH = "/links";
/** The path of the counts of this controller's decisions, for operators. */
const DECISIONS_PATH = "/decisions";

/** Creates the Koa application that routes requests by path. */
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

/** Bypasses Koa's response handling: its body type detection is a good part of the cost of a heartbeat response. */
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

/** Sends the link status as JSON, or as plain text if the request's Accept header prefers that. */
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

/** Reads the request body; undefined if it is too long, in which case the connection closes after the response. */
async function readBody(ctx: Context): Promise<string | undefined> {
  try {
    return await readBodyText(ctx.req, MAX_BODY_BYTES);
  } catch (err) {
    if (!(err instanceof BodyTooLargeError)) throw err;
    ctx.set("Connection", "close");
    return undefined;
  }
}
