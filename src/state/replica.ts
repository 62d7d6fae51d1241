/** This node's copy of the live records, fed by the change feed. Others read it; only the feed writes it. */
import { Writable } from "node:stream";
import type { Change, Entry } from "../wire/index.js";
import type { FeedItem } from "./feed.js";

export interface ReplicaView {
  readonly revision: number;
  /** Steady time up to which this view surely holds everything durable; -Infinity before the first reading. */
  readonly asOf: number;
  get(key: string): Entry | undefined;
  under(prefix: string): Entry[];
}

/** Told after each batch; `null` means that everything may be different. */
export type ReplicaListener = (changed: Change[] | null) => void;

export class Replica extends Writable implements ReplicaView {
  revision = 0;
  asOf = -Infinity;
  private entries = new Map<string, Entry>();
  private readonly followers: ReplicaListener[] = [];

  constructor() {
    super({ objectMode: true, highWaterMark: 1 });
  }

  get(key: string): Entry | undefined {
    return this.entries.get(key);
  }

  under(prefix: string): Entry[] {
    const found: Entry[] = [];
    for (const entry of this.entries.values()) if (entry.key.startsWith(prefix)) found.push(entry);
    return found;
  }

  onChange(listener: ReplicaListener): void {
    this.followers.push(listener);
  }

  override _write(item: FeedItem, _encoding: string, done: () => void): void {
    let changed: Change[] | null;
    if (item.kind === "reset") {
      this.entries = new Map(item.entries.map((entry) => [entry.key, entry]));
      changed = null;
    } else {
      changed = item.changes.filter((change) => this.apply(change));
    }
    this.revision = Math.max(this.revision, item.revision);
    this.asOf = Math.max(this.asOf, item.asOf);
    for (const listener of this.followers) listener(changed);
    done();
  }

  /** Events since the first page may be older than what a later page showed: the higher version wins. */
  private apply(change: Change): boolean {
    const known = this.entries.get(change.key);
    if (known !== undefined && known.version >= change.version) return false;
    if (change.value === undefined) return this.entries.delete(change.key);
    this.entries.set(change.key, change);
    return true;
  }
}
