/** The server for users, workers and health checks. */
import { createServer } from "node:http";
import { listenOn } from "../runtime/listen.js";
import { createApp, type HttpDependencies } from "./app.js";
import { serveHeartbeats } from "./heartbeat-endpoint.js";
import { handleHeartbeat } from "./heartbeats.js";

/** A server that listens. */
export interface ListeningServer {
  port: number;
  close(): void;
}

/** Serves users, workers and health checks at an address; idle connections are kept for `idleMs`. */
export async function serve(
  parts: HttpDependencies,
  address: string,
  idleMs: number,
): Promise<ListeningServer> {
  const handle = createApp(parts).callback();
  const server = createServer((request, response) => void handle(request, response));
  // Users and workers keep their connections; closing them between two polls costs both sides.
  server.keepAliveTimeout = idleMs;
  const closeReports = serveHeartbeats(server, {
    answer: (text) => handleHeartbeat(text, parts),
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
