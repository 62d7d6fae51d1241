/** Answers what other controllers ask: each request goes to the actor that it is for. */
import type { Autoscaler } from "../autoscaling/autoscaler.js";
import type { UserRequestHandler } from "../http/user-requests.js";
import type { LinkStatus } from "../links/status.js";
import type { Membership } from "../membership/membership.js";
import type { PeerReply, PeerRequest, ShardLoadReport, ShardSummary } from "../peers/peer-messages.js";
import type { ShardOwner } from "../shards/shard-owner.js";
import { parseJson } from "../runtime/http-body.js";

/** The answer where there is nothing to say. */
export const EMPTY_REPLY: PeerReply = { accepted: { hosts: [] } };

/** Where requests of other controllers go. */
export interface PeerRequestTargets {
  autoscaler: Autoscaler;
  membership: Membership;
  users: UserRequestHandler;
  /** The owner of a shard, if it is in this process. */
  ownerOf: (shard: number) => ShardOwner | undefined;
  /** Whether a shard may be handed over for the sake of its workers. */
  mayHandOver: (shard: number) => boolean;
  /** The state of this controller's links. */
  linkStatus: () => LinkStatus;
  /** Takes in how full a shard is, and tells how full all are. */
  recordSummary: (summary: ShardSummary) => ShardLoadReport[];
}

/** Answers one request of another controller, or of this process itself. */
export async function handlePeerRequest(
  request: PeerRequest,
  targets: PeerRequestTargets,
): Promise<PeerReply> {
  const { autoscaler, membership, users, ownerOf, recordSummary } = targets;
  if ("summary" in request) {
    const { summary } = request;
    const notes = recordSummary(summary);
    await autoscaler.ask<boolean>((reply) => ({ kind: "summary", summary, reply }));
    return { loads: { shards: notes } };
  }
  if ("linkStatus" in request) return { linkReport: { json: JSON.stringify(targets.linkStatus()) } };
  if ("forwardUserRequest" in request) return handleForwarded(request.forwardUserRequest, users);
  if ("taskCounts" in request) {
    const { shard, job } = request.taskCounts;
    const owner = ownerOf(shard);
    if (owner === undefined) return { counts: { known: false, done: 0, running: 0 } };
    return { counts: await owner.ask((reply) => ({ kind: "task_counts", job, reply })) };
  }
  if ("drainMachines" in request || "transferMachines" in request)
    return handleMachineRemoval(request, ownerOf);
  if ("handOver" in request)
    membership.tell({
      kind: "hand_over",
      shard: request.handOver.shard,
      successor: request.handOver.targetNode,
    });
  if ("misroutedHeartbeat" in request) {
    const { shard, receivedBy } = request.misroutedHeartbeat;
    // One worker alone says little; if none comes here any more, the shard is better off where they go.
    if (ownerOf(shard)?.isCutOffFromWorkers && targets.mayHandOver(shard))
      membership.tell({ kind: "hand_over", shard, successor: receivedBy });
  }
  if ("jobCancelled" in request) {
    const { shard, job } = request.jobCancelled;
    ownerOf(shard)?.tell({ kind: "job_cancelled", job });
  }
  if ("migrateJob" in request) {
    const { shard, targetShard, job } = request.migrateJob;
    ownerOf(shard)?.tell({ kind: "migrate_job", targetShard, job });
  }
  if ("cordonMachine" in request) {
    const { shard, targetShard, demand } = request.cordonMachine;
    ownerOf(shard)?.tell({ kind: "cordon_machine", targetShard, demand });
  }
  return EMPTY_REPLY;
}

async function handleForwarded(
  { method, path, body }: { method: string; path: string; body: string },
  users: UserRequestHandler,
): Promise<PeerReply> {
  const { status, body: said } = await users.handle({ method, path, body: parseJson(body) });
  return { userResponse: { status, body: JSON.stringify(said) } };
}

async function handleMachineRemoval(
  request: Extract<PeerRequest, { drainMachines: object } | { transferMachines: object }>,
  ownerOf: PeerRequestTargets["ownerOf"],
): Promise<PeerReply> {
  const { shard, hosts } = "drainMachines" in request ? request.drainMachines : request.transferMachines;
  const owner = ownerOf(shard);
  if (owner === undefined) return EMPTY_REPLY;
  const accepted = await owner.ask<string[]>((reply) =>
    "drainMachines" in request
      ? { kind: "drain_machines", hosts, reply }
      : { kind: "transfer_machines", targetShard: request.transferMachines.targetShard, hosts, reply },
  );
  return { accepted: { hosts: accepted } };
}
