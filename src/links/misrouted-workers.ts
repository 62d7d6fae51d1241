/**
 * Workers that come to this controller although they follow another's token: a sign that they do not reach their owner.
 * One entry a worker, and no timer: old entries are dropped when they are counted.
 */

/** How many workers of one shard came here lately. */
export interface MisroutedCount {
  shard: number;
  workers: number;
}

/** Counts distinct workers per shard within a window of time. */
export class MisroutedWorkers {
  private readonly lastSeen = new Map<number, Map<string, number>>();

  constructor(
    private readonly windowMs: number,
    /** How many workers are remembered at the most. */
    private readonly bound: number,
  ) {}

  /** A worker of the shard came here. */
  note(shard: number, host: string, now: number): void {
    const hosts = this.lastSeen.get(shard) ?? new Map<string, number>();
    if (hosts.size >= this.bound && !hosts.has(host)) return;
    // Deleted first, so that the oldest stays in front.
    hosts.delete(host);
    hosts.set(host, now);
    this.lastSeen.set(shard, hosts);
  }

  /** Distinct workers per shard within the window. */
  counts(now: number): MisroutedCount[] {
    const counts: MisroutedCount[] = [];
    for (const [shard, hosts] of this.lastSeen) {
      for (const [host, at] of hosts) {
        if (now - at <= this.windowMs) break;
        hosts.delete(host);
      }
      if (hosts.size > 0) counts.push({ shard, workers: hosts.size });
      else this.lastSeen.delete(shard);
    }
    return counts;
  }
}
