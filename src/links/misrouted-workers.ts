/**
 * Tracks workers that send heartbeats to this controller although they hold another controller's token, a sign that
 * they cannot reach their owner. It keeps one entry per worker and needs no timer: expired entries are dropped on
 * counting.
 */

/** The number of workers of a shard that were recently misrouted. */
export interface MisroutedCount {
  shard: number;
  /** The version of the shard's record. Workers misrouted in an earlier term say nothing about the current owner. */
  term: number;
  workers: number;
}

interface MisroutedHosts {
  term: number;
  /** When each host was last seen, oldest first. */
  hosts: Map<string, number>;
}

/** Counts distinct misrouted workers per shard in its latest term, within a time window. */
export class MisroutedWorkers {
  private readonly lastSeen = new Map<number, MisroutedHosts>();

  constructor(
    private readonly windowMs: number,
    /** The maximum number of workers tracked for a shard. */
    private readonly maxWorkersPerShard: number,
  ) {}

  /** Records a misrouted worker of a shard, with the term of the shard's owner. */
  record(shard: number, term: number, host: string, now: number): void {
    const seen = this.lastSeen.get(shard);
    const hosts = seen?.term === term ? seen.hosts : new Map<string, number>();
    if (hosts.size >= this.maxWorkersPerShard && !hosts.has(host)) return;
    // Deleted before it is set again, so that insertion order stays oldest first.
    hosts.delete(host);
    hosts.set(host, now);
    this.lastSeen.set(shard, { term, hosts });
  }

  /** Returns the number of distinct workers per shard within the window. */
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
