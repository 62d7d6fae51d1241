/** Chooses the shard of a new job. Pure but for the loads that it remembers. */
import { createHash } from "node:crypto";
import type { Team } from "../config/settings.js";
import type { JobSpec } from "../wire/index.js";

/** The load of a shard, in processors. */
export interface CpuLoad {
  /** All processors of its machines. */
  capacity: number;
  /** What waiting tasks need beyond what is free; negative where capacity is left. */
  backlog: number;
}

/**
 * Teams are divided among the shards, so that one owner sees all usage that counts against a limit. A single team is
 * divided by job: by the shards' loads where they are known, by hash among equals. With a limit to keep it stays in one
 * shard, since no two owners could keep one limit.
 */
export class ShardAssignment {
  private readonly loads = new Map<number, CpuLoad>();

  constructor(
    private readonly teams: Team[],
    private readonly shards: number,
  ) {}

  /** Whether new jobs are assigned by the shards' loads, so that all controllers need to know them. */
  get balancesByLoad(): boolean {
    const [onlyTeam, ...others] = this.teams;
    return onlyTeam !== undefined && others.length === 0 && onlyTeam.cpusMax === 0 && onlyTeam.gpusMax === 0;
  }

  /** Records the load of a shard as its owner last sent it. */
  recordLoad(shard: number, load: CpuLoad): void {
    this.loads.set(shard, { ...load });
  }

  /** The shard for a new job. Where jobs are assigned by load, the job counts against the shard from now on. */
  shardFor(spec: Pick<JobSpec, "id" | "team" | "cpus" | "tasks">): number {
    if (this.teams.length > 1) return this.shardOfTeam(spec.team);
    if (!this.balancesByLoad) return 0;
    const shard = this.leastLoadedShard(this.shardByHash(spec.id));
    // Until the owner has sent its load again, the job counts where it was assigned.
    const load = this.loads.get(shard);
    if (load) load.backlog += spec.cpus * spec.tasks;
    return shard;
  }

  private shardOfTeam(team: string): number {
    const index = this.teams.findIndex(({ name }) => name === team);
    return Math.max(0, index) % this.shards;
  }

  private shardByHash(job: string): number {
    return createHash("sha1").update(job).digest().readUInt32BE(0) % this.shards;
  }

  /**
   * The shard under the least pressure; the given one among equals. Guards against half of the fleet standing idle while a
   * queue waits: a machine with one task cannot move.
   */
  private leastLoadedShard(preferred: number): number {
    let best = preferred;
    for (let shard = 0; shard < this.shards; shard++)
      if (this.pressure(shard) < this.pressure(best)) best = shard;
    return best;
  }

  private pressure(shard: number): number {
    const load = this.loads.get(shard);
    return load === undefined ? 0 : load.backlog / Math.max(load.capacity, 1);
  }
}
