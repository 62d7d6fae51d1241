/** The owners' latest summaries, as long as they say anything. */
import type { ShardSummary } from "../peers/messages.js";
import { keys } from "../state/keys.js";
import type { ReplicaView } from "../state/replica.js";
import type { Fleet } from "../workers/fleet.js";
import { fromDemandRecord } from "./demand-record.js";

/** Summaries that came from owners, and those that were left in the records instead. */
export class SummaryStore {
  private readonly summaries: { summary: ShardSummary; at: number }[] = [];
  /** Summaries left in the records, and when each version was first seen. */
  private readonly recorded = new Map<number, { version: number; at: number }>();

  constructor(
    private readonly view: ReplicaView,
    private readonly fleet: Fleet,
    /** The time between two reconciliation passes. */
    private readonly spacingMs: number,
  ) {}

  /** Takes in a summary as it comes. */
  add(summary: ShardSummary, now: number): void {
    this.summaries[summary.shard] = { summary, at: now };
  }

  /** A new term begins: what owners told in an earlier one says nothing. */
  clear(): void {
    this.summaries.length = 0;
  }

  /** Summaries of owners that have gone quiet say nothing any more. */
  latest(shard: number, now: number): ShardSummary | undefined {
    const known = this.summaries[shard];
    if (known !== undefined && now - known.at < 4 * this.spacingMs) return known.summary;
    return this.recordedSummary(shard, now);
  }

  /** What the owner has left in the records lately, and since it became the owner. */
  private recordedSummary(shard: number, now: number): ShardSummary | undefined {
    const entry = this.view.get(keys.shardDemand(shard));
    if (entry === undefined) return undefined;
    const seen = this.recorded.get(shard);
    if (seen?.version !== entry.version) this.recorded.set(shard, { version: entry.version, at: now });
    else if (now - seen.at >= 8 * this.spacingMs) return undefined;
    const machines = [...this.fleet.all()].filter(([, machine]) => machine.shard === shard);
    const summary = fromDemandRecord(shard, entry.value, machines);
    return summary?.token === this.view.get(keys.shard(shard))?.version ? (summary ?? undefined) : undefined;
  }
}
