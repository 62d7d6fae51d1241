/** Routes heartbeats to the owner of their machine's shard. The way of a heartbeat is described in http/heartbeats.ts. */
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

/** What the router needs of the rest of the process. */
export interface HeartbeatRouterDependencies {
  /** This controller's name. */
  readonly node: string;
  readonly fleet: Fleet;
  readonly membership: Membership;
  readonly autoscaler: Autoscaler;
  /** The owner of a shard, if it is in this process. */
  readonly ownerOf: (shard: number) => ShardOwner | undefined;
  readonly requestController: (node: string | null, request: PeerRequest) => Promise<PeerReply>;
  readonly clock: SteadyClock;
  /** The least time between two notices to an owner that its workers send their heartbeats here, in milliseconds. */
  readonly minMisroutedNoticeIntervalMs: number;
  /** The most machines that the cluster may have. */
  readonly maxMachines: number;
  readonly links: Pick<LinkMonitoring, "recordHeartbeat" | "recordMisroutedHeartbeat">;
}

/** Has heartbeats of this process's shards answered by their owners, and redirects all others. */
export class HeartbeatRouter {
  /** When the owner of a shard was last notified that its workers send their heartbeats here; steady time. */
  private readonly lastMisroutedNoticeAt = new Map<number, number>();

  private readonly redirected: RedirectedWorkers;

  constructor(private readonly dependencies: HeartbeatRouterDependencies) {
    this.redirected = new RedirectedWorkers(dependencies.maxMachines, HEARTBEAT_TIMEOUT_S * 1000);
  }

  /** Resolves to the owner's answer to a heartbeat, or to the controller that the worker is redirected to. */
  async route(heartbeat: Heartbeat): Promise<HeartbeatRouting> {
    const record = this.dependencies.fleet.get(heartbeat.host);
    if (record === undefined) {
      // Only the leader assigns machines to shards; the worker sends its heartbeat again until that is done.
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
   * Guards against losing all tasks of a shard whose owner is cut off from its workers alone: its lease lives on, and the
   * others would redirect its workers to it until their leases have expired. A worker that follows the owner's token has
   * reached it before; if its heartbeat comes here now, the owner is notified, and hands the shard over if it receives no
   * heartbeat at all. The same holds for a worker that was redirected to that owner before and comes back without its
   * token: a new owner may never have been reached.
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
