/** The server side of connections between controllers: requests in, replies out. */
import { createServer, type Server, type Socket } from "node:net";
import { pipeline, Writable } from "node:stream";
import { listenOn } from "../runtime/listen.js";
import type { Logger } from "../runtime/log.js";
import { FrameDecoder, encodeLengthPrefixedFrame } from "./framing.js";
import { FrameError } from "./peer-codec.js";
import type { Frame } from "./peer-messages.js";
import type { LinkViewExchange, PeerHandler } from "./peer-network.js";

/** How many requests of one peer are handled at a time. */
const MAX_CONCURRENT_REQUESTS = 32;

/** What a server is made from. */
export interface PeerServerDependencies {
  readonly handler: PeerHandler;
  readonly log: Logger;
  /** Where views of links come from and go to now; null while the link monitor is off. */
  readonly viewExchange: () => LinkViewExchange | null;
}

/** Handles the requests of all controllers that connect. */
export class PeerServer {
  private readonly server: Server;
  private readonly sockets = new Set<Socket>();

  constructor(private readonly dependencies: PeerServerDependencies) {
    this.server = createServer((socket) => {
      this.serve(socket);
    });
  }

  /** Begins to listen, and resolves to the port. */
  listen(address: string): Promise<number> {
    return listenOn(this.server, address, this.dependencies.log);
  }

  /** Stops listening, and closes all connections. */
  close(): void {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }

  private serve(socket: Socket): void {
    this.sockets.add(socket);
    socket.setNoDelay(true);
    const requests = new ConcurrentRequestHandler(socket, this.dependencies);
    pipeline(socket, new FrameDecoder(), requests, (err) => {
      if (err) this.dependencies.log.debug({ err }, "peer connection closed");
      socket.destroy();
      this.sockets.delete(socket);
    });
  }
}

/**
 * Handles the requests of one connection, so many at a time: a slow one delays no other, and a peer that sends requests
 * faster than they are replied to feels it as backpressure.
 */
class ConcurrentRequestHandler extends Writable {
  private inProgress = 0;
  private resumeReading: (() => void) | null = null;

  constructor(
    private readonly socket: Socket,
    private readonly dependencies: PeerServerDependencies,
  ) {
    super({ objectMode: true });
  }

  override _write(frame: Frame, _encoding: string, done: (error?: Error) => void): void {
    if (frame.reply) {
      done(new FrameError("a reply to no request"));
      return;
    }
    this.inProgress++;
    this.handle(frame);
    if (this.inProgress < MAX_CONCURRENT_REQUESTS) done();
    else this.resumeReading = done;
  }

  private handle({ id, body: request, linkView: requestView }: Extract<Frame, { reply: false }>): void {
    const { handler, viewExchange } = this.dependencies;
    // The reply carries a view where the request did, since only then its sender is known.
    const sender = requestView ? viewExchange()?.receiveView(requestView) : null;
    handler(request)
      .then((body) => {
        const linkView = sender ? viewExchange()?.nextOutgoingView(sender) : undefined;
        this.socket.write(
          encodeLengthPrefixedFrame({ id, reply: true, body, ...(linkView && { linkView }) }),
        );
      })
      .catch((err: unknown) => this.socket.destroy(err as Error))
      .finally(() => {
        this.inProgress--;
        this.resumeReading?.();
        this.resumeReading = null;
      });
  }
}
