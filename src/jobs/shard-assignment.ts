/** Assigns new jobs to shards. Depends only on its arguments and the recorded loads. */
import { createHash } from "node:crypto";
import type { Team } from "../config/settings.js";
import type { JobSpec } from "../wire/index.js";

/** The capacity and backlog of a shard, in CPUs. */
export interface CpuLoad {
  /** The CPUs of all its machines. */
  capacity: number;
  /** The CPUs that waiting tasks need beyond the free ones; negative if free CPUs are left over. */
  backlog: number;
}

/**
 * Assigns each team to one shard, so that a single owner sees all usage that counts against the team's limit. If there
 * is only one team and it has no limit, its jobs are distributed instead: to the least loaded shard, and by hash among
 * equally loaded ones; a shard whose load is unknown counts as having no backlog. A single team with a limit stays in
 * one shard, since several owners could not enforce one limit.
 */
export class ShardAssignment {
  private readonly loads = new Map<number, CpuLoad>();

  constructor(
    private readonly teams: Team[],
    private readonly shards: number,
  ) {}

  /** Whether new jobs are assigned by the shards' loads, so that every controller needs to know the loads. */
  get balancesByLoad(): boolean {
    const [onlyTeam, ...others] = this.teams;
    return onlyTeam !== undefined && others.length === 0 && onlyTeam.cpusMax === 0 && onlyTeam.gpusMax === 0;
  }

  /** Records the load of a shard as last sent by its owner. */
  recordLoad(shard: number, load: CpuLoad): void {
    this.loads.set(shard, { ...load });
  }

  /** Chooses the shard of a new job. If jobs are assigned by load, the job adds to the shard's load from then on. */
  shardFor(spec: Pick<JobSpec, "id" | "team" | "cpus" | "tasks">): number {
    if (this.teams.length > 1) return this.shardOfTeam(spec.team);
    if (!this.balancesByLoad) return 0;
    const shard = this.leastLoadedShard(this.shardByHash(spec.id));
    // Counts the job until the owner's next load replaces this estimate.
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
   * The shard with the least backlog relative to its capacity; `preferred` if no other has less. Guards against half of
   * the fleet being idle while jobs wait: a machine cannot be transferred to another shard while it runs a task.
   */
  private leastLoadedShard(preferred: number): number {
    let best = preferred;
    for (let shard = 0; shard < this.shards; shard++)
      if (this.relativeBacklog(shard) < this.relativeBacklog(best)) best = shard;
    return best;
  }

  private relativeBacklog(shard: number): number {
    const load = this.loads.get(shard);
    return load === undefined ? 0 : load.backlog / Math.max(load.capacity, 1);
  }
}
