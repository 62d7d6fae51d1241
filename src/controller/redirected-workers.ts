/** Tracks which workers were redirected to their shard's owner, to detect those that return without reaching it. */
import { LRUCache } from "lru-cache";

interface Redirect {
  /** The version of the shard's record, which distinguishes one owner's term from another. */
  term: number;
  /** Steady time of the first redirect within the term, in milliseconds. */
  redirectedAt: number;
}

/** The first redirect of each worker within the current term of its shard's owner. */
export class RedirectedWorkers {
  private readonly redirects: LRUCache<string, Redirect>;

  constructor(
    maxWorkers: number,
    /**
     * Minimum time between redirect and return, in milliseconds. A worker that returns sooner did not time out: the
     * owner or the network refused it.
     */
    private readonly minReturnMs: number,
  ) {
    this.redirects = new LRUCache({ max: maxWorkers });
  }

  /**
   * Whether this worker was first redirected to the same owner at least `minReturnMs` ago; `now` is steady time in
   * milliseconds. Records the redirect if it is the first one within the term.
   */
  hasReturned(host: string, term: number, now: number): boolean {
    const known = this.redirects.get(host);
    if (known?.term === term) return now - known.redirectedAt >= this.minReturnMs;
    this.redirects.set(host, { term, redirectedAt: now });
    return false;
  }
}
