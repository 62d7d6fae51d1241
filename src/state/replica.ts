/** This controller's replica of the live records: the watch writes it, all other modules read it. */
import { Writable } from "node:stream";
import type { RecordChange, RecordEntry } from "../wire/index.js";
import type { WatchEvent } from "./watch.js";
import { LIVE_PREFIX } from "./keys.js";

/** What other modules may read of the replica. */
export interface ReplicaView {
  /** The state store's revision that the replica has reached; 0 before the first listing. */
  readonly revision: number;
  /** Steady time up to which this view surely holds everything durable; -Infinity before the first listing. */
  readonly completeAsOf: number;
  get(key: string): RecordEntry | undefined;
  /** All entries under a prefix of `keys.ts`, in no particular order. */
  list(prefix: string): RecordEntry[];
}

/** Called after each batch of changes; `null` means that every record may have changed. */
export type ReplicaListener = (changes: RecordChange[] | null) => void;

/** A reader that waits until the replica has reached a revision. */
interface RevisionWaiter {
  revision: number;
  resolve(): void;
}

/** This controller's replica of the live records. */
export class Replica extends Writable implements ReplicaView {
  revision = 0;
  completeAsOf = -Infinity;
  /** By kind of record, then by key: a listing of one kind does not pass over the others. */
  private entriesByKind = new Map<string, Map<string, RecordEntry>>();
  private readonly changeListeners: ReplicaListener[] = [];
  private revisionWaiters: RevisionWaiter[] = [];

  constructor() {
    super({ objectMode: true, highWaterMark: 1 });
  }

  /** The record of a key; undefined where the replica has none. */
  get(key: string): RecordEntry | undefined {
    return this.entriesByKind.get(kindOf(key))?.get(key);
  }

  list(prefix: string): RecordEntry[] {
    const found: RecordEntry[] = [];
    for (const entry of this.entriesByKind.get(kindOf(prefix))?.values() ?? [])
      if (entry.key.startsWith(prefix)) found.push(entry);
    return found;
  }

  /** Resolves once the replica has reached the revision. There is no timeout: callers set their own. */
  waitForRevision(revision: number): Promise<void> {
    if (this.revision >= revision) return Promise.resolve();
    return new Promise((resolve) => this.revisionWaiters.push({ revision, resolve }));
  }

  /** Calls the listener after each event of the watch. */
  onChange(listener: ReplicaListener): void {
    this.changeListeners.push(listener);
  }

  /** Applies one watch event; called by the stream, in order. */
  override _write(event: WatchEvent, _encoding: string, done: () => void): void {
    const changes = this.applyEvent(event);
    this.revision = Math.max(this.revision, event.revision);
    this.completeAsOf = Math.max(this.completeAsOf, event.completeAsOf);
    for (const listener of this.changeListeners) listener(changes);
    this.resolveRevisionWaiters();
    done();
  }

  /** The changes that took effect; null if every record may have changed. */
  private applyEvent(event: WatchEvent): RecordChange[] | null {
    switch (event.kind) {
      case "reset":
        this.entriesByKind = new Map();
        for (const entry of event.entries) this.put(entry);
        return null;
      case "changes":
        return event.changes.filter((change) => this.applyChange(change));
    }
  }

  private resolveRevisionWaiters(): void {
    const waiters = this.revisionWaiters;
    this.revisionWaiters = waiters.filter((waiter) => waiter.revision > this.revision);
    for (const waiter of waiters) if (waiter.revision <= this.revision) waiter.resolve();
  }

  /** Changes since the first page of a listing may be older than what a later page showed: the higher version wins. */
  private applyChange(change: RecordChange): boolean {
    // Ended jobs are not part of the replica; listeners that keep them get the change.
    if (!change.key.startsWith(LIVE_PREFIX)) return true;
    const known = this.get(change.key);
    if (known !== undefined && known.version >= change.version) return false;
    if (change.value === undefined)
      return this.entriesByKind.get(kindOf(change.key))?.delete(change.key) ?? false;
    this.put(change);
    return true;
  }

  private put(entry: RecordEntry): void {
    const kind = kindOf(entry.key);
    const entries = this.entriesByKind.get(kind);
    if (entries) entries.set(entry.key, entry);
    else this.entriesByKind.set(kind, new Map([[entry.key, entry]]));
  }
}

/** The part of a live key or prefix that names the kind of record. */
function kindOf(key: string): string {
  const end = key.indexOf("/", LIVE_PREFIX.length);
  return key.slice(LIVE_PREFIX.length, end < 0 ? undefined : end);
}
