/** Sends shard summaries to the leader, and stores the loads of all shards that it returns. */
import { toDemandRecord } from "../autoscaling/demand-record.js";
import type { ShardAssignment } from "../jobs/shard-assignment.js";
import type { PeerReply, PeerRequest, ShardLoadReport, ShardSummary } from "../peers/peer-messages.js";
import type { SteadyClock } from "../runtime/clock.js";
import type { Logger } from "../runtime/log.js";
import type { StateStoreClient } from "../state/state-store-client.js";
import { keys } from "../state/keys.js";

/** Dependencies of the summary exchange. */
export interface SummaryExchangeDependencies {
  readonly assignment: ShardAssignment;
  readonly state: StateStoreClient;
  /** The name of the leader, or null if none is known. */
  readonly leader: () => string | null;
  readonly requestController: (node: string | null, request: PeerRequest) => Promise<PeerReply>;
  readonly clock: SteadyClock;
  readonly log: Logger;
  /** Minimum time between two reconciliation passes of the autoscaler, in milliseconds. */
  readonly passSpacingMs: number;
  /** Maximum size of a record's value, in bytes. */
  readonly valueBytes: number;
  /** How long a summary may be queued before it is sent to the state store, in milliseconds. */
  readonly queueTimeoutMs: number;
}

/** Minimum time between two writes of one shard's summary to the records, in reconciliation passes. */
const PASSES_BETWEEN_STORED_SUMMARIES = 2;

/** Stores the last known load of each shard. */
export class SummaryExchange {
  /** By shard: when its summary was last written to the records; steady time in milliseconds. */
  private readonly storedAt = new Map<number, number>();
  /** The last known loads, by shard. */
  private readonly loads = new Map<number, ShardLoadReport>();

  constructor(private readonly dependencies: SummaryExchangeDependencies) {}

  /** Records a summary as the leader; returns the loads of all shards if jobs are assigned by load, otherwise none. */
  receive(summary: ShardSummary): ShardLoadReport[] {
    this.record(summary);
    return this.dependencies.assignment.balancesByLoad ? [...this.loads.values()] : [];
  }

  /**
   * Sends a summary to the leader, which uses it for autoscaling and replies with the loads of all shards. It is sent
   * only to the leader, since the number of messages between all pairs of nodes would grow quadratically.
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

  /** Writes a summary to the records after the leader did not respond, since it may still be able to read them. */
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
        this.dependencies.log.debug({ shard, err }, "failed to write the shard summary to the records");
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
