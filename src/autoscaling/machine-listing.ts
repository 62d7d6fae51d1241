/** What the cloud's lists of machines show: read a page a pass, and compared over time. */
import type { ListedMachine } from "../wire/index.js";

/** A list in progress is given up, and a machine counts as missing, after so many list lags. */
const MAX_LIST_LAGS = 2;
const MIN_MISSING_LAGS = 2;

/**
 * Above the cloud's limit a list comes in pages, each of another moment, and the design allows one call a pass. So a
 * list is put together over several passes; a machine is missing only if whole lists have gone without it for longer
 * than a list may be old, since one page may be older than another.
 */
export class MachineListing {
  private pages: ListedMachine[] = [];
  private startedAt: number | null = null;
  /** By host that a list has shown: since when whole lists have gone without it, or null if the last one showed it. */
  private readonly missingSince = new Map<string, number | null>();

  /** @param lagMs how old the cloud's list may be */
  constructor(private readonly lagMs: number) {}

  /** Whether a list has been begun that is still worth completing. */
  isInProgress(now: number): boolean {
    // Guards against joining pages from before and after an outage of the cloud.
    if (this.startedAt !== null && now - this.startedAt > MAX_LIST_LAGS * this.lagMs) this.reset();
    return this.startedAt !== null;
  }

  /** The host after which the next page begins; undefined for the first page. */
  get after(): string | undefined {
    return this.pages.at(-1)?.host;
  }

  /** Adds the next page; returns the whole list if it was the last one, and null otherwise. */
  addPage(machines: ListedMachine[], more: boolean, now: number): ListedMachine[] | null {
    this.startedAt ??= now;
    this.pages.push(...machines);
    if (more && machines.length > 0) return null;
    const wholeList = this.pages;
    this.reset();
    return wholeList;
  }

  /** Recorded hosts that whole lists have gone without for long enough. */
  missing(wholeList: ListedMachine[], isRecorded: (host: string) => boolean, now: number): string[] {
    const liveHosts = new Set(
      wholeList.filter((machine) => machine.state !== "failed").map((machine) => machine.host),
    );
    for (const host of liveHosts) this.missingSince.set(host, null);
    const missingHosts: string[] = [];
    for (const [host, previousSince] of this.missingSince) {
      if (liveHosts.has(host)) continue;
      if (!isRecorded(host)) {
        this.missingSince.delete(host);
        continue;
      }
      const since = previousSince ?? now;
      this.missingSince.set(host, since);
      if (now - since >= MIN_MISSING_LAGS * this.lagMs) missingHosts.push(host);
    }
    return missingHosts;
  }

  private reset(): void {
    this.pages = [];
    this.startedAt = null;
  }
}
