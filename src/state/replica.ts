/** This controller's replica of the live records: written by the watch, read by all other modules. */
import { Writable } from "node:stream";
import type { RecordChange, RecordEntry } from "../wire/index.js";
import type { WatchEvent } from "./watch.js";
import { LIVE_PREFIX } from "./keys.js";

/** Read access to the replica. */
export interface ReplicaView {
  /** The state store revision that the replica has reached; 0 before the first listing. */
  readonly revision: number;
  /** Steady time in milliseconds: this view contains everything durable by then; -Infinity before the first listing. */
  readonly completeAsOf: number;
  get(key: string): RecordEntry | undefined;
  /** All entries under a prefix of `keys.ts`, in no particular order. */
  list(prefix: string): RecordEntry[];
}

/** Called after each batch of changes; `null` means that any record may have changed. */
export type ReplicaListener = (changes: RecordChange[] | null) => void;

/** A caller of `waitForRevision`. */
interface RevisionWaiter {
  revision: number;
  resolve(): void;
}

/** A replica of the live records, updated by the events of the watch that is piped into it. */
export class Replica extends Writable implements ReplicaView {
  revision = 0;
  completeAsOf = -Infinity;
  /** By kind of record, then by key, so that listing one kind does not scan the others. */
  private entriesByKind = new Map<string, Map<string, RecordEntry>>();
  private readonly changeListeners: ReplicaListener[] = [];
  private revisionWaiters: RevisionWaiter[] = [];

  constructor() {
    super({ objectMode: true, highWaterMark: 1 });
  }

  /** The record with the given key; undefined if the replica has none. */
  get(key: string): RecordEntry | undefined {
    return this.entriesByKind.get(kindOf(key))?.get(key);
  }

  list(prefix: string): RecordEntry[] {
    const matches: RecordEntry[] = [];
    for (const entry of this.entriesByKind.get(kindOf(prefix))?.values() ?? [])
      if (entry.key.startsWith(prefix)) matches.push(entry);
    return matches;
  }

  /** Resolves once the replica has reached the revision. There is no timeout; callers set their own. */
  waitForRevision(revision: number): Promise<void> {
    if (this.revision >= revision) return Promise.resolve();
    return new Promise((resolve) => this.revisionWaiters.push({ revision, resolve }));
  }

  /** Registers a listener that is called after each event of the watch. */
  onChange(listener: ReplicaListener): void {
    this.changeListeners.push(listener);
  }

  /** Applies one watch event; the stream calls this in the order of events. */
  override _write(event: WatchEvent, _encoding: string, callback: () => void): void {
    const changes = this.applyEvent(event);
    this.revision = Math.max(this.revision, event.revision);
    this.completeAsOf = Math.max(this.completeAsOf, event.completeAsOf);
    for (const listener of this.changeListeners) listener(changes);
    this.resolveRevisionWaiters();
    callback();
  }

  /** Applies an event and returns the changes that took effect; null if any record may have changed. */
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

  /**
   * Applies a change unless the replica has a record of the same or a higher version: changes are replayed from the
   * first page of a listing on, and a later page may already contain newer records.
   */
  private applyChange(change: RecordChange): boolean {
    // Records of ended jobs are not stored in the replica, but the change is passed on to listeners that need it.
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

/** The path segment after the live prefix, which identifies the kind of record. */
function kindOf(key: string): string {
  const end = key.indexOf("/", LIVE_PREFIX.length);
  return key.slice(LIVE_PREFIX.length, end < 0 ? undefined : end);
}
