/** Assembles the cloud's machine list from pages, and tracks which machines are missing from successive lists. */
import type { ListedMachine } from "../wire/index.js";

/** A listing in progress is discarded after this many list lags. */
const MAX_LIST_LAGS = 2;

/** A machine is reported missing once complete lists have omitted it for this many list lags. */
const MIN_MISSING_LAGS = 2;

/**
 * A machine list read over several passes. The cloud paginates lists above its size limit, and a pass makes at most one
 * call to the cloud, so that the pages show different points in time. A machine is therefore missing only if complete
 * lists have omitted it for longer than the list lag.
 */
export class MachineListing {
  private pages: ListedMachine[] = [];
  private startedAt: number | null = null;
  /** By listed host: the time since which complete lists have omitted it, or null if the latest one includes it. */
  private readonly missingSince = new Map<string, number | null>();

  /** @param lagMs the maximum age of the cloud's list, in milliseconds */
  constructor(private readonly lagMs: number) {}

  /** Whether a listing is in progress; one that has taken too long is discarded first. */
  isInProgress(now: number): boolean {
    // Prevents combining pages read before and after a cloud outage.
    if (this.startedAt !== null && now - this.startedAt > MAX_LIST_LAGS * this.lagMs) this.reset();
    return this.startedAt !== null;
  }

  /** The host after which the next page starts; undefined for the first page. */
  get after(): string | undefined {
    return this.pages.at(-1)?.host;
  }

  /** Adds the next page; returns the complete list after the last page, and null before. */
  addPage(machines: ListedMachine[], more: boolean, now: number): ListedMachine[] | null {
    this.startedAt ??= now;
    this.pages.push(...machines);
    if (more && machines.length > 0) return null;
    const completeList = this.pages;
    this.reset();
    return completeList;
  }

  /**
   * Evaluates a complete list. Returns the recorded hosts that complete lists have omitted or shown as failed for at
   * least `MIN_MISSING_LAGS`.
   */
  missing(completeList: ListedMachine[], isRecorded: (host: string) => boolean, now: number): string[] {
    const liveHosts = new Set(
      completeList.filter((machine) => machine.state !== "failed").map((machine) => machine.host),
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
