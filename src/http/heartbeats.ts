/** Answers the text of a worker's report, however it came. */
import { parseJson } from "../runtime/http-body.js";
import type { Logger } from "../runtime/log.js";
import { parseHeartbeat, redirectToWire, type Heartbeat } from "../wire/index.js";

/** The answer to a worker's report: commands, or where the worker should report to. */
export type HeartbeatRouting =
  { kind: "commands"; body: object } | { kind: "redirect"; owner: string | null };

/** What answering reports needs of the rest of the process. */
export interface HeartbeatDependencies {
  /** Finds who may answer a worker, and answers if that is this node. */
  routeHeartbeat(report: Heartbeat): Promise<HeartbeatRouting>;
  log: Logger;
}

/** A status and a JSON body. */
export interface HttpResponse {
  status: number;
  body: object;
}

/** Checks a report and has it answered; `undefined` stands for a body that is none or too long. */
export async function handleHeartbeat(
  text: string | undefined,
  parts: HeartbeatDependencies,
): Promise<HttpResponse> {
  const parsed = parseHeartbeat(text === undefined ? undefined : parseJson(text));
  if (!parsed.ok) {
    parts.log.info({ error: parsed.error }, "unreadable report");
    return { status: 400, body: { error: parsed.error } };
  }
  const routed = await parts.routeHeartbeat(parsed.value);
  if (routed.kind === "commands") return { status: 200, body: routed.body };
  return { status: 421, body: redirectToWire(routed.owner) };
}
