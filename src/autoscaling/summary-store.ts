/** The owners' latest summaries, as long as they are recent. */
import type { ShardSummary } from "../peers/peer-messages.js";
import { keys } from "../state/keys.js";
import type { ReplicaView } from "../state/replica.js";
import type { Fleet } from "../workers/fleet.js";
import { fromDemandRecord } from "./demand-record.js";

/** A summary that came from its owner is used for so many passes, and one that was left in the records for so many. */
const MAX_AGE_PASSES = 4;
const MAX_RECORD_AGE_PASSES = 8;

interface ReceivedSummary {
  summary: ShardSummary;
  receivedAt: number;
}

/** A version of a record, and the steady time at which it was first seen. */
interface SeenVersion {
  version: number;
  seenAt: number;
}

/** Summaries that came from owners, and those that were left in the records instead. */
export class SummaryStore {
  private readonly received: ReceivedSummary[] = [];
  private readonly seenVersions = new Map<number, SeenVersion>();

  constructor(
    private readonly view: ReplicaView,
    private readonly fleet: Fleet,
    /** The time between two reconciliation passes. */
    private readonly passSpacingMs: number,
  ) {}

  /** Adds a summary that has come from its owner. */
  add(summary: ShardSummary, now: number): void {
    this.received[summary.shard] = { summary, receivedAt: now };
  }

  /** Forgets what came in an earlier term, which proves nothing in this one. */
  clear(): void {
    this.received.length = 0;
  }

  /** The latest summary of a shard; undefined if there is no recent one. */
  latest(shard: number, now: number): ShardSummary | undefined {
    const latest = this.received[shard];
    if (latest !== undefined && now - latest.receivedAt < MAX_AGE_PASSES * this.passSpacingMs)
      return latest.summary;
    return this.recordedSummary(shard, now);
  }

  /** What the owner has left in the records lately, and since it became the owner. */
  private recordedSummary(shard: number, now: number): ShardSummary | undefined {
    const entry = this.view.get(keys.shardDemand(shard));
    if (entry === undefined) return undefined;
    const seen = this.seenVersions.get(shard);
    if (seen?.version !== entry.version)
      this.seenVersions.set(shard, { version: entry.version, seenAt: now });
    else if (now - seen.seenAt >= MAX_RECORD_AGE_PASSES * this.passSpacingMs) return undefined;
    const machines = [...this.fleet.all()].filter(([, machine]) => machine.shard === shard);
    const summary = fromDemandRecord(shard, entry.value, machines);
    if (summary === null) return undefined;
    const currentToken = this.view.get(keys.shard(shard))?.version;
    return summary.token === currentToken ? summary : undefined;
  }
}
