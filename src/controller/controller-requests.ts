/** Sends requests to controllers: to peers over the network, to this controller by a direct call. */
import type { UserRequest, UserResponse } from "../http/user-requests.js";
import type { TaskProgress } from "../jobs/job-service.js";
import type { PeerReply, PeerRequest } from "../peers/peer-messages.js";
import type { PeerHandler, PeerNetwork } from "../peers/peer-network.js";
import { parseJson } from "../runtime/http-body.js";
import { EMPTY_REPLY } from "./peer-request-handler.js";

/** Dependencies of `ControllerRequests`. */
export interface ControllerRequestsDependencies {
  /** This controller's name. */
  readonly node: string;
  readonly peers: Pick<PeerNetwork, "request">;
  /** Handles a request that this controller sends to itself. */
  readonly answerLocally: PeerHandler;
  /** The controller that owns a shard, or null if no owner is known. */
  readonly ownerOf: (shard: number) => string | null;
  /** Timeout of a forwarded user request, in milliseconds. */
  readonly forwardTimeoutMs: number;
}

/** Sends requests to controllers, addressed by name or by the shard that they own. */
export class ControllerRequests {
  constructor(private readonly dependencies: ControllerRequestsDependencies) {}

  /**
   * Sends a request to a controller. If `node` is null, nothing is sent and the reply is empty.
   * @throws PeerUnreachableError if a peer does not respond in time
   */
  send(node: string | null, request: PeerRequest): Promise<PeerReply> {
    const { node: self, answerLocally, peers } = this.dependencies;
    if (node === self) return answerLocally(request);
    return node === null ? Promise.resolve(EMPTY_REPLY) : peers.request(node, request);
  }

  /**
   * Sends a request to the owner of a shard. If no owner is known, nothing is sent and the reply is empty.
   * @throws PeerUnreachableError if a peer does not respond in time
   */
  sendToOwner(shard: number, request: PeerRequest): Promise<PeerReply> {
    return this.send(this.dependencies.ownerOf(shard), request);
  }

  /**
   * Asks the owner of a shard to hand it over to the node `successor`. The result is not awaited, errors are ignored.
   */
  requestHandOver(owner: string, shard: number, successor: string): void {
    this.send(owner, { handOver: { shard, targetNode: successor } }).catch(() => undefined);
  }

  /**
   * Tells the owner of a job's shard that the job was cancelled, so that it starts no further tasks of a job whose
   * cancellation is confirmed, even if it alone cannot follow the records. Usually it learns of the cancellation from
   * its watch. Delivery is not required for safety: the maximum age of the owner's view holds in any case.
   */
  notifyOwnerOfCancellation(shard: number, job: string): void {
    this.sendToOwner(shard, { jobCancelled: { shard, job } }).catch(() => undefined);
  }

  /** Asks the owner of a job's shard how many tasks are done and running; null if it does not know or respond. */
  async taskCounts(shard: number, job: string): Promise<TaskProgress | null> {
    const reply = await this.sendToOwner(shard, { taskCounts: { shard, job } }).catch(() => null);
    return reply !== null && "counts" in reply && reply.counts.known ? reply.counts : null;
  }

  /**
   * Forwards a user's request to a peer and returns the peer's response.
   * @throws PeerUnreachableError if the peer does not respond in time
   */
  async forward(peer: string, { method, path, body }: UserRequest): Promise<UserResponse> {
    const text = body === undefined ? "" : JSON.stringify(body);
    const request = { forwardUserRequest: { method, path, body: text } };
    const reply = await this.dependencies.peers.request(peer, request, this.dependencies.forwardTimeoutMs);
    if (!("userResponse" in reply)) return { status: 503, body: { error: "no answer" } };
    return { status: reply.userResponse.status, body: parseJson(reply.userResponse.body) ?? {} };
  }
}
