/** Lets the link monitor see what passes between controllers anyway, without changing it. */
import { peerLink, type ObservationSink } from "../links/model.js";
import {
  PeerUnreachableError,
  type PeerHandler,
  type PeerNetwork,
  type LinkViewExchange,
} from "./network.js";
import type { PeerReply, PeerRequest } from "./messages.js";

/** Requests whose answers wait for other services: that they take long says nothing about the peer. */
const waitsForOthers = (request: PeerRequest): boolean =>
  "forward" in request || "drain" in request || "give" in request;

/** A network whose questions and answers are told to the monitor. */
export class ObservedPeerNetwork implements PeerNetwork {
  constructor(
    private readonly network: PeerNetwork,
    private readonly sink: ObservationSink,
  ) {}

  get lastResponseAt(): number {
    return this.network.lastResponseAt;
  }

  get viewExchange(): LinkViewExchange | null {
    return this.network.viewExchange;
  }

  set viewExchange(exchange: LinkViewExchange | null) {
    this.network.viewExchange = exchange;
  }

  async request(node: string, request: PeerRequest, timeoutMs?: number): Promise<PeerReply> {
    const link = peerLink(node);
    try {
      const reply = await this.network.request(node, request, timeoutMs);
      this.sink({ kind: "delivered", link, direction: "outbound" });
      this.sink({ kind: "delivered", link, direction: "inbound" });
      return reply;
    } catch (err) {
      if (err instanceof PeerUnreachableError && !waitsForOthers(request))
        this.sink({ kind: "unanswered", link });
      throw err;
    }
  }

  listen(address: string, handler: PeerHandler): Promise<number> {
    return this.network.listen(address, handler);
  }

  close(): void {
    this.network.close();
  }
}
