/** The connections between controllers: questions out, answers back, each with a deadline. */
import { createServer, Socket, type Server } from "node:net";
import { pipeline, Writable } from "node:stream";
import { listenOn } from "../runtime/listen.js";
import type { Logger } from "../runtime/log.js";
import { FrameDecoder, frameBytes } from "./framing.js";
import type { Frame, PeerReply, PeerRequest } from "./messages.js";

/** A peer did not answer in time, or cannot be reached. */
export class PeerUnreachableError extends Error {}

/** Answers another controller's request. */
export type PeerHandler = (request: PeerRequest) => Promise<PeerReply>;

/** Views of links, which ride on frames that are sent anyway. */
export interface LinkViewExchange {
  /** What to attach to the next frame to a controller, if it is time for a view. */
  outgoing(node: string): Uint8Array | undefined;
  /** Takes in a view, and tells which controller it is from; null if it is dropped. */
  incoming(view: Uint8Array): string | null;
}

/** Past this many unanswered requests a peer counts as silent: nothing may queue without bound. */
const MAX_PENDING_REQUESTS = 256;

/** A connection on which nothing came for so many time-outs is given up. */
const IDLE_TIMEOUTS = 2;

/** How many requests of one peer are worked on at a time. */
const MAX_CONCURRENT_REQUESTS = 32;

class PeerConnection {
  private socket: Socket | null = null;
  private nextId = 1;
  /** When the peer last said anything, and when the connection was begun; steady time. */
  heardAt = -Infinity;
  private connectedAt = -Infinity;
  private readonly waiting = new Map<number, (reply: PeerReply | null) => void>();

  viewExchange: LinkViewExchange | null = null;

  constructor(
    private readonly node: string,
    private readonly address: string,
    private readonly timeoutMs: number,
    private readonly log: Logger,
  ) {}

  ask(request: PeerRequest, timeoutMs = this.timeoutMs): Promise<PeerReply> {
    return new Promise((resolve, reject) => {
      if (this.waiting.size >= MAX_PENDING_REQUESTS) {
        reject(new PeerUnreachableError(this.address));
        return;
      }
      const id = this.nextId++;
      const timer = setTimeout(() => {
        // Whatever is still under way on a connection that has gone quiet may be held by a cut: start over with a new
        // one. A peer that is only slow is left alone, or it would never get to answer anybody.
        if (performance.now() - Math.max(this.heardAt, this.connectedAt) > IDLE_TIMEOUTS * this.timeoutMs)
          this.socket?.destroy();
        settle(null);
      }, timeoutMs);
      const settle = (reply: PeerReply | null): void => {
        clearTimeout(timer);
        this.waiting.delete(id);
        if (reply === null) reject(new PeerUnreachableError(this.address));
        else resolve(reply);
      };
      this.waiting.set(id, settle);
      const linkView = this.viewExchange?.outgoing(this.node);
      this.connected().write(frameBytes({ id, reply: false, body: request, ...(linkView && { linkView }) }));
    });
  }

  close(): void {
    this.socket?.destroy();
  }

  private connected(): Socket {
    if (this.socket !== null) return this.socket;
    const colon = this.address.lastIndexOf(":");
    const socket = new Socket();
    socket.setNoDelay(true);
    socket.connect(Number(this.address.slice(colon + 1)), this.address.slice(0, colon));
    this.socket = socket;
    this.connectedAt = performance.now();
    const answers = new Writable({
      objectMode: true,
      write: (frame: Frame, _encoding, done) => {
        this.heardAt = performance.now();
        if (frame.linkView) this.viewExchange?.incoming(frame.linkView);
        if (frame.reply) this.waiting.get(frame.id)?.(frame.body);
        done();
      },
    });
    pipeline(socket, new FrameDecoder(), answers, (err) => {
      if (err) this.log.debug({ peer: this.address, err: err.message }, "peer connection ended");
      socket.destroy();
      if (this.socket === socket) this.socket = null;
      for (const settle of [...this.waiting.values()]) settle(null);
    });
    return socket;
  }
}

/** How a controller speaks with the others. */
export interface PeerNetwork {
  request(node: string, request: PeerRequest, timeoutMs?: number): Promise<PeerReply>;
  /** When any peer last answered anything; steady time. */
  readonly lastResponseAt: number;
  /** Where views of links come from and go to; null while nobody watches links. */
  viewExchange: LinkViewExchange | null;
  /** Answers the others' questions from now on; resolves to the port. */
  listen(address: string, handler: PeerHandler): Promise<number>;
  close(): void;
}

/** Connections to all other controllers, and the server for theirs. */
export class TcpPeerNetwork implements PeerNetwork {
  private readonly connections: Map<string, PeerConnection>;
  private server: Server | null = null;
  private exchange: LinkViewExchange | null = null;
  private readonly sockets = new Set<Socket>();

  constructor(
    peers: { node: string; address: string }[],
    timeoutMs: number,
    private readonly log: Logger,
  ) {
    this.connections = new Map(
      peers.map((p) => [p.node, new PeerConnection(p.node, p.address, timeoutMs, log)]),
    );
  }

  async request(node: string, request: PeerRequest, timeoutMs?: number): Promise<PeerReply> {
    const connection = this.connections.get(node);
    if (connection === undefined) throw new PeerUnreachableError(node);
    return connection.ask(request, timeoutMs);
  }

  get lastResponseAt(): number {
    return Math.max(...[...this.connections.values()].map((connection) => connection.heardAt));
  }

  get viewExchange(): LinkViewExchange | null {
    return this.exchange;
  }

  set viewExchange(exchange: LinkViewExchange | null) {
    this.exchange = exchange;
    for (const connection of this.connections.values()) connection.viewExchange = exchange;
  }

  listen(address: string, handler: PeerHandler): Promise<number> {
    this.server = createServer((socket) => {
      this.serve(socket, handler);
    });
    return listenOn(this.server, address, this.log);
  }

  close(): void {
    this.server?.close();
    for (const socket of this.sockets) socket.destroy();
    for (const connection of this.connections.values()) connection.close();
  }

  private serve(socket: Socket, handler: PeerHandler): void {
    this.sockets.add(socket);
    socket.setNoDelay(true);
    // So many questions at a time per connection: a slow one holds up no other, and a peer that asks faster than it is
    // answered feels it as backpressure.
    let open = 0;
    let resume: (() => void) | null = null;
    const questions = new Writable({
      objectMode: true,
      write: (frame: Frame, _encoding, done) => {
        if (frame.reply) {
          done(new Error("an answer to nothing"));
          return;
        }
        open++;
        // The answer carries a view where the question did, since only then it is known who asks.
        const asker = frame.linkView ? this.exchange?.incoming(frame.linkView) : null;
        handler(frame.body)
          .then((body) => {
            const linkView = asker ? this.exchange?.outgoing(asker) : undefined;
            socket.write(frameBytes({ id: frame.id, reply: true, body, ...(linkView && { linkView }) }));
          })
          .catch((err: unknown) => socket.destroy(err as Error))
          .finally(() => {
            open--;
            resume?.();
            resume = null;
          });
        if (open < MAX_CONCURRENT_REQUESTS) done();
        else resume = done;
      },
    });
    pipeline(socket, new FrameDecoder(), questions, (err) => {
      if (err) this.log.debug({ err: err.message }, "peer connection dropped");
      socket.destroy();
      this.sockets.delete(socket);
    });
  }
}
