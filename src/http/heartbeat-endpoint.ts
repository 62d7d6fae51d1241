/**
 * A fast path for heartbeats on persistent connections. Most requests to a controller are heartbeats, and Node's HTTP
 * server costs several times as much as the handling of a heartbeat (measurements in docs/design.md). A connection is
 * therefore parsed here as long as it carries plain heartbeats; at its first request of any other kind it is passed to
 * the HTTP server, together with the bytes that are not handled yet.
 */
import type { Server as HttpServer } from "node:http";
import type { Socket } from "node:net";
import type { Logger } from "../runtime/log.js";
import { parseHeartbeatRequest } from "./heartbeat-request.js";
import { responseText, type HttpResponse } from "./responses.js";

/** The handler, logger and idle timeout of the endpoint. */
export interface HeartbeatEndpointOptions {
  /** Handles the body of a heartbeat and resolves to the response. */
  readonly respond: (body: string) => Promise<HttpResponse>;
  readonly log: Logger;
  /** The interval at which connections without inbound data since the last check are closed, in milliseconds. */
  readonly idleTimeoutMs: number;
}

/** Callbacks for a connection that leaves the endpoint. */
interface ConnectionCallbacks {
  /** Passes the connection to the HTTP server. */
  passToHttpServer(socket: Socket): void;
  /** Called once the connection is closed or passed to the HTTP server. */
  onReleased(connection: HeartbeatConnection): void;
}

/** A connection on which only heartbeats have been received so far. */
class HeartbeatConnection {
  private pending: Buffer | null = null;
  private isResponding = false;
  /** Whether any data was received since the last idle check. */
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

  /** Closes the connection if no data was received since the last call. */
  closeIfIdle(): void {
    if (!this.hasReceivedData) this.close();
    this.hasReceivedData = false;
  }

  private readonly onClose = (): void => {
    this.callbacks.onReleased(this);
  };

  private readonly onError = (err: Error): void => {
    this.options.log.debug({ err }, "heartbeat connection failed");
  };

  private readonly onData = (chunk: Buffer): void => {
    this.hasReceivedData = true;
    this.pending = this.pending === null ? chunk : Buffer.concat([this.pending, chunk]);
    // Workers do not pipeline requests. If a client does, reading pauses while a request is being handled, so that all
    // but one chunk of the pipelined data stays outside this process.
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
        this.options.log.error({ err }, "heartbeat handler failed; closing the connection");
        this.socket.destroy();
      },
    );
  }

  /** Detaches the connection and passes it to the HTTP server, with the bytes that were read but not handled. */
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
 * Intercepts all new connections of an HTTP server to handle heartbeats, and closes idle ones. Returns a function that
 * closes all connections that have not been passed to the server.
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
