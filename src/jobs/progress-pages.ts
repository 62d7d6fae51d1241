/**
 * The records that hold a shard's completed tasks: many jobs in one record, called a page, since the state service takes
 * few writes a second. Only jobs of very many tasks have records of their own.
 */
import { keys, prefixes } from "../state/keys.js";
import type { ReplicaView } from "../state/replica.js";
import { Bitmap } from "./bitmap.js";
import { readCompletedTasksChunk, readCompletedTasksPage } from "./job-records.js";

/** A job that would fill more than this part of a record has records of its own. */
const MAX_SHARED_FRACTION = 1 / 8;
/** A record is filled up to this part: keys and punctuation around the bits take bytes as well. */
const PAGE_FILL_FRACTION = 3 / 4;
/** Base64 takes four characters for three bytes. */
const BASE64_EXPANSION = 4 / 3;
/** The punctuation around one job in a page, in bytes. */
const ENTRY_OVERHEAD_BYTES = 8;

/** Which completed tasks of which jobs of a shard are in which page. */
export class ProgressPages {
  /** The encoded bitmap of each job, by page. */
  private readonly pages: Map<string, string>[] = [];
  private readonly pageByJob = new Map<string, number>();

  constructor(private readonly valueBytes: number) {}

  /** Whether a job of so many tasks shares a page with others. */
  canSharePage(tasks: number): boolean {
    return (tasks / 8) * BASE64_EXPANSION <= this.valueBytes * MAX_SHARED_FRACTION;
  }

  /** Loads a page from its record. */
  load(page: number, jobs: Record<string, string>): void {
    for (const [id, bits] of Object.entries(jobs)) this.put(page, id, bits);
  }

  /** Sets the encoded bitmap of a job's completed tasks, and returns the page that is to be written. */
  set(id: string, bits: string): number {
    const page = this.pageByJob.get(id) ?? this.findPageWithSpace(id.length + bits.length);
    this.put(page, id, bits);
    return page;
  }

  /** Removes a job that is over from its page, which is written without it the next time. */
  remove(id: string): void {
    const page = this.pageByJob.get(id);
    if (page === undefined) return;
    this.pages[page]?.delete(id);
    this.pageByJob.delete(id);
  }

  /** The record of a page. */
  recordValue(page: number): { jobs: Record<string, string> } {
    return { jobs: Object.fromEntries(this.pages[page] ?? []) };
  }

  private put(page: number, id: string, bits: string): void {
    while (this.pages.length <= page) this.pages.push(new Map());
    this.pages[page]!.set(id, bits);
    this.pageByJob.set(id, page);
  }

  private findPageWithSpace(bytes: number): number {
    const needed = bytes + ENTRY_OVERHEAD_BYTES;
    for (let page = 0; ; page++)
      if (this.usedBytes(page) + needed <= this.valueBytes * PAGE_FILL_FRACTION) return page;
  }

  private usedBytes(page: number): number {
    let used = 0;
    for (const [id, bits] of this.pages[page] ?? []) used += id.length + bits.length + ENTRY_OVERHEAD_BYTES;
    return used;
  }
}

/** How many of a job's tasks the records show completed. */
export function countDurablyDone(view: ReplicaView, shard: number, id: string, tasks: number): number {
  const done = new Bitmap(tasks);
  for (const entry of view.list(`${prefixes.completedTasks}${shard}/`)) {
    const bits = readCompletedTasksPage(entry.value)?.[id];
    if (bits !== undefined) done.mergeChunk(0, bits);
  }
  for (let chunk = 0; ; chunk++) {
    const bits = readCompletedTasksChunk(view.get(keys.completedTasksChunk(id, chunk))?.value);
    if (bits === null) return done.count;
    done.mergeChunk(chunk, bits);
  }
}
