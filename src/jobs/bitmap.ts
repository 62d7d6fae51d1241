/** Sets of task numbers as bitmaps, encoded in chunks that fit the state store's limit on value sizes. */

/** The number of task numbers in one chunk. */
export const CHUNK_TASKS = 16_384;

/** A set of task numbers below a fixed size, with one bit for each number. */
export class Bitmap {
  private readonly bytes: Uint8Array;
  /** The number of task numbers in the set. */
  count = 0;

  constructor(readonly size: number) {
    this.bytes = new Uint8Array(Math.ceil(size / 8));
  }

  /** Whether a task number is in the set. */
  has(index: number): boolean {
    return ((this.bytes[index >> 3] ?? 0) & (1 << (index & 7))) !== 0;
  }

  /** Adds a task number. Returns false if it is already in the set or not below the size. */
  add(index: number): boolean {
    if (index >= this.size || this.has(index)) return false;
    this.bytes[index >> 3]! |= 1 << (index & 7);
    this.count++;
    return true;
  }

  /** Encodes one chunk as base64. */
  encodeChunk(chunk: number): string {
    const start = (chunk * CHUNK_TASKS) >> 3;
    return Buffer.from(this.bytes.subarray(start, start + (CHUNK_TASKS >> 3))).toString("base64");
  }

  /** Adds the task numbers of a base64-encoded chunk; numbers not below the size are ignored. */
  mergeChunk(chunk: number, text: string): void {
    const bytes = Buffer.from(text, "base64");
    for (let i = 0; i < bytes.byteLength * 8; i++)
      if ((bytes[i >> 3]! & (1 << (i & 7))) !== 0) this.add(chunk * CHUNK_TASKS + i);
  }
}
