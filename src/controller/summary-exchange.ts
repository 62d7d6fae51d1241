/** Summaries to the leader, and how full all shards are from it. */
import { toDemandRecord } from "../autoscaling/demand-record.js";
import type { ShardAssignment } from "../jobs/shard-assignment.js";
import type { PeerReply, PeerRequest, ShardLoadReport, ShardSummary } from "../peers/peer-messages.js";
import type { SteadyClock } from "../runtime/clock.js";
import type { Logger } from "../runtime/log.js";
import type { StateStoreClient } from "../state/state-store-client.js";
import { keys } from "../state/keys.js";

/** What the exchange needs of the rest of the process. */
export interface SummaryExchangeDependencies {
  assignment: ShardAssignment;
  state: StateStoreClient;
  leader: () => string | null;
  askNode: (node: string | null, request: PeerRequest) => Promise<PeerReply>;
  clock: SteadyClock;
  log: Logger;
  /** The time between two reconciliation passes. */
  spacingMs: number;
  /** How large a value in the records may be. */
  valueBytes: number;
  /** How long a summary may wait to be written. */
  queueTimeoutMs: number;
}

/** Keeps what this node knows of how full the shards are. */
export class SummaryExchange {
  /** When a shard's summary was last left in the records. */
  private readonly leftAt = new Map<number, number>();
  /** How full each shard was when it was last heard of. */
  private readonly loads = new Map<number, ShardLoadReport>();

  constructor(private readonly parts: SummaryExchangeDependencies) {}

  /** Takes in a summary as the leader, and tells how full all shards are where jobs are assigned by that. */
  receive(summary: ShardSummary): ShardLoadReport[] {
    this.record(summary);
    return this.parts.assignment.balancesByLoad ? [...this.loads.values()] : [];
  }

  /** Sends a summary to the leader alone, who sizes by it and says how full the other shards are: what nodes say to each other adds up. */
  send(summary: ShardSummary): void {
    this.record(summary);
    this.parts
      .askNode(this.parts.leader(), { summary })
      .then((reply) => {
        if ("loads" in reply) for (const note of reply.loads.shards) this.record(note);
      })
      .catch(() => {
        this.storeSummary(summary);
      });
  }

  /** The leader cannot be reached, or not by us: it may still read the records. */
  private storeSummary(summary: ShardSummary): void {
    const now = this.parts.clock();
    const { shard, token } = summary;
    if (now - (this.leftAt.get(shard) ?? -Infinity) < 2 * this.parts.spacingMs) return;
    this.leftAt.set(shard, now);
    const write = { put: keys.shardDemand(shard), value: toDemandRecord(summary, this.parts.valueBytes) };
    this.parts.state
      .compareAndSwap(
        [{ key: keys.shard(shard), version: token }],
        [write],
        "note",
        this.parts.queueTimeoutMs,
      )
      .catch((err: unknown) => {
        this.parts.log.debug({ shard, err: (err as Error).message }, "summary not left in the records");
      });
  }

  private record({ shard, load }: ShardLoadReport): void {
    this.loads.set(shard, { shard, load });
    this.parts.assignment.recordLoad(shard, {
      capacity: load.cpus,
      backlog: load.waitingCpus + load.usedCpus - load.cpus,
    });
  }
}
