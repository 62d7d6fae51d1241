/** Stores the latest summary of each shard, and ignores summaries that are too old. */
import type { ShardSummary } from "../peers/peer-messages.js";
import { keys } from "../state/keys.js";
import type { ReplicaView } from "../state/replica.js";
import type { Fleet } from "../workers/fleet.js";
import { fromDemandRecord } from "./demand-record.js";

/** The maximum age, in passes, of a summary received from its owner and of one read from the records. */
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

/** Summaries received from owners, with the recorded summaries as a fallback. */
export class SummaryStore {
  private readonly received: ReceivedSummary[] = [];
  private readonly seenVersions = new Map<number, SeenVersion>();

  constructor(
    private readonly view: ReplicaView,
    private readonly fleet: Fleet,
    /** The time between two reconciliation passes, in milliseconds. */
    private readonly passSpacingMs: number,
  ) {}

  /** Stores a summary received from the owner of its shard. */
  add(summary: ShardSummary, now: number): void {
    this.received[summary.shard] = { summary, receivedAt: now };
  }

  /** Discards summaries received in an earlier term, which are outdated. */
  clear(): void {
    this.received.length = 0;
  }

  /** The latest summary of a shard, received or recorded; undefined if there is no recent one. */
  latest(shard: number, now: number): ShardSummary | undefined {
    const latest = this.received[shard];
    if (latest !== undefined && now - latest.receivedAt < MAX_AGE_PASSES * this.passSpacingMs)
      return latest.summary;
    return this.recordedSummary(shard, now);
  }

  /** The recorded summary of a shard; undefined if it is too old, malformed or not from the current owner. */
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
