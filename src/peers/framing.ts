/** Framing on a byte stream: each frame is preceded by its length as a four-byte big-endian integer. */
import { Transform, type TransformCallback } from "node:stream";
import { decodeFrame, encodeFrame, FrameError } from "./peer-codec.js";
import type { Frame } from "./peer-messages.js";

const HEADER_BYTES = 4;
const MAX_FRAME_BYTES = 1024 * 1024;

/** Encodes a frame with its length prefix, as it is written to a connection. */
export function encodeLengthPrefixedFrame(frame: Frame): Buffer {
  const body = encodeFrame(frame);
  const bytes = Buffer.allocUnsafe(HEADER_BYTES + body.byteLength);
  bytes.writeUInt32BE(body.byteLength, 0);
  bytes.set(body, HEADER_BYTES);
  return bytes;
}

/** Transforms a byte stream into frames. A malformed or oversize frame destroys the stream with a `FrameError`. */
export class FrameDecoder extends Transform {
  private pending: Buffer = Buffer.alloc(0);

  constructor() {
    super({ readableObjectMode: true });
  }

  /** Emits every frame that is complete; an undecodable frame destroys the stream with its `FrameError`. */
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
      if (bodyBytes > MAX_FRAME_BYTES)
        throw new FrameError(`frame length of ${bodyBytes} bytes is above the limit`);
      const frameEnd = HEADER_BYTES + bodyBytes;
      if (this.pending.byteLength < frameEnd) return;
      this.push(decodeFrame(this.pending.subarray(HEADER_BYTES, frameEnd)));
      this.pending = this.pending.subarray(frameEnd);
    }
  }
}
