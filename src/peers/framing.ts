/** Frames on a byte stream: a length of four bytes, big-endian, then the frame. */
import { Transform, type TransformCallback } from "node:stream";
import { decodeFrame, encodeFrame, FrameError } from "./peer-codec.js";
import type { Frame } from "./peer-messages.js";

const HEADER_BYTES = 4;
const MAX_FRAME_BYTES = 1024 * 1024;

/** A frame as it goes over the connection. */
export function encodeLengthPrefixedFrame(frame: Frame): Buffer {
  const body = encodeFrame(frame);
  const bytes = Buffer.allocUnsafe(HEADER_BYTES + body.byteLength);
  bytes.writeUInt32BE(body.byteLength, 0);
  bytes.set(body, HEADER_BYTES);
  return bytes;
}

/** Bytes in, frames out. A broken or oversize frame ends the stream with a `FrameError`. */
export class FrameDecoder extends Transform {
  private pending: Buffer = Buffer.alloc(0);

  constructor() {
    super({ readableObjectMode: true });
  }

  /** Splits the bytes received so far into frames; a frame that cannot be read ends the stream with its FrameError. */
  override _transform(chunk: Buffer, _encoding: string, done: TransformCallback): void {
    this.pending = this.pending.byteLength === 0 ? chunk : Buffer.concat([this.pending, chunk]);
    try {
      this.pushCompleteFrames();
      done();
    } catch (err) {
      done(err as Error);
    }
  }

  private pushCompleteFrames(): void {
    while (this.pending.byteLength >= HEADER_BYTES) {
      const bodyBytes = this.pending.readUInt32BE(0);
      if (bodyBytes > MAX_FRAME_BYTES) throw new FrameError(`a frame of ${bodyBytes} bytes`);
      const frameEnd = HEADER_BYTES + bodyBytes;
      if (this.pending.byteLength < frameEnd) return;
      this.push(decodeFrame(this.pending.subarray(HEADER_BYTES, frameEnd)));
      this.pending = this.pending.subarray(frameEnd);
    }
  }
}
