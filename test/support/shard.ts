/** Creates shards with the test settings and one machine type. */
import { Shard } from "../../src/shards/shard.js";
import type { ShardDependencies } from "../../src/shards/shard-parts.js";
import { silentLogger, smallType } from "./records.js";
import { testSettings } from "./settings.js";

const types = new Map([[smallType.name, smallType]]);

/** The shard, token and view that a test must give; other dependencies have defaults, such as a term start of 0. */
export type ShardOptions = Pick<ShardDependencies, "shard" | "termToken" | "view"> &
  Partial<ShardDependencies>;

/** Creates a shard whose only machine type is `smallType`. */
export function newShard(options: ShardOptions): Shard {
  return new Shard({
    termStartedAt: 0,
    settings: testSettings(),
    types: () => types,
    log: silentLogger,
    ...options,
  });
}
