/** The HTTP server for users, operators, workers and health checks. */
import { createServer } from "node:http";
import { listenOn } from "../runtime/listen.js";
import { createApp, type HttpDependencies } from "./app.js";
import { serveHeartbeats } from "./heartbeat-endpoint.js";
import { handleHeartbeat } from "./heartbeats.js";

/** A server that listens. */
export interface ListeningServer {
  port: number;
  /** Closes the server and all its connections. */
  close(): void;
}

/** Begins to listen at an address, host:port; idle connections are closed after `idleMs` milliseconds. */
export async function serve(
  dependencies: HttpDependencies,
  address: string,
  idleTimeoutMs: number,
): Promise<ListeningServer> {
  const handle = createApp(dependencies).callback();
  const server = createServer((request, response) => void handle(request, response));
  // Users and workers keep their connections; closing them between two polls costs both sides.
  server.keepAliveTimeout = idleTimeoutMs;
  const closeHeartbeatConnections = serveHeartbeats(server, {
    respond: (text) => handleHeartbeat(text, dependencies),
    log: dependencies.log,
    idleTimeoutMs: idleTimeoutMs,
  });
  const port = await listenOn(server, address, dependencies.log);
  return {
    port,
    close: () => {
      closeHeartbeatConnections();
      server.closeAllConnections();
      server.close();
    },
  };
}
