/** A small JSON server for the stand-ins of services, and a stand-in for what the HTTP interface needs. */
import { createServer, type IncomingMessage } from "node:http";
import type { AddressInfo } from "node:net";
import type { HttpDependencies } from "../../src/http/app.js";
import { statusWhileOff } from "../../src/links/status.js";
import { DecisionMetrics } from "../../src/shards/decision-metrics.js";
import { silent } from "./records.js";

/** A status and a JSON body; without a body it is `{}`. */
export interface Reply {
  status: number;
  body?: unknown;
}

/** A stand-in that listens at an address, host:port. */
export interface TestServer {
  address: string;
  close(): void;
}

/** Answers one request. */
export type RequestHandler = (method: string, url: URL, body: unknown) => Reply | Promise<Reply>;

async function readJsonBody(request: IncomingMessage): Promise<unknown> {
  let text = "";
  for await (const chunk of request) text += String(chunk);
  return text === "" ? undefined : JSON.parse(text);
}

/** Starts a server on a free port of this machine. */
export function listen(handler: RequestHandler): Promise<TestServer> {
  const server = createServer((request, response) => {
    void readJsonBody(request)
      .then((body) => handler(request.method ?? "", new URL(request.url ?? "/", "http://stand-in"), body))
      .then(({ status, body }) => {
        response.writeHead(status, { "content-type": "application/json" });
        response.end(JSON.stringify(body ?? {}));
      });
  });
  return new Promise((resolve) =>
    server.listen(0, "127.0.0.1", () => {
      resolve({
        address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
        close: () => {
          server.closeAllConnections();
          server.close();
        },
      });
    }),
  );
}

/** A healthy controller without jobs, which redirects all heartbeats to an unknown owner; parts of it can be replaced. */
export const httpDependencies = (replaced: Partial<HttpDependencies> = {}): HttpDependencies => ({
  users: { handle: () => Promise.resolve({ status: 404, body: { error: "no such job" } }) },
  routeHeartbeat: () => Promise.resolve({ kind: "redirect", owner: null }),
  isHealthy: () => true,
  linkStatus: () => statusWhileOff("node-0"),
  decisions: () => new DecisionMetrics().report("node-0"),
  log: silent,
  ...replaced,
});
