/** A small JSON server for fake services, and fake dependencies of the HTTP interface. */
import { createServer, type IncomingMessage } from "node:http";
import type { AddressInfo } from "node:net";
import type { HttpDependencies } from "../../src/http/app.js";
import { statusWhileOff } from "../../src/links/status.js";
import { DecisionMetrics } from "../../src/shards/decision-metrics.js";
import { silentLogger } from "./records.js";

/** A response: its status and its JSON body, which is `{}` by default. */
export interface Reply {
  status: number;
  body?: unknown;
}

/** A running fake server. */
export interface TestServer {
  /** Where the server listens, host:port. */
  address: string;
  close(): void;
}

/** Handles one request. */
export type RequestHandler = (method: string, url: URL, body: unknown) => Reply | Promise<Reply>;

async function readJsonBody(request: IncomingMessage): Promise<unknown> {
  let text = "";
  for await (const chunk of request) text += String(chunk);
  return text === "" ? undefined : JSON.parse(text);
}

/** Starts a server on a free port of the loopback interface. */
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

/** The dependencies of a healthy controller without jobs that redirects every heartbeat and does not know the owner. */
export const httpDependencies = (replaced: Partial<HttpDependencies> = {}): HttpDependencies => ({
  users: { handle: () => Promise.resolve({ status: 404, body: { error: "no such job" } }) },
  routeHeartbeat: () => Promise.resolve({ kind: "redirect", owner: null }),
  isHealthy: () => true,
  linkStatus: () => statusWhileOff("node-0"),
  decisions: () => new DecisionMetrics().report("node-0"),
  log: silentLogger,
  ...replaced,
});
