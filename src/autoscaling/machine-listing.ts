/** What the cloud's lists show: read a page a pass, and compared over time. */
import type { ListedMachine } from "../wire/index.js";

/**
 * Above the cloud's limit a list comes in pages, each of another moment, and the design allows one call a pass. So a
 * list is put together over several passes; a machine is missing only if whole lists have gone without it for longer
 * than a list may be old, since one page may be older than another.
 */
export class MachineListing {
  private pages: ListedMachine[] = [];
  private startedAt: number | null = null;
  /** Hosts that a list has shown, and when a list first missed them again. */
  private readonly seen = new Map<string, { missingSince: number | null }>();

  constructor(private readonly lagMs: number) {}

  /** Whether a list has been begun that is still worth going on with. */
  isInProgress(now: number): boolean {
    // Guards against joining pages from before and after an outage of the cloud.
    if (this.startedAt !== null && now - this.startedAt > 2 * this.lagMs) this.reset();
    return this.startedAt !== null;
  }

  /** The name after which the next page begins. */
  get after(): string | undefined {
    return this.pages.at(-1)?.host;
  }

  /** Takes in the next page; the whole list if it was the last one. */
  addPage(machines: ListedMachine[], more: boolean, now: number): ListedMachine[] | null {
    this.startedAt ??= now;
    this.pages.push(...machines);
    if (more && machines.length > 0) return null;
    const all = this.pages;
    this.reset();
    return all;
  }

  /** Hosts of ours that the lists have dropped. */
  missing(all: ListedMachine[], isOurs: (host: string) => boolean, now: number): string[] {
    const live = new Set(all.filter((m) => m.state !== "failed").map((m) => m.host));
    for (const host of live) this.seen.set(host, { missingSince: null });
    const gone: string[] = [];
    for (const [host, seen] of this.seen) {
      if (live.has(host)) continue;
      if (!isOurs(host)) {
        this.seen.delete(host);
        continue;
      }
      seen.missingSince ??= now;
      if (now - seen.missingSince >= 2 * this.lagMs) gone.push(host);
    }
    return gone;
  }

  private reset(): void {
    this.pages = [];
    this.startedAt = null;
  }
}
