/** The server side of connections between controllers: receives requests and sends replies. */
import { createServer, type Server, type Socket } from "node:net";
import { pipeline, Writable } from "node:stream";
import { listenOn } from "../runtime/listen.js";
import type { Logger } from "../runtime/log.js";
import { FrameDecoder, encodeLengthPrefixedFrame } from "./framing.js";
import { FrameError } from "./peer-codec.js";
import type { Frame } from "./peer-messages.js";
import type { LinkViewExchange, PeerHandler } from "./peer-network.js";

/** The most requests that are handled concurrently for one connection. */
const MAX_CONCURRENT_REQUESTS = 32;

/** The request handler and the services that a server uses. */
export interface PeerServerDependencies {
  readonly handler: PeerHandler;
  readonly log: Logger;
  /** The current source and destination of link views; null while the link monitor is off. */
  readonly viewExchange: () => LinkViewExchange | null;
}

/** Accepts connections from other controllers and handles their requests. */
export class PeerServer {
  private readonly server: Server;
  private readonly sockets = new Set<Socket>();

  constructor(private readonly dependencies: PeerServerDependencies) {
    this.server = createServer((socket) => {
      this.serve(socket);
    });
  }

  /** Starts listening; resolves to the port. */
  listen(address: string): Promise<number> {
    return listenOn(this.server, address, this.dependencies.log);
  }

  /** Stops listening and closes all connections. */
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
 * Handles the requests of one connection concurrently, up to `MAX_CONCURRENT_REQUESTS`. A slow request delays no other
 * below that limit; a peer that sends requests faster than they are handled is slowed down by backpressure.
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
      done(new FrameError("received a reply on a connection that only accepts requests"));
      return;
    }
    this.inProgress++;
    this.handle(frame);
    if (this.inProgress < MAX_CONCURRENT_REQUESTS) done();
    else this.resumeReading = done;
  }

  private handle({ id, body: request, linkView: requestView }: Extract<Frame, { reply: false }>): void {
    const { handler, viewExchange } = this.dependencies;
    // A view is attached to the reply only if the request had one, because the sender is known only from its view.
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
