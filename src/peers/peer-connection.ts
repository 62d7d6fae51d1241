/** The client side of a connection to another controller: sends requests, each with a timeout, and matches replies. */
import { Socket } from "node:net";
import { pipeline, Writable } from "node:stream";
import type { Logger } from "../runtime/log.js";
import { FrameDecoder, encodeLengthPrefixedFrame } from "./framing.js";
import type { Frame, PeerReply, PeerRequest } from "./peer-messages.js";
import { PeerUnreachableError, type LinkViewExchange } from "./peer-network.js";

/** The most unanswered requests per peer; further ones fail as if the peer were unreachable, which bounds the queue. */
const MAX_PENDING_REQUESTS = 256;

/** A connection on which nothing is received for this many request timeouts is closed. */
const MAX_IDLE_TIMEOUTS = 2;

/** Another controller and the address of its peer server. */
export interface PeerAddress {
  node: string;
  /** `host:port`. */
  address: string;
}

/** The peer, the settings and the services that a connection uses. */
export interface PeerConnectionDependencies {
  readonly peer: PeerAddress;
  /** How long to wait for a reply, in milliseconds, unless a request sets its own timeout. */
  readonly timeoutMs: number;
  readonly log: Logger;
  /** The current source and destination of link views; null while the link monitor is off. */
  readonly viewExchange: () => LinkViewExchange | null;
}

interface PendingRequest {
  readonly resolve: (reply: PeerReply) => void;
  readonly reject: (error: PeerUnreachableError) => void;
}

/** A connection that is opened by the first request, and reopened by the next request after it is closed. */
export class PeerConnection {
  private socket: Socket | null = null;
  private nextRequestId = 1;
  private lastFrameReceivedAt = -Infinity;
  private connectedAt = -Infinity;
  private readonly pendingRequests = new Map<number, PendingRequest>();

  constructor(private readonly dependencies: PeerConnectionDependencies) {}

  /** When the last frame was received from the peer, steady time in milliseconds; -Infinity if there was none. */
  get lastResponseAt(): number {
    return this.lastFrameReceivedAt;
  }

  /**
   * Sends a request and waits for its reply.
   *
   * @throws {PeerUnreachableError} if no reply is received in time, the connection closes, or too many requests are
   *   pending
   */
  request(request: PeerRequest, timeoutMs = this.dependencies.timeoutMs): Promise<PeerReply> {
    return new Promise((resolve, reject) => {
      if (this.pendingRequests.size >= MAX_PENDING_REQUESTS) {
        reject(this.unreachable("too_many_pending_requests"));
        return;
      }
      const id = this.nextRequestId++;
      const timer = setTimeout(() => {
        this.onTimeout(id);
      }, timeoutMs);
      this.addPendingRequest(id, timer, { resolve, reject });
      this.send(id, request);
    });
  }

  /** Closes the connection; all pending requests are rejected. */
  close(): void {
    this.socket?.destroy();
  }

  private addPendingRequest(id: number, timer: NodeJS.Timeout, { resolve, reject }: PendingRequest): void {
    const removePending = (): void => {
      clearTimeout(timer);
      this.pendingRequests.delete(id);
    };
    this.pendingRequests.set(id, {
      resolve: (reply) => {
        removePending();
        resolve(reply);
      },
      reject: (error) => {
        removePending();
        reject(error);
      },
    });
  }

  private onTimeout(id: number): void {
    // A connection without any inbound data may be stuck in a network partition, so it is closed and the next request
    // opens a new one. A peer that is merely slow keeps its connection; otherwise its late replies would never arrive.
    const idleSince = Math.max(this.lastFrameReceivedAt, this.connectedAt);
    if (performance.now() - idleSince > MAX_IDLE_TIMEOUTS * this.dependencies.timeoutMs)
      this.socket?.destroy();
    this.pendingRequests.get(id)?.reject(this.unreachable("timed_out"));
  }

  private send(id: number, request: PeerRequest): void {
    const { peer, viewExchange } = this.dependencies;
    const linkView = viewExchange()?.nextOutgoingView(peer.node);
    const frame: Frame = { id, reply: false, body: request, ...(linkView && { linkView }) };
    this.connectedSocket().write(encodeLengthPrefixedFrame(frame));
  }

  private connectedSocket(): Socket {
    if (this.socket !== null) return this.socket;
    const { address } = this.dependencies.peer;
    const colon = address.lastIndexOf(":");
    const socket = new Socket();
    socket.setNoDelay(true);
    socket.connect(Number(address.slice(colon + 1)), address.slice(0, colon));
    this.socket = socket;
    this.connectedAt = performance.now();
    const frameReceiver = new Writable({
      objectMode: true,
      write: (frame: Frame, _encoding, done) => {
        this.handleFrame(frame);
        done();
      },
    });
    pipeline(socket, new FrameDecoder(), frameReceiver, (err) => {
      this.onClosed(socket, err ?? null);
    });
    return socket;
  }

  private handleFrame(frame: Frame): void {
    this.lastFrameReceivedAt = performance.now();
    if (frame.linkView) this.dependencies.viewExchange()?.receiveView(frame.linkView);
    if (frame.reply) this.pendingRequests.get(frame.id)?.resolve(frame.body);
  }

  private onClosed(socket: Socket, err: Error | null): void {
    const { log, peer } = this.dependencies;
    if (err) log.debug({ peer: peer.address, err }, "peer connection closed");
    socket.destroy();
    if (this.socket === socket) this.socket = null;
    for (const pending of [...this.pendingRequests.values()])
      pending.reject(this.unreachable("connection_closed", err));
  }

  private unreachable(
    reason: PeerUnreachableError["reason"],
    cause: Error | null = null,
  ): PeerUnreachableError {
    return new PeerUnreachableError(this.dependencies.peer.node, reason, cause ? { cause } : undefined);
  }
}
