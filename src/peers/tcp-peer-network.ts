/** The peer network over TCP. */
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

/** Keeps a client connection to each other controller, and a server for their connections. */
export class TcpPeerNetwork implements PeerNetwork {
  viewExchange: LinkViewExchange | null = null;
  private readonly connections: Map<string, PeerConnection>;
  private server: PeerServer | null = null;

  /** @param timeoutMs how long to wait for a reply, in milliseconds, unless a request sets its own timeout */
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
   * @throws {PeerUnreachableError} if the peer does not reply in time, cannot be reached, or is not in the settings
   */
  async request(node: string, request: PeerRequest, timeoutMs?: number): Promise<PeerReply> {
    const connection = this.connections.get(node);
    if (connection === undefined) throw new PeerUnreachableError(node, "unknown_node");
    return connection.request(request, timeoutMs);
  }

  /** When the last frame was received from any peer; steady time in milliseconds, -Infinity if there was none. */
  get lastResponseAt(): number {
    return Math.max(...[...this.connections.values()].map((connection) => connection.lastResponseAt));
  }

  /** Starts the server for requests from peers; resolves to its port. */
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
