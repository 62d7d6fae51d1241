/** Requests of this process to controllers: to a peer over the network, to itself directly. */
import type { UserRequest, UserResponse } from "../http/user-requests.js";
import type { TaskProgress } from "../jobs/job-service.js";
import type { PeerReply, PeerRequest } from "../peers/peer-messages.js";
import type { PeerHandler, PeerNetwork } from "../peers/peer-network.js";
import { parseJson } from "../runtime/http-body.js";
import { EMPTY_REPLY } from "./peer-request-handler.js";

/** What requests to controllers need of the rest of the process. */
export interface ControllerRequestsDependencies {
  /** This controller's name. */
  readonly node: string;
  readonly peers: Pick<PeerNetwork, "request">;
  /** Answers a request of this controller to itself. */
  readonly answerLocally: PeerHandler;
  /** The controller that owns a shard, or null where none is known. */
  readonly ownerOf: (shard: number) => string | null;
  /** How long a forwarded user's request may take, in milliseconds. */
  readonly forwardTimeoutMs: number;
}

/** Sends requests to controllers by name or by the shard that they own. */
export class ControllerRequests {
  constructor(private readonly dependencies: ControllerRequestsDependencies) {}

  /**
   * Sends a request to a controller; the reply is empty where there is none to send it to.
   * @throws PeerUnreachableError where a peer does not answer in time.
   */
  send(node: string | null, request: PeerRequest): Promise<PeerReply> {
    const { node: self, answerLocally, peers } = this.dependencies;
    if (node === self) return answerLocally(request);
    return node === null ? Promise.resolve(EMPTY_REPLY) : peers.request(node, request);
  }

  /**
   * Sends a request to the owner of a shard.
   * @throws PeerUnreachableError where a peer does not answer in time.
   */
  sendToOwner(shard: number, request: PeerRequest): Promise<PeerReply> {
    return this.send(this.dependencies.ownerOf(shard), request);
  }

  /** Asks an owner to hand its shard over; whether it is told is not waited for. */
  requestHandOver(owner: string, shard: number, targetNode: string): void {
    this.send(owner, { handOver: { shard, targetNode } }).catch(() => undefined);
  }

  /**
   * Guards against starts after a confirmed cancellation where the owner alone cannot follow the records: the watch tells
   * it otherwise, and the bound on the age of its view holds whether or not this arrives.
   */
  notifyOwnerOfCancellation(shard: number, job: string): void {
    this.sendToOwner(shard, { jobCancelled: { shard, job } }).catch(() => undefined);
  }

  /** Asks the owner of a job's shard how many of its tasks are done and running; null where it does not know. */
  async taskCounts(shard: number, job: string): Promise<TaskProgress | null> {
    const reply = await this.sendToOwner(shard, { taskCounts: { shard, job } }).catch(() => null);
    return reply !== null && "counts" in reply && reply.counts.known ? reply.counts : null;
  }

  /**
   * Has a peer answer a user's request.
   * @throws PeerUnreachableError where the peer does not answer in time.
   */
  async forward(peer: string, { method, path, body }: UserRequest): Promise<UserResponse> {
    const text = body === undefined ? "" : JSON.stringify(body);
    const request = { forwardUserRequest: { method, path, body: text } };
    const reply = await this.dependencies.peers.request(peer, request, this.dependencies.forwardTimeoutMs);
    if (!("userResponse" in reply)) return { status: 503, body: { error: "no answer" } };
    return { status: reply.userResponse.status, body: parseJson(reply.userResponse.body) ?? {} };
  }
}
