/** A set of task numbers, packed; kept in the state service in chunks that fit its values. */
export const CHUNK_TASKS = 16_384;

/** A set of task numbers as a bitmap that knows its size. */
export class Bitmap {
  private readonly bytes: Uint8Array;
  count = 0;

  constructor(readonly size: number) {
    this.bytes = new Uint8Array(Math.ceil(size / 8));
  }

  has(index: number): boolean {
    return ((this.bytes[index >> 3] ?? 0) & (1 << (index & 7))) !== 0;
  }

  add(index: number): boolean {
    if (index >= this.size || this.has(index)) return false;
    this.bytes[index >> 3]! |= 1 << (index & 7);
    this.count++;
    return true;
  }

  encodeChunk(chunk: number): string {
    const from = (chunk * CHUNK_TASKS) >> 3;
    return Buffer.from(this.bytes.subarray(from, from + (CHUNK_TASKS >> 3))).toString("base64");
  }

  /** Adds what an encoded chunk holds; bits past the size are ignored. */
  mergeChunk(chunk: number, text: string): void {
    const bytes = Buffer.from(text, "base64");
    for (let i = 0; i < bytes.byteLength * 8; i++)
      if ((bytes[i >> 3]! & (1 << (i & 7))) !== 0) this.add(chunk * CHUNK_TASKS + i);
  }
}
