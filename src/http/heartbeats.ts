/**
 * Answers the text of a heartbeat, however it was received. A heartbeat passes through these steps, each with one job:
 *
 * 1. heartbeat-endpoint.ts reads the connection, recognises a heartbeat by heartbeat-request.ts, and writes the response.
 *    Anything unusual goes to app.ts instead, which has the same body answered.
 * 2. This module turns the text into a message, and the routing of that message into a status and a body.
 * 3. controller/heartbeat-router.ts finds the owner of the machine's shard, or another controller.
 * 4. shards/shard-owner.ts reconciles the heartbeat and decides on the commands.
 *
 * Steps 1 and 2 are apart since both ways of receiving need step 2.
 */
import { parseJson } from "../runtime/http-body.js";
import type { Logger } from "../runtime/log.js";
import { parseHeartbeat, redirectToWire, type Heartbeat } from "../wire/index.js";
import type { HttpResponse } from "./responses.js";

/** The result of a heartbeat: the body with commands, or the controller to report to, null where it is not known. */
export type HeartbeatRouting =
  { kind: "commands"; body: object } | { kind: "redirect"; owner: string | null };

/** What answering heartbeats needs of the rest of the process. */
export interface HeartbeatDependencies {
  /** Has the owner of the worker's shard answer if it is in this process, and finds the controller that it is in if not. */
  routeHeartbeat(heartbeat: Heartbeat): Promise<HeartbeatRouting>;
  log: Logger;
}

/** Answers the text of a heartbeat; undefined stands for a body that is missing or too long. */
export async function handleHeartbeat(
  text: string | undefined,
  dependencies: HeartbeatDependencies,
): Promise<HttpResponse> {
  const parsed = parseHeartbeat(text === undefined ? undefined : parseJson(text));
  if (!parsed.ok) {
    dependencies.log.info({ error: parsed.error }, "heartbeat rejected as malformed");
    return { status: 400, body: { error: parsed.error } };
  }
  const routing = await dependencies.routeHeartbeat(parsed.value);
  if (routing.kind === "commands") return { status: 200, body: routing.body };
  return { status: 421, body: redirectToWire(routing.owner) };
}
