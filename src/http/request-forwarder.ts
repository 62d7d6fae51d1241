/**
 * Forwards user requests that this controller cannot answer to another controller. A node that is refused by the state
 * store, or partitioned from it, can thus still serve the users that are connected to it.
 */
import type { SteadyClock } from "../runtime/clock.js";
import type { Logger } from "../runtime/log.js";
import type { UserResponse, UserRequestHandler, UserRequest } from "./user-requests.js";

/** The local handler, the peers and the services that the forwarder uses. */
export interface RequestForwarderDependencies {
  /** Answers requests in this process. */
  readonly localHandler: UserRequestHandler;
  /** The names of all other controllers. */
  readonly peers: string[];
  /** Sends a request to a peer, which answers locally or with 503: a request is forwarded only once. */
  readonly forward: (peer: string, request: UserRequest) => Promise<UserResponse>;
  /** Whether this node's replica is known to be behind, so that a local attempt would only cost time. */
  readonly isBehind: () => boolean;
  /** Whether no controller can answer at present, so that forwarding would only cost time. */
  readonly isClusterUnavailable: () => boolean;
  /** How long a peer that could not answer is skipped, in milliseconds. */
  readonly peerBackoffMs: number;
  readonly clock: SteadyClock;
  readonly log: Logger;
}

/** The most peers that are tried for one request. */
const MAX_FORWARD_ATTEMPTS = 2;

const UNAVAILABLE: UserResponse = { status: 503, body: { error: "cannot answer now" } };

/** Answers users' requests locally, or forwards them to a peer. */
export class RequestForwarder implements UserRequestHandler {
  /** When the backoff of a peer that could not answer ends. Keeps requests from circulating during an outage of all. */
  private readonly backoffEndsAt = new Map<string, number>();
  /** The round-robin position at which the next selection of peers starts. */
  private nextPeerIndex = 0;

  constructor(private readonly dependencies: RequestForwarderDependencies) {}

  /** Answers a request. If neither this node nor a peer can answer, the response is this node's, with status 503. */
  async handle(request: UserRequest): Promise<UserResponse> {
    const { localHandler, isBehind } = this.dependencies;
    const localResponse = isBehind() ? UNAVAILABLE : await localHandler.handle(request);
    if (localResponse.status !== 503 || this.dependencies.isClusterUnavailable()) return localResponse;
    for (const peer of this.availablePeers()) {
      const response = await this.forwardTo(peer, request);
      if (response.status !== 503) return response;
    }
    return localResponse;
  }

  private async forwardTo(peer: string, request: UserRequest): Promise<UserResponse> {
    const { forward, clock, peerBackoffMs, log } = this.dependencies;
    try {
      const response = await forward(peer, request);
      if (response.status === 503) this.backoffEndsAt.set(peer, clock() + peerBackoffMs);
      return response;
    } catch (err) {
      log.debug({ peer, err }, "failed to forward a user request to a peer");
      this.backoffEndsAt.set(peer, clock() + peerBackoffMs);
      return UNAVAILABLE;
    }
  }

  /** The peers to try, in round-robin order, without those in backoff. */
  private availablePeers(): string[] {
    const { peers, clock } = this.dependencies;
    const now = clock();
    const start = this.nextPeerIndex++;
    return peers
      .map((_, offset) => peers[(start + offset) % peers.length]!)
      .filter((peer) => (this.backoffEndsAt.get(peer) ?? -Infinity) <= now)
      .slice(0, MAX_FORWARD_ATTEMPTS);
  }
}
