/** Reads and parses the bodies of HTTP messages, up to a size limit. */
import type { IncomingMessage } from "node:http";

/** Thrown if a body is longer than the limit. */
export class BodyTooLargeError extends Error {
  override readonly name = "BodyTooLargeError";

  constructor(
    /** The maximum length of the body, in bytes. */
    readonly limitBytes: number,
  ) {
    super(`body exceeds ${limitBytes} bytes`);
  }
}

/**
 * Reads a body as UTF-8 text. Uses events rather than an async iterator, which for a small body costs more than all
 * other processing of it.
 * @throws BodyTooLargeError if the body is longer than the limit; the rest of it is left unread
 * @throws Error if the connection fails or closes before the end of the body
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
      reject(new Error("connection closed before the end of the body"));
    });
  });
}

/** Parses JSON; returns undefined if the text is not valid JSON. */
export function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
