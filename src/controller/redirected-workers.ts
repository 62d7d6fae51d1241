/** Remembers which workers were sent to the owner of their shard, to notice those that come back without having met it. */
import { LRUCache } from "lru-cache";

interface Redirect {
  /** The version of the shard's record, which tells one owner's term from another. */
  term: number;
  at: number;
}

/** The first redirect of each worker within the present term of its shard's owner. */
export class RedirectedWorkers {
  private readonly redirects: LRUCache<string, Redirect>;

  constructor(
    maxWorkers: number,
    /** A worker that comes back sooner was refused there: it has met its owner, or nobody. */
    private readonly leastMs: number,
  ) {
    this.redirects = new LRUCache({ max: maxWorkers });
  }

  /** Whether this worker was sent to the same owner some time ago; the first time it is only remembered. */
  hasReturned(host: string, term: number, now: number): boolean {
    const known = this.redirects.get(host);
    if (known?.term === term) return now - known.at >= this.leastMs;
    this.redirects.set(host, { term, at: now });
    return false;
  }
}
