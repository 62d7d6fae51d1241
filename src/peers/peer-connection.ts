/** The client side of a connection to another controller: requests out, replies back, each with a deadline. */
import { Socket } from "node:net";
import { pipeline, Writable } from "node:stream";
import type { Logger } from "../runtime/log.js";
import { FrameDecoder, encodeLengthPrefixedFrame } from "./framing.js";
import type { Frame, PeerReply, PeerRequest } from "./peer-messages.js";
import { PeerUnreachableError, type LinkViewExchange } from "./peer-network.js";

/** Past this many unanswered requests a peer counts as unreachable: nothing may queue without bound. */
const MAX_PENDING_REQUESTS = 256;

/** A connection on which nothing came for so many time-outs is closed. */
const MAX_IDLE_TIMEOUTS = 2;

/** Another controller, and the address at which it listens for peers. */
export interface PeerAddress {
  node: string;
  /** Host and port, with a colon between. */
  address: string;
}

/** What a connection is made from. */
export interface PeerConnectionDependencies {
  readonly peer: PeerAddress;
  /** How long to wait for a reply where a request does not say otherwise. */
  readonly timeoutMs: number;
  readonly log: Logger;
  /** Where views of links come from and go to now; null while the link monitor is off. */
  readonly viewExchange: () => LinkViewExchange | null;
}

interface PendingRequest {
  readonly resolve: (reply: PeerReply) => void;
  readonly reject: (error: PeerUnreachableError) => void;
}

/** A connection that is made when it is needed, and made again after it was closed. */
export class PeerConnection {
  private socket: Socket | null = null;
  private nextRequestId = 1;
  private lastFrameReceivedAt = -Infinity;
  private connectedAt = -Infinity;
  private readonly pendingRequests = new Map<number, PendingRequest>();

  constructor(private readonly dependencies: PeerConnectionDependencies) {}

  /** When a frame last came from the peer; steady time. */
  get lastResponseAt(): number {
    return this.lastFrameReceivedAt;
  }

  /**
   * Sends a request and waits for its reply.
   *
   * @throws {PeerUnreachableError} where no reply comes in time
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

  /** Closes the connection; pending requests fail. */
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
    // Whatever is still under way on a connection on which nothing comes may be held by a cut: a new one is made. A peer
    // that is only slow keeps its connection, or it would never get to reply to anybody.
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
