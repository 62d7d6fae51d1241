/** Reports the outcome of calls between controllers to the link monitor, without changing the calls. */
import { peerLink, type ObservationSink } from "../links/model.js";
import type { PeerReply, PeerRequest } from "./peer-messages.js";
import {
  PeerUnreachableError,
  type LinkViewExchange,
  type PeerHandler,
  type PeerNetwork,
} from "./peer-network.js";

/** Whether the peer calls other services before it replies, so that a slow reply says nothing about the link. */
function waitsForOtherServices(request: PeerRequest): boolean {
  return "forwardUserRequest" in request || "drainMachines" in request || "transferMachines" in request;
}

/** Decorates a peer network: each request that is answered, or times out, is reported as an observation of the link. */
export class ObservedPeerNetwork implements PeerNetwork {
  constructor(
    private readonly network: PeerNetwork,
    private readonly sink: ObservationSink,
  ) {}

  /** When the last frame was received from any peer; steady time in milliseconds. */
  get lastResponseAt(): number {
    return this.network.lastResponseAt;
  }

  /** Supplies and receives link views; null while the link monitor is off. */
  get viewExchange(): LinkViewExchange | null {
    return this.network.viewExchange;
  }

  /** Sets the link view exchange of all connections. */
  set viewExchange(exchange: LinkViewExchange | null) {
    this.network.viewExchange = exchange;
  }

  /**
   * Sends a request to a peer and reports whether it replied.
   *
   * @throws {PeerUnreachableError} if the peer does not reply in time or cannot be reached
   */
  async request(node: string, request: PeerRequest, timeoutMs?: number): Promise<PeerReply> {
    const link = peerLink(node);
    try {
      const reply = await this.network.request(node, request, timeoutMs);
      this.sink({ kind: "delivered", link, direction: "outbound" });
      this.sink({ kind: "delivered", link, direction: "inbound" });
      return reply;
    } catch (err) {
      if (err instanceof PeerUnreachableError && !waitsForOtherServices(request))
        this.sink({ kind: "unanswered", link });
      throw err;
    }
  }

  /** Starts the server for requests from peers; resolves to its port. */
  listen(address: string, handler: PeerHandler): Promise<number> {
    return this.network.listen(address, handler);
  }

  /** Closes the server and all connections. */
  close(): void {
    this.network.close();
  }
}
