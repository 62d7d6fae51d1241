/** The live records as a stream: one full reading, then every change in order; again from the start after a gap. */
import { Readable } from "node:stream";
import type { SteadyClock } from "../runtime/clock.js";
import type { Logger } from "../runtime/log.js";
import { jittered, sleep } from "../runtime/sleep.js";
import type { RecordChange, RecordEntry } from "../wire/index.js";
import type { StateStoreClient } from "./state-store-client.js";

/** A whole reading of the records, or changes since the last item. */
export type WatchEvent =
  | { kind: "reset"; entries: RecordEntry[]; revision: number; asOf: number }
  | { kind: "changes"; changes: RecordChange[]; revision: number; asOf: number };

/** How often the service is asked, in milliseconds. */
export interface WatchPacing {
  /** How long one watch stays open: bounds how old an unchanged view may be. */
  waitMs: number;
  /** The least time between two watches: a busy store is read in batches, within the budget. */
  spacingMs: number;
  /** The pause after a failed call. */
  retryMs: number;
}

/** The stream of records: a whole reading, then changes in order; a reading again after a gap. */
export function watchRecords(
  client: StateStoreClient,
  /** What is read whole, and what is then followed: a prefix of it. */
  { whole, followed }: { whole: string; followed: string },
  pace: WatchPacing,
  clock: SteadyClock,
  log: Logger,
): Readable {
  async function* items(): AsyncGenerator<WatchEvent> {
    let since: number | null = null;
    for (;;) {
      // `asOf` is when the call was *sent*: whatever was durable by then is in the answer.
      const asOf = clock();
      try {
        if (since === null) {
          const all = await readAllPages(client, whole);
          since = all.revision;
          yield { kind: "reset", entries: all.entries, revision: since, asOf };
          continue;
        }
        const next = await client.watchChanges(followed, since, pace.waitMs);
        if (next === null) {
          since = null;
          continue;
        }
        since = Math.max(since, next.revision);
        yield { kind: "changes", changes: next.changes, revision: since, asOf };
        const left = pace.spacingMs - (clock() - asOf);
        if (left > 0) await sleep(left);
      } catch (err) {
        log.debug({ err: (err as Error).message }, "state feed waits");
        await sleep(jittered(pace.retryMs));
      }
    }
  }
  return Readable.from(items(), { objectMode: true, highWaterMark: 1 });
}

async function readAllPages(
  client: StateStoreClient,
  prefix: string,
): Promise<{ entries: RecordEntry[]; revision: number }> {
  const entries: RecordEntry[] = [];
  let revision: number | null = null;
  for (let more = true, after: string | undefined; more;) {
    const page = await client.readPage(prefix, after);
    // Pages are read one after the other; changes since the *first* are replayed over all of them.
    revision ??= page.revision;
    for (const entry of page.entries) entries.push(entry);
    after = page.entries.at(-1)?.key;
    more = page.more && after !== undefined;
  }
  return { entries, revision: revision ?? 0 };
}
