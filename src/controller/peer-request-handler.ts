/** Answers requests of other controllers: each is passed to the actor that it is for. */
import type { Autoscaler } from "../autoscaling/autoscaler.js";
import type { UserRequestHandler } from "../http/user-requests.js";
import type { LinkStatus } from "../links/status.js";
import type { Membership } from "../membership/membership.js";
import type { PeerReply, PeerRequest, ShardLoadReport, ShardSummary } from "../peers/peer-messages.js";
import type { ShardOwner } from "../shards/shard-owner.js";
import { parseJson } from "../runtime/http-body.js";

/** The reply to a request that asks for no data. */
export const EMPTY_REPLY: PeerReply = { accepted: { hosts: [] } };

/** The parts of the controller that requests of other controllers are passed to. */
export interface PeerRequestTargets {
  readonly autoscaler: Autoscaler;
  readonly membership: Membership;
  readonly users: UserRequestHandler;
  /** The owner of a shard, if it is in this process. */
  readonly ownerOf: (shard: number) => ShardOwner | undefined;
  /** Whether a shard may be handed over for the sake of its workers. */
  readonly tryAcquireHandOver: (shard: number) => boolean;
  /** The state of this controller's links. */
  readonly linkStatus: () => LinkStatus;
  /** Records the load of a shard and returns the loads of all shards. */
  readonly recordSummary: (summary: ShardSummary) => ShardLoadReport[];
}

/** The body of one kind of request. */
type BodyOf<Kind extends string> = Extract<PeerRequest, Record<Kind, unknown>>[Kind];

/** Answers requests of other controllers, and of this process to itself. */
export class PeerRequestHandler {
  constructor(private readonly targets: PeerRequestTargets) {}

  /** Answers one request. A kind that this version does not know gets an empty reply. */
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
    const response = await this.targets.users.handle({ method, path, body: parseJson(body) });
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
    // One worker alone is weak evidence; if none reaches this node any more, the shard is better owned where they go.
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
