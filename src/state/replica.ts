/** This node's copy of the live records, fed by the change feed. Others read it; only the feed writes it. */
import { Writable } from "node:stream";
import type { RecordChange, RecordEntry } from "../wire/index.js";
import type { WatchEvent } from "./watch.js";
import { LIVE_PREFIX } from "./keys.js";

/** What others may see of this node's copy of the records. */
export interface ReplicaView {
  readonly revision: number;
  /** Steady time up to which this view surely holds everything durable; -Infinity before the first reading. */
  readonly completeAsOf: number;
  get(key: string): RecordEntry | undefined;
  list(prefix: string): RecordEntry[];
}

/** Told after each batch; `null` means that everything may be different. */
export type ReplicaListener = (changed: RecordChange[] | null) => void;

interface RevisionWaiter {
  revision: number;
  reached(): void;
}

/** This node's copy of the live records. */
export class Replica extends Writable implements ReplicaView {
  revision = 0;
  completeAsOf = -Infinity;
  /** By the part of the key that says what kind of record it is: whoever asks for machines need not pass by jobs. */
  private kinds = new Map<string, Map<string, RecordEntry>>();
  private readonly changeListeners: ReplicaListener[] = [];
  private revisionWaiters: RevisionWaiter[] = [];

  constructor() {
    super({ objectMode: true, highWaterMark: 1 });
  }

  get(key: string): RecordEntry | undefined {
    return this.kinds.get(kindOf(key))?.get(key);
  }

  list(prefix: string): RecordEntry[] {
    const found: RecordEntry[] = [];
    for (const entry of this.kinds.get(kindOf(prefix))?.values() ?? [])
      if (entry.key.startsWith(prefix)) found.push(entry);
    return found;
  }

  /** Resolves once this copy shows the revision; what is kept waiting for ever is the caller's to bound. */
  waitForRevision(revision: number): Promise<void> {
    if (this.revision >= revision) return Promise.resolve();
    return new Promise((resolve) => this.revisionWaiters.push({ revision, reached: resolve }));
  }

  onChange(listener: ReplicaListener): void {
    this.changeListeners.push(listener);
  }

  override _write(item: WatchEvent, _encoding: string, done: () => void): void {
    let changed: RecordChange[] | null;
    if (item.kind === "reset") {
      this.kinds = new Map();
      for (const entry of item.entries) this.put(entry);
      changed = null;
    } else {
      changed = item.changes.filter((change) => this.apply(change));
    }
    this.revision = Math.max(this.revision, item.revision);
    this.completeAsOf = Math.max(this.completeAsOf, item.asOf);
    for (const listener of this.changeListeners) listener(changed);
    const waiting = this.revisionWaiters;
    this.revisionWaiters = waiting.filter((reader) => reader.revision > this.revision);
    for (const reader of waiting) if (reader.revision <= this.revision) reader.reached();
    done();
  }

  /** Events since the first page may be older than what a later page showed: the higher version wins. */
  private apply(change: RecordChange): boolean {
    // Of jobs that are over nothing is kept here; whoever remembers them is told.
    if (!change.key.startsWith(LIVE_PREFIX)) return true;
    const known = this.get(change.key);
    if (known !== undefined && known.version >= change.version) return false;
    if (change.value === undefined) return this.kinds.get(kindOf(change.key))?.delete(change.key) ?? false;
    this.put(change);
    return true;
  }

  private put(entry: RecordEntry): void {
    const kind = kindOf(entry.key);
    const entries = this.kinds.get(kind);
    if (entries) entries.set(entry.key, entry);
    else this.kinds.set(kind, new Map([[entry.key, entry]]));
  }
}

function kindOf(key: string): string {
  const end = key.indexOf("/", LIVE_PREFIX.length);
  return key.slice(LIVE_PREFIX.length, end < 0 ? undefined : end);
}
