/** Frames on a byte stream: a length of four bytes, then the frame. */
import { Transform, type TransformCallback } from "node:stream";
import { decodeFrame, encodeFrame, type Frame } from "./messages.js";

const HEADER_BYTES = 4;
const MAX_FRAME_BYTES = 1024 * 1024;

/** A frame as it goes over the connection. */
export function frameBytes(frame: Frame): Buffer {
  const body = encodeFrame(frame);
  const bytes = Buffer.allocUnsafe(HEADER_BYTES + body.byteLength);
  bytes.writeUInt32BE(body.byteLength, 0);
  bytes.set(body, HEADER_BYTES);
  return bytes;
}

/** Bytes in, frames out. A broken or oversize frame ends the stream with an error. */
export class FrameDecoder extends Transform {
  private pending: Buffer = Buffer.alloc(0);

  constructor() {
    super({ readableObjectMode: true });
  }

  override _transform(chunk: Buffer, _encoding: string, done: TransformCallback): void {
    this.pending = this.pending.byteLength === 0 ? chunk : Buffer.concat([this.pending, chunk]);
    try {
      while (this.pending.byteLength >= HEADER_BYTES) {
        const size = this.pending.readUInt32BE(0);
        if (size > MAX_FRAME_BYTES) throw new Error(`a frame of ${size} bytes`);
        if (this.pending.byteLength < HEADER_BYTES + size) break;
        this.push(decodeFrame(this.pending.subarray(HEADER_BYTES, HEADER_BYTES + size)));
        this.pending = this.pending.subarray(HEADER_BYTES + size);
      }
      done();
    } catch (err) {
      done(err as Error);
    }
  }
}
