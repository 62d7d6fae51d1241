/**
 * Heartbeats on kept connections. Heartbeats are most of the requests to a controller, and an HTTP server costs several
 * times what is done with one (docs/design.md has the measurements). So a connection is read here as long as it carries
 * plain heartbeats; with its first request of any other kind it is passed to the HTTP server, unread bytes included.
 */
import type { Server as HttpServer } from "node:http";
import type { Socket } from "node:net";
import type { Logger } from "../runtime/log.js";
import { parseHeartbeatRequest } from "./heartbeat-request.js";
import { responseText, type HttpResponse } from "./responses.js";

/** What the endpoint is made from. */
export interface HeartbeatEndpointOptions {
  /** Answers the body of a heartbeat. */
  readonly respond: (body: string) => Promise<HttpResponse>;
  readonly log: Logger;
  /** A connection on which nothing was received for this long is closed, in milliseconds. */
  readonly idleTimeoutMs: number;
}

/** What a connection does when it leaves the endpoint. */
interface ConnectionCallbacks {
  /** Passes the connection to the HTTP server. */
  passToHttpServer(socket: Socket): void;
  /** The connection is closed or passed on. */
  onReleased(connection: HeartbeatConnection): void;
}

/** One connection that has carried only heartbeats so far. */
class HeartbeatConnection {
  private pending: Buffer | null = null;
  private isResponding = false;
  /** Whether anything was received since the last check for idle connections. */
  private hasReceivedData = true;

  constructor(
    private readonly socket: Socket,
    private readonly options: HeartbeatEndpointOptions,
    private readonly callbacks: ConnectionCallbacks,
  ) {
    socket.setNoDelay(true);
    socket.on("data", this.onData);
    socket.on("error", this.onError);
    socket.on("close", this.onClose);
  }

  close(): void {
    this.socket.destroy();
  }

  /** Closes the connection if nothing was received since this was last called. */
  closeIfIdle(): void {
    if (!this.hasReceivedData) this.close();
    this.hasReceivedData = false;
  }

  private readonly onClose = (): void => {
    this.callbacks.onReleased(this);
  };

  private readonly onError = (err: Error): void => {
    this.options.log.debug({ err }, "worker connection failed");
  };

  private readonly onData = (chunk: Buffer): void => {
    this.hasReceivedData = true;
    this.pending = this.pending === null ? chunk : Buffer.concat([this.pending, chunk]);
    // Requests are never pipelined. Guards against a sender that does so all the same: what is received while a request is
    // answered waits for the response, and all but one chunk waits outside this process.
    if (this.isResponding) this.socket.pause();
    else this.serve();
  };

  private serve(): void {
    if (this.pending === null) return;
    const request = parseHeartbeatRequest(this.pending);
    if (request.kind === "incomplete") return;
    if (request.kind === "other") {
      this.passToHttpServer(this.pending);
      return;
    }
    const remaining = this.pending.subarray(request.end);
    this.pending = remaining.byteLength === 0 ? null : remaining;
    this.isResponding = true;
    this.options.respond(request.body).then(
      (response) => {
        this.socket.write(responseText(response));
        this.isResponding = false;
        this.socket.resume();
        this.serve();
      },
      (err: unknown) => {
        this.options.log.error({ err }, "heartbeat handling failed");
        this.socket.destroy();
      },
    );
  }

  /** From here on the connection is the HTTP server's, with the bytes that were read of it. */
  private passToHttpServer(unread: Buffer): void {
    const { socket } = this;
    socket.off("data", this.onData);
    socket.off("error", this.onError);
    socket.off("close", this.onClose);
    this.onClose();
    socket.unshift(unread);
    this.callbacks.passToHttpServer(socket);
  }
}

/**
 * Has all new connections of a server read for heartbeats first, and closes those that are idle. The function that is
 * returned closes all connections that have not been passed to the server.
 */
export function serveHeartbeats(server: HttpServer, options: HeartbeatEndpointOptions): () => void {
  const connections = new Set<HeartbeatConnection>();
  const serverListeners = server.listeners("connection") as ((socket: Socket) => void)[];
  const callbacks: ConnectionCallbacks = {
    passToHttpServer: (socket) => {
      for (const listener of serverListeners) listener.call(server, socket);
    },
    onReleased: (connection) => {
      connections.delete(connection);
    },
  };
  server.removeAllListeners("connection");
  server.on("connection", (socket) => {
    connections.add(new HeartbeatConnection(socket, options, callbacks));
  });
  const idleCheck = setInterval(() => {
    for (const connection of connections) connection.closeIfIdle();
  }, options.idleTimeoutMs);
  return () => {
    clearInterval(idleCheck);
    for (const connection of connections) connection.close();
  };
}
