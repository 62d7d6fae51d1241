/**
 * Forwards to another controller what this one cannot answer: a node that the state service refuses, or that is cut off
 * from it, still serves the users whose connections it holds.
 */
import type { SteadyClock } from "../runtime/clock.js";
import type { Logger } from "../runtime/log.js";
import type { UserResponse, UserRequestHandler, UserRequest } from "./user-requests.js";

/** What the forwarder needs of the rest of the process. */
export interface RequestForwarderDependencies {
  /** Answers requests in this process. */
  readonly localHandler: UserRequestHandler;
  /** Names of all other controllers. */
  readonly peers: string[];
  /** Sends a request to a peer, which answers itself or not at all: a request is forwarded once. */
  readonly forward: (peer: string, request: UserRequest) => Promise<UserResponse>;
  /** Whether this node is known to be behind, so that answering by itself only costs time. */
  readonly isBehind: () => boolean;
  /** Whether no controller can answer now, so that forwarding only costs time. */
  readonly isClusterUnavailable: () => boolean;
  /** How long a peer that could not answer gets no further request, in milliseconds. */
  readonly peerBackoffMs: number;
  readonly clock: SteadyClock;
  readonly log: Logger;
}

/** The most peers that one request is forwarded to. */
const MAX_FORWARD_ATTEMPTS = 2;

const UNAVAILABLE: UserResponse = { status: 503, body: { error: "cannot answer now" } };

/** Answers users' requests in this process, or forwards them to a peer. */
export class RequestForwarder implements UserRequestHandler {
  /** Peers that could not answer lately. In an outage none can, and requests must not circulate. */
  private readonly backoffEndsAt = new Map<string, number>();
  /** The position among the peers at which the next choice of candidates starts. */
  private nextPeerIndex = 0;

  constructor(private readonly dependencies: RequestForwarderDependencies) {}

  /** Answers a request; a response with status 503 is that of this node where no peer has a better one. */
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
      log.debug({ peer, err }, "user request not answered by peer");
      this.backoffEndsAt.set(peer, clock() + peerBackoffMs);
      return UNAVAILABLE;
    }
  }

  /** Peers to forward to: all take turns, and those that could not answer lately are left out. */
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
