/** Lets the link monitor observe the calls between controllers, without changing them. */
import { peerLink, type ObservationSink } from "../links/model.js";
import type { PeerReply, PeerRequest } from "./peer-messages.js";
import {
  PeerUnreachableError,
  type LinkViewExchange,
  type PeerHandler,
  type PeerNetwork,
} from "./peer-network.js";

/** Whether the reply to a request waits for other services: that it takes long says nothing about the link. */
function waitsForOtherServices(request: PeerRequest): boolean {
  return "forwardUserRequest" in request || "drainMachines" in request || "transferMachines" in request;
}

/** A network whose requests and replies are reported to the link monitor. */
export class ObservedPeerNetwork implements PeerNetwork {
  constructor(
    private readonly network: PeerNetwork,
    private readonly sink: ObservationSink,
  ) {}

  /** When any peer last answered; steady time in milliseconds. */
  get lastResponseAt(): number {
    return this.network.lastResponseAt;
  }

  /** The exchange of link views; null while no link monitor runs. */
  get viewExchange(): LinkViewExchange | null {
    return this.network.viewExchange;
  }

  /** Sets the exchange of link views for all connections. */
  set viewExchange(exchange: LinkViewExchange | null) {
    this.network.viewExchange = exchange;
  }

  /**
   * Sends a request to a peer and reports whether it was answered.
   *
   * @throws PeerUnreachableError where the peer does not answer in time
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

  /** Listens to peers' requests; resolves to the port. */
  listen(address: string, handler: PeerHandler): Promise<number> {
    return this.network.listen(address, handler);
  }

  /** Closes the server and all connections. */
  close(): void {
    this.network.close();
  }
}
