/**
 * Workers' reports on kept connections. Reports are most of what a controller is asked, and an HTTP server costs several
 * times what is done with one (docs/design.md has the figures). So a connection is read here as long as it carries
 * plain reports; with its first request that is anything else it goes, unread bytes included, to the HTTP server.
 */
import { STATUS_CODES, type Server as HttpServer } from "node:http";
import type { Socket } from "node:net";
import type { Logger } from "../runtime/log.js";
import type { HttpResponse } from "./heartbeats.js";
import { readHeartbeatRequest } from "./heartbeat-request.js";

/** What the endpoint needs of the rest of the process. */
export interface HeartbeatEndpointOptions {
  /** Answers the body of a report. */
  answer: (body: string) => Promise<HttpResponse>;
  log: Logger;
  /** A connection on which nothing came for so long is closed. */
  idleMs: number;
}

/** One connection that has carried nothing but reports so far. */
class HeartbeatConnection {
  private pending: Buffer | null = null;
  private answering = false;
  /** Whether anything came since the last look for idle connections. */
  private active = true;

  constructor(
    private readonly socket: Socket,
    private readonly parts: HeartbeatEndpointOptions,
    private readonly toServer: (socket: Socket) => void,
    private readonly ended: () => void,
  ) {
    socket.setNoDelay(true);
    socket.on("data", this.onData);
    socket.on("error", this.onError);
    socket.on("close", ended);
  }

  close(): void {
    this.socket.destroy();
  }

  /** Closes the connection if nothing has come since this was last called. */
  closeIfIdle(): void {
    if (!this.active) this.close();
    this.active = false;
  }

  private readonly onError = (err: Error): void => {
    this.parts.log.debug({ err: err.message }, "connection of a worker failed");
  };

  private readonly onData = (chunk: Buffer): void => {
    this.active = true;
    this.pending = this.pending === null ? chunk : Buffer.concat([this.pending, chunk]);
    // Requests are never pipelined. Guards against a sender that goes on all the same: what comes while one is answered
    // waits for the answer, and past one chunk it waits outside this process.
    if (this.answering) this.socket.pause();
    else this.serve();
  };

  private serve(): void {
    if (this.pending === null) return;
    const request = readHeartbeatRequest(this.pending);
    if (request.kind === "incomplete") return;
    if (request.kind === "other") {
      this.handOver(this.pending);
      return;
    }
    const rest = this.pending.subarray(request.end);
    this.pending = rest.byteLength === 0 ? null : rest;
    this.answering = true;
    this.parts.answer(request.body).then(
      (response) => {
        this.socket.write(responseText(response));
        this.answering = false;
        this.socket.resume();
        this.serve();
      },
      (err: unknown) => {
        this.parts.log.error({ err }, "report failed");
        this.socket.destroy();
      },
    );
  }

  /** From here on the connection is the HTTP server's, with what has been read of it. */
  private handOver(unread: Buffer): void {
    const { socket } = this;
    socket.off("data", this.onData);
    socket.off("error", this.onError);
    socket.off("close", this.ended);
    this.ended();
    socket.unshift(unread);
    this.toServer(socket);
  }
}

function responseText({ status, body }: HttpResponse): string {
  const text = JSON.stringify(body);
  return (
    `HTTP/1.1 ${status} ${STATUS_CODES[status] ?? ""}\r\nContent-Type: application/json; charset=utf-8\r\n` +
    `Content-Length: ${Buffer.byteLength(text)}\r\n\r\n${text}`
  );
}

/**
 * Puts itself before a server's own handling of connections. Connections that have gone quiet are closed; the answer
 * closes all.
 */
export function serveHeartbeats(server: HttpServer, parts: HeartbeatEndpointOptions): () => void {
  const listeners = server.listeners("connection") as ((socket: Socket) => void)[];
  const toServer = (socket: Socket): void => {
    for (const listener of listeners) listener.call(server, socket);
  };
  const connections = new Set<HeartbeatConnection>();
  server.removeAllListeners("connection");
  server.on("connection", (socket) => {
    const connection = new HeartbeatConnection(socket, parts, toServer, () => connections.delete(connection));
    connections.add(connection);
  });
  const sweep = setInterval(() => {
    for (const connection of connections) connection.closeIfIdle();
  }, parts.idleMs);
  return () => {
    clearInterval(sweep);
    for (const connection of connections) connection.close();
  };
}
