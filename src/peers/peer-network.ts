/** The interface through which a controller exchanges messages with the other controllers. */
import type { PeerReply, PeerRequest } from "./peer-messages.js";

/** Why a request to a peer failed. */
export type PeerUnreachableReason =
  "unknown_node" | "too_many_pending_requests" | "timed_out" | "connection_closed";

/** Thrown when a peer does not reply in time or cannot be reached. */
export class PeerUnreachableError extends Error {
  override readonly name = "PeerUnreachableError";

  constructor(
    readonly node: string,
    readonly reason: PeerUnreachableReason,
    options?: ErrorOptions,
  ) {
    super(`controller ${node} is unreachable: ${reason}`, options);
  }
}

/** Handles a request from another controller and resolves to the reply. */
export type PeerHandler = (request: PeerRequest) => Promise<PeerReply>;

/** Supplies and receives link views, which are piggybacked on frames between controllers. */
export interface LinkViewExchange {
  /** The encoded view to attach to the next frame to a controller; undefined if none is due yet. */
  nextOutgoingView(node: string): Uint8Array | undefined;
  /** Processes a received view and returns the name of the controller that sent it; null if the view is dropped. */
  receiveView(view: Uint8Array): string | null;
}

/** Sends requests to the other controllers and serves theirs. */
export interface PeerNetwork {
  /**
   * Sends a request and waits for its reply.
   *
   * @throws {PeerUnreachableError} if no reply is received in time or the peer cannot be reached
   */
  request(node: string, request: PeerRequest, timeoutMs?: number): Promise<PeerReply>;
  /** When the last frame was received on any connection that this node opened; steady time in milliseconds. */
  readonly lastResponseAt: number;
  /** The source and destination of link views; null while the link monitor is off. */
  viewExchange: LinkViewExchange | null;
  /** Starts the server for requests from other controllers; resolves to its port. */
  listen(address: string, handler: PeerHandler): Promise<number>;
  /** Stops listening and closes all connections. */
  close(): void;
}
