/** The other controllers over TCP: a connection to each, and a server for theirs. */
import type { Logger } from "../runtime/log.js";
import { PeerConnection, type PeerAddress } from "./peer-connection.js";
import type { PeerReply, PeerRequest } from "./peer-messages.js";
import {
  PeerUnreachableError,
  type LinkViewExchange,
  type PeerHandler,
  type PeerNetwork,
} from "./peer-network.js";
import { PeerServer } from "./peer-server.js";

/** Connections to all other controllers, and the server for theirs. */
export class TcpPeerNetwork implements PeerNetwork {
  viewExchange: LinkViewExchange | null = null;
  private readonly connections: Map<string, PeerConnection>;
  private server: PeerServer | null = null;

  /** @param timeoutMs how long to wait for a reply where a request does not say otherwise */
  constructor(
    peers: PeerAddress[],
    timeoutMs: number,
    private readonly log: Logger,
  ) {
    const viewExchange = (): LinkViewExchange | null => this.viewExchange;
    this.connections = new Map(
      peers.map((peer) => [peer.node, new PeerConnection({ peer, timeoutMs, log, viewExchange })]),
    );
  }

  /**
   * Sends a request to a peer.
   *
   * @throws PeerUnreachableError where the peer does not answer in time, or is not in the settings
   */
  async request(node: string, request: PeerRequest, timeoutMs?: number): Promise<PeerReply> {
    const connection = this.connections.get(node);
    if (connection === undefined) throw new PeerUnreachableError(node, "unknown_node");
    return connection.request(request, timeoutMs);
  }

  /** When any peer last answered; steady time in milliseconds. */
  get lastResponseAt(): number {
    return Math.max(...[...this.connections.values()].map((connection) => connection.lastResponseAt));
  }

  /** Listens to peers' requests; resolves to the port. */
  listen(address: string, handler: PeerHandler): Promise<number> {
    this.server = new PeerServer({ handler, log: this.log, viewExchange: () => this.viewExchange });
    return this.server.listen(address);
  }

  /** Closes the server and all connections. */
  close(): void {
    this.server?.close();
    for (const connection of this.connections.values()) connection.close();
  }
}
