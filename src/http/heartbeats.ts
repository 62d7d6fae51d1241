/**
 * Handles the body of a heartbeat, independently of how it was received. A heartbeat passes through these steps:
 *
 * 1. heartbeat-endpoint.ts reads the connection, parses heartbeats with heartbeat-request.ts, and writes the responses.
 *    All other requests go to app.ts, which passes the body of a heartbeat to this module as well.
 * 2. This module parses and validates the body, and turns the routing result into a status and a response body.
 * 3. controller/heartbeat-router.ts finds the owner of the machine's shard, or the controller to redirect to.
 * 4. shards/shard-owner.ts reconciles the heartbeat and decides on the commands.
 *
 * Step 2 is a module of its own because both receivers in step 1 use it.
 */
import { parseJson } from "../runtime/http-body.js";
import type { Logger } from "../runtime/log.js";
import { parseHeartbeat, redirectToWire, type Heartbeat } from "../wire/index.js";
import type { HttpResponse } from "./responses.js";

/** The result of a heartbeat: the response with commands, or the controller to redirect to, null if it is unknown. */
export type HeartbeatRouting =
  { kind: "commands"; body: object } | { kind: "redirect"; owner: string | null };

/** The services that heartbeat handling uses. */
export interface HeartbeatDependencies {
  /** Lets the owner of the worker's shard handle the heartbeat if it is in this process; otherwise redirects. */
  routeHeartbeat(heartbeat: Heartbeat): Promise<HeartbeatRouting>;
  log: Logger;
}

/** Handles the body of a heartbeat; `text` is undefined if the body is missing or too long. */
export async function handleHeartbeat(
  text: string | undefined,
  dependencies: HeartbeatDependencies,
): Promise<HttpResponse> {
  const parsed = parseHeartbeat(text === undefined ? undefined : parseJson(text));
  if (!parsed.ok) {
    dependencies.log.info({ error: parsed.error }, "rejected a malformed heartbeat");
    return { status: 400, body: { error: parsed.error } };
  }
  const routing = await dependencies.routeHeartbeat(parsed.value);
  if (routing.kind === "commands") return { status: 200, body: routing.body };
  return { status: 421, body: redirectToWire(routing.owner) };
}
