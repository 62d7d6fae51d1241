/** Reads the bodies of HTTP messages, up to a limit. */
import type { IncomingMessage } from "node:http";

/** A body is longer than its reader allows. */
export class BodyTooLargeError extends Error {
  override readonly name = "BodyTooLargeError";

  constructor(
    /** The most bytes that the reader allows. */
    readonly limitBytes: number,
  ) {
    super(`body over ${limitBytes} bytes`);
  }
}

/**
 * Reads a body as UTF-8 text. It reads by events: an async iterator over a small body costs more than all else that is
 * done with it.
 * @throws BodyTooLargeError if the body is longer than the limit; the rest of it is left unread
 * @throws Error if the connection fails or closes within the body
 */
export function readBodyText(message: IncomingMessage, limitBytes: number): Promise<string> {
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    let size = 0;
    message.on("data", (chunk: Buffer) => {
      size += chunk.byteLength;
      if (size <= limitBytes) return void chunks.push(chunk);
      message.pause();
      reject(new BodyTooLargeError(limitBytes));
    });
    message.once("end", () => {
      resolve(Buffer.concat(chunks).toString("utf8"));
    });
    message.once("error", reject);
    message.once("close", () => {
      reject(new Error("connection closed within a body"));
    });
  });
}

/** The value of a JSON text; undefined if the text is not JSON. */
export function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
