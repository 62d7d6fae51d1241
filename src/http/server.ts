/** The server for users, workers and health checks. */
import { createServer } from "node:http";
import { listenOn } from "../runtime/listening.js";
import { createApp, type AppParts } from "./app.js";
import { serveReports } from "./report-endpoint.js";
import { answerReport } from "./reports.js";

/** A server that listens. */
export interface Listening {
  port: number;
  close(): void;
}

/** Serves users, workers and health checks at an address; idle connections are kept for `idleMs`. */
export async function serve(parts: AppParts, address: string, idleMs: number): Promise<Listening> {
  const handle = createApp(parts).callback();
  const server = createServer((request, response) => void handle(request, response));
  // Users and workers keep their connections; closing them between two polls costs both sides.
  server.keepAliveTimeout = idleMs;
  const closeReports = serveReports(server, {
    answer: (text) => answerReport(text, parts),
    log: parts.log,
    idleMs,
  });
  const port = await listenOn(server, address, parts.log);
  return {
    port,
    close: () => {
      closeReports();
      server.closeAllConnections();
      server.close();
    },
  };
}
