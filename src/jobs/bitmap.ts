/** Sets of task numbers as bitmaps, which the state service holds in chunks that fit its values. */

/** The number of tasks in one chunk. */
export const CHUNK_TASKS = 16_384;

/** A set of task numbers below a fixed size, one bit for each. */
export class Bitmap {
  private readonly bytes: Uint8Array;
  /** How many task numbers are in the set. */
  count = 0;

  constructor(readonly size: number) {
    this.bytes = new Uint8Array(Math.ceil(size / 8));
  }

  /** Whether a task number is in the set. */
  has(index: number): boolean {
    return ((this.bytes[index >> 3] ?? 0) & (1 << (index & 7))) !== 0;
  }

  /** Adds a task number; false where it is in the set already or past the size. */
  add(index: number): boolean {
    if (index >= this.size || this.has(index)) return false;
    this.bytes[index >> 3]! |= 1 << (index & 7);
    this.count++;
    return true;
  }

  /** The bits of one chunk, as base64. */
  encodeChunk(chunk: number): string {
    const start = (chunk * CHUNK_TASKS) >> 3;
    return Buffer.from(this.bytes.subarray(start, start + (CHUNK_TASKS >> 3))).toString("base64");
  }

  /** Adds the task numbers of an encoded chunk; bits past the size are ignored. */
  mergeChunk(chunk: number, text: string): void {
    const bytes = Buffer.from(text, "base64");
    for (let i = 0; i < bytes.byteLength * 8; i++)
      if ((bytes[i >> 3]! & (1 << (i & 7))) !== 0) this.add(chunk * CHUNK_TASKS + i);
  }
}
