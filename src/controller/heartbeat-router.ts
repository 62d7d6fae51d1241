/** Brings workers' reports to the owner of their machine's shard. */
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
  /** This node's name. */
  node: string;
  fleet: Fleet;
  membership: Membership;
  autoscaler: Autoscaler;
  ownerOf: (shard: number) => ShardOwner | undefined;
  askNode: (node: string | null, request: PeerRequest) => Promise<PeerReply>;
  clock: SteadyClock;
  /** How often an owner is told at most that its workers come here. */
  misroutedSpacingMs: number;
  maxMachines: number;
  links: Pick<LinkMonitoring, "noteReport" | "noteMisrouted">;
}

/** Answers reports of this process's shards, and redirects all others. */
export class HeartbeatRouter {
  /** When the owner of a shard was last told that its workers come here. */
  private readonly misroutedAt = new Map<number, number>();

  private readonly redirected: RedirectedWorkers;

  constructor(private readonly parts: HeartbeatRouterDependencies) {
    this.redirected = new RedirectedWorkers(parts.maxMachines, HEARTBEAT_TIMEOUT_S * 1000);
  }

  /** Answers the report, or tells the worker where to go. */
  async route(report: Heartbeat): Promise<HeartbeatRouting> {
    const record = this.parts.fleet.get(report.host);
    if (record === undefined) {
      // Only the leader gives machines to shards; the worker comes again until it has.
      const leader = this.parts.membership.leader();
      if (leader !== this.parts.node) return { kind: "redirect", owner: leader };
      this.parts.autoscaler.tell({ kind: "unknown_machine", heartbeat: report });
      return { kind: "redirect", owner: null };
    }
    const owner = this.parts.ownerOf(record.shard);
    if (owner === undefined) this.reportMisrouted(record.shard, report);
    else this.parts.links.noteReport(record.shard, report.highestToken);
    if (owner === undefined || owner.writableNeedDrain) return this.redirect(record.shard);
    const answer = await owner.ask<HeartbeatResponse>((reply) => ({
      kind: "heartbeat",
      heartbeat: report,
      reply,
    }));
    if (answer.kind === "refused") return this.redirect(record.shard);
    const { token, commands } = answer.renewal;
    return { kind: "commands", body: commandsToWire(token, commands) };
  }

  /**
   * Guards against losing all tasks of a shard whose owner is cut off from its workers alone: its lease lives on, and the
   * others would send its workers back to it until their leases are over. A worker that follows the owner's token has
   * spoken to it before; if it comes here now, its owner is told, and passes the shard on if it hears no worker at all. So
   * does one that was sent to that owner before and comes back without its token: a new owner may never have been heard.
   */
  private reportMisrouted(shard: number, report: Heartbeat): void {
    const owner = this.parts.membership.owner(shard);
    const term = this.parts.membership.cluster.shards[shard]?.version;
    if (owner === null || term === undefined) return;
    const now = this.parts.clock();
    if (report.highestToken !== term && !this.redirected.hasReturned(report.host, term, now)) return;
    this.parts.links.noteMisrouted(shard, term, report.host);
    if (now - (this.misroutedAt.get(shard) ?? -Infinity) < this.parts.misroutedSpacingMs) return;
    this.misroutedAt.set(shard, now);
    this.parts
      .askNode(owner, { misroutedHeartbeat: { shard, receivedBy: this.parts.node } })
      .catch(() => undefined);
  }

  private redirect(shard: number): HeartbeatRouting {
    const owner = this.parts.membership.owner(shard);
    return { kind: "redirect", owner: owner === this.parts.node ? null : owner };
  }
}
