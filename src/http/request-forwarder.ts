/**
 * Passes on to another controller what this one cannot answer: a node that the state service alone refuses, or that a
 * cut keeps from it, still serves the users whose connections it holds.
 */
import type { SteadyClock } from "../runtime/clock.js";
import type { Logger } from "../runtime/log.js";
import type { UserResponse, UserRequestHandler, UserRequest } from "./user-requests.js";

/** What the relay needs of the rest of the process. */
export interface RequestForwarderDependencies {
  own: UserRequestHandler;
  peers: string[];
  /** Asks a peer, which answers itself or not at all: a request is passed on once. */
  forward: (peer: string, request: UserRequest) => Promise<UserResponse>;
  /** Whether this node is known to be behind, so that asking itself only costs time. */
  isBehind: () => boolean;
  /** Whether no controller can answer now, so that asking peers only costs time. */
  isOutage: () => boolean;
  /** How long a peer that could not answer is not asked again. */
  pauseMs: number;
  clock: SteadyClock;
  log: Logger;
}

/** So many peers are asked about one request. */
const TRIES = 2;

const UNAVAILABLE: UserResponse = { status: 503, body: { error: "cannot answer now" } };

/** Answers users' requests itself, or passes them to a peer once. */
export class RequestForwarder implements UserRequestHandler {
  /** Peers that could not answer lately. In an outage nobody can, and requests must not go round. */
  private readonly pausedUntil = new Map<string, number>();
  private next = 0;

  constructor(private readonly parts: RequestForwarderDependencies) {}

  async handle(request: UserRequest): Promise<UserResponse> {
    const { own, isBehind } = this.parts;
    const first = isBehind() ? UNAVAILABLE : await own.handle(request);
    if (first.status !== 503 || this.parts.isOutage()) return first;
    for (const peer of this.candidates()) {
      const answer = await this.askPeer(peer, request);
      if (answer.status !== 503) return answer;
    }
    return first;
  }

  private async askPeer(peer: string, request: UserRequest): Promise<UserResponse> {
    const { forward, clock, pauseMs, log } = this.parts;
    try {
      const answer = await forward(peer, request);
      if (answer.status === 503) this.pausedUntil.set(peer, clock() + pauseMs);
      return answer;
    } catch (err) {
      log.debug({ peer, err: (err as Error).message }, "peer does not take a user's request");
      this.pausedUntil.set(peer, clock() + pauseMs);
      return UNAVAILABLE;
    }
  }

  private candidates(): string[] {
    const { peers, clock } = this.parts;
    const now = clock();
    const start = this.next++;
    return peers
      .map((_, i) => peers[(start + i) % peers.length]!)
      .filter((peer) => (this.pausedUntil.get(peer) ?? -Infinity) <= now)
      .slice(0, TRIES);
  }
}
