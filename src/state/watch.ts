/** Streams the records: a complete listing, then all changes in order, and a new listing after a gap in the changes. */
import { Readable } from "node:stream";
import type { SteadyClock } from "../runtime/clock.js";
import type { Logger } from "../runtime/log.js";
import { jittered, sleep } from "../runtime/sleep.js";
import type { RecordChange, RecordEntry } from "../wire/index.js";
import type { StateStoreClient } from "./state-store-client.js";

/** A complete listing of the records, or the changes since the previous event. */
export type WatchEvent = {
  /** The state store revision after the event. */
  revision: number;
  /** Steady time, in milliseconds: all changes durable by then are contained in this and earlier events. */
  completeAsOf: number;
} & ({ kind: "reset"; entries: RecordEntry[] } | { kind: "changes"; changes: RecordChange[] });

/** Intervals between calls to the state store, in milliseconds. */
export interface WatchPacing {
  /** How long one watch stays open without a change; this bounds the age of a replica that does not change. */
  waitMs: number;
  /**
   * The minimum time between the starts of two watches, so that a busy state store is read in batches and within the
   * rate limit.
   */
  minIntervalMs: number;
  /** The mean delay after a failed call; it is jittered. */
  retryMs: number;
}

/** The prefixes of the keys that are listed and watched. */
export interface WatchPrefixes {
  /** The prefix of the keys in the complete listing. */
  listed: string;
  /** The prefix of the keys whose changes are watched; `listed` starts with it. */
  watched: string;
}

/**
 * Returns a stream of `WatchEvent`s. Failed calls are retried indefinitely: the stream ends only when it is destroyed.
 */
export function watchRecords(
  client: StateStoreClient,
  { listed, watched }: WatchPrefixes,
  pacing: WatchPacing,
  clock: SteadyClock,
  log: Logger,
): Readable {
  async function* events(): AsyncGenerator<WatchEvent> {
    let since: number | null = null;
    for (;;) {
      // The time at which the call is sent: the response contains everything that was durable by then.
      const completeAsOf = clock();
      try {
        if (since === null) {
          const listing = await readAllPages(client, listed);
          since = listing.revision;
          yield { kind: "reset", entries: listing.entries, revision: since, completeAsOf };
          continue;
        }
        const batch = await client.watchChanges(watched, since, pacing.waitMs);
        if (batch === null) {
          since = null;
          continue;
        }
        since = Math.max(since, batch.revision);
        yield { kind: "changes", changes: batch.changes, revision: since, completeAsOf };
        const pauseMs = pacing.minIntervalMs - (clock() - completeAsOf);
        if (pauseMs > 0) await sleep(pauseMs);
      } catch (err) {
        log.debug({ err }, "watch failed");
        await sleep(jittered(pacing.retryMs));
      }
    }
  }
  return Readable.from(events(), { objectMode: true, highWaterMark: 1 });
}

async function readAllPages(
  client: StateStoreClient,
  prefix: string,
): Promise<{ entries: RecordEntry[]; revision: number }> {
  const entries: RecordEntry[] = [];
  let revision: number | null = null;
  for (let more = true, after: string | undefined; more;) {
    const page = await client.readPage(prefix, after);
    // Pages are read one at a time, so changes must be watched from the revision of the first page.
    revision ??= page.revision;
    for (const entry of page.entries) entries.push(entry);
    after = page.entries.at(-1)?.key;
    more = page.more && after !== undefined;
  }
  return { entries, revision: revision ?? 0 };
}
