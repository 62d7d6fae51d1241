/** Handles requests from other controllers by passing each to the component responsible for it. */
import type { Autoscaler } from "../autoscaling/autoscaler.js";
import type { UserRequestHandler } from "../http/user-requests.js";
import type { LinkStatus } from "../links/status.js";
import type { Membership } from "../membership/membership.js";
import type { PeerReply, PeerRequest, ShardLoadReport, ShardSummary } from "../peers/peer-messages.js";
import type { ShardOwner } from "../shards/shard-owner.js";
import { parseJson } from "../runtime/http-body.js";

/** The reply that carries no data. */
export const EMPTY_REPLY: PeerReply = { accepted: { hosts: [] } };

/** The components that requests from other controllers are passed to. */
export interface PeerRequestTargets {
  readonly autoscaler: Autoscaler;
  readonly membership: Membership;
  readonly userRequestHandler: UserRequestHandler;
  /** The owner of a shard; undefined if this process does not own it. */
  readonly ownerOf: (shard: number) => ShardOwner | undefined;
  /** Whether a shard may be handed over because its workers reach a peer instead. If true, it counts as an attempt. */
  readonly tryAcquireHandOver: (shard: number) => boolean;
  /** The state of this controller's links. */
  readonly linkStatus: () => LinkStatus;
  /** Records a shard's load; returns the loads of all shards if jobs are assigned by load. */
  readonly recordSummary: (summary: ShardSummary) => ShardLoadReport[];
}

/** The body of a request of the given kind. */
type BodyOf<Kind extends string> = Extract<PeerRequest, Record<Kind, unknown>>[Kind];

/** Handles requests from other controllers, and those that this process sends to itself. */
export class PeerRequestHandler {
  constructor(private readonly targets: PeerRequestTargets) {}

  /** Handles one request. The reply is empty if this version does not know the kind of request. */
  async handle(request: PeerRequest): Promise<PeerReply> {
    if ("summary" in request) return this.handleSummary(request.summary);
    if ("linkStatus" in request) return this.handleLinkStatus();
    if ("forwardUserRequest" in request) return this.handleForward(request.forwardUserRequest);
    if ("taskCounts" in request) return this.handleTaskCounts(request.taskCounts);
    if ("drainMachines" in request) return this.handleDrain(request.drainMachines);
    if ("transferMachines" in request) return this.handleMachineTransfer(request.transferMachines);
    if ("handOver" in request) return this.handleHandOver(request.handOver);
    if ("misroutedHeartbeat" in request) return this.handleMisroutedHeartbeat(request.misroutedHeartbeat);
    if ("jobCancelled" in request) return this.handleCancelled(request.jobCancelled);
    if ("migrateJob" in request) return this.handleJobMigration(request.migrateJob);
    if ("cordonMachine" in request) return this.handleCordon(request.cordonMachine);
    if ("ping" in request) return EMPTY_REPLY;
    request satisfies never;
    return EMPTY_REPLY;
  }

  private async handleSummary(summary: ShardSummary): Promise<PeerReply> {
    const shards = this.targets.recordSummary(summary);
    await this.targets.autoscaler.ask<boolean>((reply) => ({ kind: "summary", summary, reply }));
    return { loads: { shards } };
  }

  private handleLinkStatus(): PeerReply {
    return { linkReport: { json: JSON.stringify(this.targets.linkStatus()) } };
  }

  private async handleForward({ method, path, body }: BodyOf<"forwardUserRequest">): Promise<PeerReply> {
    const response = await this.targets.userRequestHandler.handle({ method, path, body: parseJson(body) });
    return { userResponse: { status: response.status, body: JSON.stringify(response.body) } };
  }

  private async handleTaskCounts({ shard, job }: BodyOf<"taskCounts">): Promise<PeerReply> {
    const owner = this.targets.ownerOf(shard);
    if (owner === undefined) return { counts: { known: false, done: 0, running: 0 } };
    return { counts: await owner.ask((reply) => ({ kind: "task_counts", job, reply })) };
  }

  private async handleDrain({ shard, hosts }: BodyOf<"drainMachines">): Promise<PeerReply> {
    const owner = this.targets.ownerOf(shard);
    if (owner === undefined) return EMPTY_REPLY;
    const accepted = await owner.ask<string[]>((reply) => ({ kind: "drain_machines", hosts, reply }));
    return { accepted: { hosts: accepted } };
  }

  private async handleMachineTransfer({
    shard,
    targetShard,
    hosts,
  }: BodyOf<"transferMachines">): Promise<PeerReply> {
    const owner = this.targets.ownerOf(shard);
    if (owner === undefined) return EMPTY_REPLY;
    const accepted = await owner.ask<string[]>((reply) => ({
      kind: "transfer_machines",
      targetShard,
      hosts,
      reply,
    }));
    return { accepted: { hosts: accepted } };
  }

  private handleHandOver({ shard, targetNode }: BodyOf<"handOver">): PeerReply {
    this.targets.membership.tell({ kind: "hand_over", shard, successor: targetNode });
    return EMPTY_REPLY;
  }

  private handleMisroutedHeartbeat({ shard, receivedBy }: BodyOf<"misroutedHeartbeat">): PeerReply {
    // A single misrouted worker is weak evidence. If no worker reaches this node any more, the shard is handed over to
    // the node that received the heartbeat.
    if (this.targets.ownerOf(shard)?.isCutOffFromWorkers && this.targets.tryAcquireHandOver(shard))
      this.targets.membership.tell({ kind: "hand_over", shard, successor: receivedBy });
    return EMPTY_REPLY;
  }

  private handleCancelled({ shard, job }: BodyOf<"jobCancelled">): PeerReply {
    this.targets.ownerOf(shard)?.tell({ kind: "job_cancelled", job });
    return EMPTY_REPLY;
  }

  private handleJobMigration({ shard, targetShard, job }: BodyOf<"migrateJob">): PeerReply {
    this.targets.ownerOf(shard)?.tell({ kind: "migrate_job", targetShard, job });
    return EMPTY_REPLY;
  }

  private handleCordon({ shard, targetShard, demand }: BodyOf<"cordonMachine">): PeerReply {
    this.targets.ownerOf(shard)?.tell({ kind: "cordon_machine", targetShard, demand });
    return EMPTY_REPLY;
  }
}
