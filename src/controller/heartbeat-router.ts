/** Routes heartbeats to the owner of their machine's shard; http/heartbeats.ts describes all steps of a heartbeat. */
import type { Autoscaler } from "../autoscaling/autoscaler.js";
import type { HeartbeatRouting } from "../http/heartbeats.js";
import type { LinkMonitoring } from "./link-monitoring.js";
import type { Membership } from "../membership/membership.js";
import type { PeerReply, PeerRequest } from "../peers/peer-messages.js";
import type { ShardOwner } from "../shards/shard-owner.js";
import type { HeartbeatResponse } from "../shards/shard-owner-messages.js";
import { RedirectedWorkers } from "./redirected-workers.js";
import type { SteadyClock } from "../runtime/clock.js";
import { commandsToWire, HEARTBEAT_TIMEOUT_S, type Heartbeat } from "../wire/index.js";
import type { Fleet } from "../workers/fleet.js";

/** Dependencies of the heartbeat router. */
export interface HeartbeatRouterDependencies {
  /** This controller's name. */
  readonly node: string;
  readonly fleet: Fleet;
  readonly membership: Membership;
  readonly autoscaler: Autoscaler;
  /** The owner of a shard; undefined if this process does not own it. */
  readonly ownerOf: (shard: number) => ShardOwner | undefined;
  readonly requestController: (node: string | null, request: PeerRequest) => Promise<PeerReply>;
  readonly clock: SteadyClock;
  /** Minimum time between two notices to an owner that its workers send their heartbeats here, in milliseconds. */
  readonly minMisroutedNoticeIntervalMs: number;
  /** Maximum number of machines in the cluster. */
  readonly maxMachines: number;
  readonly links: Pick<LinkMonitoring, "recordHeartbeat" | "recordMisroutedHeartbeat">;
}

/** Passes heartbeats for shards of this process to their owners, and redirects all other workers. */
export class HeartbeatRouter {
  /** By shard: when its owner was last notified of heartbeats that arrived here; steady time in milliseconds. */
  private readonly lastMisroutedNoticeAt = new Map<number, number>();

  private readonly redirected: RedirectedWorkers;

  constructor(private readonly dependencies: HeartbeatRouterDependencies) {
    this.redirected = new RedirectedWorkers(dependencies.maxMachines, HEARTBEAT_TIMEOUT_S * 1000);
  }

  /** Resolves to the owner's response to a heartbeat, or to the controller that the worker is redirected to. */
  async route(heartbeat: Heartbeat): Promise<HeartbeatRouting> {
    const record = this.dependencies.fleet.get(heartbeat.host);
    if (record === undefined) {
      // Only the leader assigns machines to shards; the worker repeats its heartbeat until its machine is assigned.
      const leader = this.dependencies.membership.leader();
      if (leader !== this.dependencies.node) return { kind: "redirect", owner: leader };
      this.dependencies.autoscaler.tell({ kind: "unknown_machine", heartbeat });
      return { kind: "redirect", owner: null };
    }
    const owner = this.dependencies.ownerOf(record.shard);
    if (owner === undefined) this.reportMisroutedHeartbeat(record.shard, heartbeat);
    else this.dependencies.links.recordHeartbeat(record.shard, heartbeat.highestToken);
    if (owner === undefined || owner.writableNeedDrain) return this.redirect(record.shard);
    const response = await owner.ask<HeartbeatResponse>((reply) => ({
      kind: "heartbeat",
      heartbeat,
      reply,
    }));
    if (response.kind === "refused") return this.redirect(record.shard);
    const { token, commands } = response.renewal;
    return { kind: "commands", body: commandsToWire(token, commands) };
  }

  /**
   * Notifies the owner of a shard that one of its workers sent a heartbeat here; the owner hands the shard over if it
   * receives no heartbeats at all. Otherwise, if an owner is cut off from its workers only, its membership lease stays
   * valid, and the other controllers redirect its workers to it until the workers' leases expire and all tasks are
   * lost.
   *
   * Only two kinds of workers count: those whose highest token is the owner's, since they have reached it before, and
   * those that were redirected to this owner before and return without its token, since a new owner may never have been
   * reachable.
   */
  private reportMisroutedHeartbeat(shard: number, heartbeat: Heartbeat): void {
    const owner = this.dependencies.membership.owner(shard);
    const term = this.dependencies.membership.cluster.shards[shard]?.version;
    if (owner === null || term === undefined) return;
    const now = this.dependencies.clock();
    if (heartbeat.highestToken !== term && !this.redirected.hasReturned(heartbeat.host, term, now)) return;
    this.dependencies.links.recordMisroutedHeartbeat(shard, term, heartbeat.host);
    if (
      now - (this.lastMisroutedNoticeAt.get(shard) ?? -Infinity) <
      this.dependencies.minMisroutedNoticeIntervalMs
    )
      return;
    this.lastMisroutedNoticeAt.set(shard, now);
    this.dependencies
      .requestController(owner, { misroutedHeartbeat: { shard, receivedBy: this.dependencies.node } })
      .catch(() => undefined);
  }

  private redirect(shard: number): HeartbeatRouting {
    const owner = this.dependencies.membership.owner(shard);
    return { kind: "redirect", owner: owner === this.dependencies.node ? null : owner };
  }
}
