/** The records as a stream: one complete listing, then every change in order; a new listing after a gap. */
import { Readable } from "node:stream";
import type { SteadyClock } from "../runtime/clock.js";
import type { Logger } from "../runtime/log.js";
import { jittered, sleep } from "../runtime/sleep.js";
import type { RecordChange, RecordEntry } from "../wire/index.js";
import type { StateStoreClient } from "./state-store-client.js";

/** A complete listing of the records, or the changes since the last event. */
export type WatchEvent = {
  /** The state store's revision that the event leads to. */
  revision: number;
  /** Steady time, in milliseconds, up to which all durable changes are contained in this and earlier events. */
  completeAsOf: number;
} & ({ kind: "reset"; entries: RecordEntry[] } | { kind: "changes"; changes: RecordChange[] });

/** How often the state store is called, in milliseconds. */
export interface WatchPacing {
  /** How long one watch stays open without a change: it bounds the age of an unchanged view. */
  waitMs: number;
  /** The least time between the starts of two watches: a busy store is read in batches, within the rate limit. */
  spacingMs: number;
  /** The mean pause after a failed call. */
  retryMs: number;
}

/** The prefixes of the keys that are listed and watched. */
export interface WatchPrefixes {
  /** What the complete listing contains. */
  listed: string;
  /** Changes under this prefix of `listed` are followed. */
  watched: string;
}

/** A stream of `WatchEvent`s; failed calls are retried for ever, so that it ends only when it is destroyed. */
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
      // The time when the call is *sent*: whatever was durable by then is in the answer.
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
        const pauseMs = pacing.spacingMs - (clock() - completeAsOf);
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
    // Pages are read one after the other; changes since the *first* are applied on top of all of them.
    revision ??= page.revision;
    for (const entry of page.entries) entries.push(entry);
    after = page.entries.at(-1)?.key;
    more = page.more && after !== undefined;
  }
  return { entries, revision: revision ?? 0 };
}
