/** Remembers which workers were redirected to the owner of their shard, to detect those that come back without having reached it. */
import { LRUCache } from "lru-cache";

interface Redirect {
  /** The version of the shard's record, which tells one owner's term from another. */
  term: number;
  /** Steady time of the first redirect within the term. */
  redirectedAt: number;
}

/** The first redirect of each worker within the present term of its shard's owner. */
export class RedirectedWorkers {
  private readonly redirects: LRUCache<string, Redirect>;

  constructor(
    maxWorkers: number,
    /** A worker that comes back sooner, in milliseconds, was refused there: by its owner, or by the network. */
    private readonly minReturnMs: number,
  ) {
    this.redirects = new LRUCache({ max: maxWorkers });
  }

  /** Whether this worker was redirected to the same owner some time ago; the first redirect is only remembered. */
  hasReturned(host: string, term: number, now: number): boolean {
    const known = this.redirects.get(host);
    if (known?.term === term) return now - known.redirectedAt >= this.minReturnMs;
    this.redirects.set(host, { term, redirectedAt: now });
    return false;
  }
}
