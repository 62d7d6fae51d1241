/**
 * Workers that come to this controller although they follow another's token: a sign that they do not reach their owner.
 * One entry a worker, and no timer: old entries are dropped when they are counted.
 */

/** How many workers of one shard came here lately. */
export interface MisroutedCount {
  shard: number;
  /** The version of the shard's record: what was seen in an earlier owner's term says nothing about the present one. */
  term: number;
  workers: number;
}

interface MisroutedHosts {
  term: number;
  /** When each was last seen, the oldest first. */
  hosts: Map<string, number>;
}

/** Counts distinct workers per shard and term within a window of time. */
export class MisroutedWorkers {
  private readonly lastSeen = new Map<number, MisroutedHosts>();

  constructor(
    private readonly windowMs: number,
    /** How many workers are remembered at the most. */
    private readonly maxWorkersPerShard: number,
  ) {}

  /** A worker of the shard came here, in a term of the shard's owner. */
  record(shard: number, term: number, host: string, now: number): void {
    const seen = this.lastSeen.get(shard);
    const hosts = seen?.term === term ? seen.hosts : new Map<string, number>();
    if (hosts.size >= this.maxWorkersPerShard && !hosts.has(host)) return;
    // Deleted first, so that the oldest stays in front.
    hosts.delete(host);
    hosts.set(host, now);
    this.lastSeen.set(shard, { term, hosts });
  }

  /** Distinct workers per shard within the window. */
  counts(now: number): MisroutedCount[] {
    const counts: MisroutedCount[] = [];
    for (const [shard, { term, hosts }] of this.lastSeen) {
      for (const [host, at] of hosts) {
        if (now - at <= this.windowMs) break;
        hosts.delete(host);
      }
      if (hosts.size > 0) counts.push({ shard, term, workers: hosts.size });
      else this.lastSeen.delete(shard);
    }
    return counts;
  }
}
