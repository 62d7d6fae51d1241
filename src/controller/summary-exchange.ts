/** Sends shard summaries to the leader, and keeps the loads of all shards that come back from it. */
import { toDemandRecord } from "../autoscaling/demand-record.js";
import type { ShardAssignment } from "../jobs/shard-assignment.js";
import type { PeerReply, PeerRequest, ShardLoadReport, ShardSummary } from "../peers/peer-messages.js";
import type { SteadyClock } from "../runtime/clock.js";
import type { Logger } from "../runtime/log.js";
import type { StateStoreClient } from "../state/state-store-client.js";
import { keys } from "../state/keys.js";

/** What the exchange needs of the rest of the process. */
export interface SummaryExchangeDependencies {
  readonly assignment: ShardAssignment;
  readonly state: StateStoreClient;
  /** The name of the leader, or null where none is known. */
  readonly leader: () => string | null;
  readonly requestController: (node: string | null, request: PeerRequest) => Promise<PeerReply>;
  readonly clock: SteadyClock;
  readonly log: Logger;
  /** The time between two reconciliation passes, in milliseconds. */
  readonly passSpacingMs: number;
  /** The largest value that a record may have, in bytes. */
  readonly valueBytes: number;
  /** How long a summary may wait until it is sent to the state service, in milliseconds. */
  readonly queueTimeoutMs: number;
}

/** A summary is written to the records at most once in so many reconciliation passes. */
const PASSES_BETWEEN_STORED_SUMMARIES = 2;

/** Keeps the load of each shard as far as this node knows it. */
export class SummaryExchange {
  /** When a shard's summary was last written to the records; steady time. */
  private readonly storedAt = new Map<number, number>();
  /** The last known load of each shard. */
  private readonly loads = new Map<number, ShardLoadReport>();

  constructor(private readonly dependencies: SummaryExchangeDependencies) {}

  /** Records a summary as the leader; returns the loads of all shards where jobs are assigned by load. */
  receive(summary: ShardSummary): ShardLoadReport[] {
    this.record(summary);
    return this.dependencies.assignment.balancesByLoad ? [...this.loads.values()] : [];
  }

  /**
   * Sends a summary to the leader, which scales by it and replies with the loads of the other shards. Only the leader gets
   * it: messages from each node to each other node would add up.
   */
  send(summary: ShardSummary): void {
    this.record(summary);
    this.dependencies
      .requestController(this.dependencies.leader(), { summary })
      .then((reply) => {
        if ("loads" in reply) for (const load of reply.loads.shards) this.record(load);
      })
      .catch(() => {
        this.storeSummary(summary);
      });
  }

  /** Writes the summary where the leader does not reply: it may still read the records. */
  private storeSummary(summary: ShardSummary): void {
    const now = this.dependencies.clock();
    const { shard, token } = summary;
    if (
      now - (this.storedAt.get(shard) ?? -Infinity) <
      PASSES_BETWEEN_STORED_SUMMARIES * this.dependencies.passSpacingMs
    )
      return;
    this.storedAt.set(shard, now);
    const write = {
      put: keys.shardDemand(shard),
      value: toDemandRecord(summary, this.dependencies.valueBytes),
    };
    this.dependencies.state
      .compareAndSwap(
        [{ key: keys.shard(shard), version: token }],
        [write],
        "background",
        this.dependencies.queueTimeoutMs,
      )
      .catch((err: unknown) => {
        this.dependencies.log.debug({ shard, err }, "shard summary not written to the records");
      });
  }

  private record({ shard, load }: ShardLoadReport): void {
    this.loads.set(shard, { shard, load });
    this.dependencies.assignment.recordLoad(shard, {
      capacity: load.cpus,
      backlog: load.waitingCpus + load.usedCpus - load.cpus,
    });
  }
}
