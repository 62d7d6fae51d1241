/** Shards for tests, on the test settings and one machine type. */
import { Shard } from "../../src/shards/shard.js";
import type { ShardDependencies } from "../../src/shards/shard-parts.js";
import { silentLogger, smallType } from "./records.js";
import { testSettings } from "./settings.js";

const types = new Map([[smallType.name, smallType]]);

/** What a test says of its shard; the term begins at steady time 0 unless it says otherwise. */
export type ShardOptions = Pick<ShardDependencies, "shard" | "termToken" | "view"> &
  Partial<ShardDependencies>;

/** A shard whose only machine type is `smallType`. */
export function newShard(options: ShardOptions): Shard {
  return new Shard({
    termStartedAt: 0,
    settings: testSettings(),
    types: () => types,
    log: silentLogger,
    ...options,
  });
}
