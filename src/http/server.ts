/** The HTTP server for users, operators, workers and health checks. */
import { createServer } from "node:http";
import { listenOn } from "../runtime/listen.js";
import { createApp, type HttpDependencies } from "./app.js";
import { serveHeartbeats } from "./heartbeat-endpoint.js";
import { handleHeartbeat } from "./heartbeats.js";

/** A server that is listening. */
export interface ListeningServer {
  port: number;
  /** Stops listening and closes all connections. */
  close(): void;
}

/** Starts listening at an address, `host:port`; idle connections are closed after `idleTimeoutMs` milliseconds. */
export async function serve(
  dependencies: HttpDependencies,
  address: string,
  idleTimeoutMs: number,
): Promise<ListeningServer> {
  const handle = createApp(dependencies).callback();
  const server = createServer((request, response) => void handle(request, response));
  // Users and workers reuse their connections; a timeout between two polls would cost both sides a reconnection.
  server.keepAliveTimeout = idleTimeoutMs;
  const closeHeartbeatConnections = serveHeartbeats(server, {
    respond: (text) => handleHeartbeat(text, dependencies),
    log: dependencies.log,
    idleTimeoutMs,
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
