/** How a controller exchanges messages with the others. */
import type { PeerReply, PeerRequest } from "./peer-messages.js";

/** Why a request to a peer has no reply. */
export type PeerUnreachableReason =
  "unknown_node" | "too_many_pending_requests" | "timed_out" | "connection_closed";

/** A peer did not reply in time, or cannot be reached. */
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

/** Replies to another controller's request. */
export type PeerHandler = (request: PeerRequest) => Promise<PeerReply>;

/** Views of links, which are attached to frames that are sent anyway. */
export interface LinkViewExchange {
  /** What to attach to the next frame to a controller, if it is time for a view. */
  nextOutgoingView(node: string): Uint8Array | undefined;
  /** Handles a view that came, and returns which controller it is from; null if it is dropped. */
  receiveView(view: Uint8Array): string | null;
}

/** The other controllers, and a server for their requests. */
export interface PeerNetwork {
  /**
   * Sends a request and waits for its reply.
   *
   * @throws {PeerUnreachableError} where no reply comes in time
   */
  request(node: string, request: PeerRequest, timeoutMs?: number): Promise<PeerReply>;
  /** When a frame last came from any peer that was sent a request; steady time. */
  readonly lastResponseAt: number;
  /** Where views of links come from and go to; null while the link monitor is off. */
  viewExchange: LinkViewExchange | null;
  /** Replies to the others' requests from now on; resolves to the port. */
  listen(address: string, handler: PeerHandler): Promise<number>;
  /** Closes all connections, and stops listening. */
  close(): void;
}
