/**
 * Where a shard's completed tasks are written: many jobs in one record, since the state service takes few writes a
 * second. Only jobs of very many tasks have records of their own.
 */
import { keys, prefixes } from "../state/keys.js";
import type { ReplicaView } from "../state/replica.js";
import { Bitmap } from "./bitmap.js";
import { readCompletedTasksChunk, readCompletedTasksPage } from "./job-records.js";

/** A job that would fill more than this part of a record has records of its own. */
const MAX_SHARED_FRACTION = 1 / 8;
/** A record is filled up to this part: names and marks around the bits take room as well. */
const PAGE_FILL_FRACTION = 3 / 4;

/** Which completed tasks of which jobs of a shard lie in which shared record. */
export class ProgressPages {
  private readonly pages: Map<string, string>[] = [];
  private readonly pageOf = new Map<string, number>();

  constructor(private readonly valueBytes: number) {}

  /** Whether a job of so many tasks shards a record with others. */
  sharesPages(tasks: number): boolean {
    return (tasks / 8) * (4 / 3) <= this.valueBytes * MAX_SHARED_FRACTION;
  }

  /** Takes in a page as the records have it. */
  load(page: number, jobs: Record<string, string>): void {
    for (const [id, bits] of Object.entries(jobs)) this.put(page, id, bits);
  }

  /** Sets a job's completed tasks, and says which page is to be written. */
  set(id: string, bits: string): number {
    const page = this.pageOf.get(id) ?? this.roomFor(id.length + bits.length);
    this.put(page, id, bits);
    return page;
  }

  /** A job that is over leaves its page, which is written without it the next time. */
  remove(id: string): void {
    const page = this.pageOf.get(id);
    if (page === undefined) return;
    this.pages[page]?.delete(id);
    this.pageOf.delete(id);
  }

  value(page: number): { jobs: Record<string, string> } {
    return { jobs: Object.fromEntries(this.pages[page] ?? []) };
  }

  private put(page: number, id: string, bits: string): void {
    while (this.pages.length <= page) this.pages.push(new Map());
    this.pages[page]!.set(id, bits);
    this.pageOf.set(id, page);
  }

  private roomFor(bytes: number): number {
    const marks = 8;
    for (let page = 0; ; page++) {
      let size = 0;
      for (const [id, bits] of this.pages[page] ?? []) size += id.length + bits.length + marks;
      if (size + bytes + marks <= this.valueBytes * PAGE_FILL_FRACTION) return page;
    }
  }
}

/** How many of a job's tasks the records show completed. */
export function countDurablyDone(view: ReplicaView, shard: number, id: string, tasks: number): number {
  const bits = new Bitmap(tasks);
  for (const entry of view.list(`${prefixes.completedTasks}${shard}/`)) {
    const text = readCompletedTasksPage(entry.value)?.[id];
    if (text !== undefined) bits.mergeChunk(0, text);
  }
  for (let chunk = 0; ; chunk++) {
    const text = readCompletedTasksChunk(view.get(keys.completedTasksChunk(id, chunk))?.value);
    if (text === null) return bits.count;
    bits.mergeChunk(chunk, text);
  }
}
