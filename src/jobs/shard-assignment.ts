/** Which shard a new job goes to. Pure but for what it remembers of the loads. */
import { createHash } from "node:crypto";
import type { Team } from "../config/settings.js";
import type { JobSpec } from "../wire/index.js";

/** How a shard stands, in processors. */
export interface ShardPressure {
  capacity: number;
  /** What waits beyond what is free; negative where room is left. */
  backlog: number;
}

/**
 * Teams are parted, so that one owner sees all that counts against a limit. A single team is parted by job: by the
 * shards' loads where they are known, by hash among equals. With a limit to keep it stays whole, since no two
 * owners could keep one limit.
 */
export class ShardAssignment {
  private readonly loads = new Map<number, ShardPressure>();

  constructor(
    private readonly teams: Team[],
    private readonly shards: number,
  ) {}

  /** Whether new jobs go by the shards' loads, so that all nodes need to know them. */
  get balancesByLoad(): boolean {
    const [only, ...others] = this.teams;
    return only !== undefined && others.length === 0 && only.cpusMax === 0 && only.gpusMax === 0;
  }

  recordLoad(shard: number, load: ShardPressure): void {
    this.loads.set(shard, { ...load });
  }

  shardFor(spec: Pick<JobSpec, "id" | "team" | "cpus" | "tasks">): number {
    if (this.teams.length > 1) {
      const index = this.teams.findIndex((t) => t.name === spec.team);
      return Math.max(0, index) % this.shards;
    }
    if (!this.balancesByLoad) return 0;
    const hash = createHash("sha1").update(spec.id).digest().readUInt32BE(0) % this.shards;
    let best = hash;
    // Guards against half of the fleet standing open while a queue waits: a machine with one task cannot move.
    for (let shard = 0; shard < this.shards; shard++)
      if (this.pressure(shard) < this.pressure(best)) best = shard;
    // Until the owner has spoken again, the job counts where it went.
    const load = this.loads.get(best);
    if (load) load.backlog += spec.cpus * spec.tasks;
    return best;
  }

  private pressure(shard: number): number {
    const load = this.loads.get(shard);
    return load === undefined ? 0 : load.backlog / Math.max(load.capacity, 1);
  }
}
