/**
 * The records of a shard's completed tasks. Many jobs share one record, called a page, because the state store allows
 * few writes per second. Only jobs with very many tasks have records of their own.
 */
import { keys, prefixes } from "../state/keys.js";
import type { ReplicaView } from "../state/replica.js";
import { Bitmap } from "./bitmap.js";
import { decodeCompletedTasksChunk, decodeCompletedTasksPage } from "./job-records.js";

/** A job that needs more than this fraction of a record's size has records of its own. */
const MAX_SHARED_FRACTION = 1 / 8;
/** The fraction of a record's size that is filled; keys and punctuation around the bitmaps take space as well. */
const PAGE_FILL_FRACTION = 3 / 4;
/** Base64 encodes three bytes in four characters. */
const BASE64_EXPANSION = 4 / 3;
/** The bytes of punctuation for one job in a page. */
const ENTRY_OVERHEAD_BYTES = 8;

/** The pages of one shard, with the completed tasks of the jobs in each. */
export class ProgressPages {
  /** For each page, the encoded bitmaps by job id. */
  private readonly pages: Map<string, string>[] = [];
  private readonly pageByJob = new Map<string, number>();

  constructor(private readonly valueBytes: number) {}

  /** Whether a job with this number of tasks is small enough to share a page with others. */
  canSharePage(tasks: number): boolean {
    return (tasks / 8) * BASE64_EXPANSION <= this.valueBytes * MAX_SHARED_FRACTION;
  }

  /** Loads a page from its record. */
  load(page: number, jobs: Record<string, string>): void {
    for (const [id, bits] of Object.entries(jobs)) this.put(page, id, bits);
  }

  /** Sets the encoded bitmap of a job's completed tasks, and returns the number of the page to write. */
  set(id: string, bits: string): number {
    const page = this.pageByJob.get(id) ?? this.findPageWithSpace(id.length + bits.length);
    this.put(page, id, bits);
    return page;
  }

  /** Removes an ended job from its page; the record keeps it until the page is next written. */
  remove(id: string): void {
    const page = this.pageByJob.get(id);
    if (page === undefined) return;
    this.pages[page]?.delete(id);
    this.pageByJob.delete(id);
  }

  /** The value to store in the record of a page. */
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

/** Counts the tasks of a job that are completed according to the records. */
export function countDurablyDone(view: ReplicaView, shard: number, id: string, tasks: number): number {
  const done = new Bitmap(tasks);
  for (const entry of view.list(`${prefixes.completedTasks}${shard}/`)) {
    const bits = decodeCompletedTasksPage(entry.value)?.[id];
    if (bits !== undefined) done.mergeChunk(0, bits);
  }
  for (let chunk = 0; ; chunk++) {
    const bits = decodeCompletedTasksChunk(view.get(keys.completedTasksChunk(id, chunk))?.value);
    if (bits === null) return done.count;
    done.mergeChunk(chunk, bits);
  }
}
