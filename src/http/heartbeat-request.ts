/** Recognises plain heartbeats among the requests on a connection; everything else is left to an HTTP server. */
import { MAX_BODY_BYTES, paths } from "../wire/index.js";

/** What a connection's unread bytes begin with. */
export type HeartbeatRequest =
  /** `end` is the number of bytes of the whole request. */
  | { kind: "heartbeat"; body: string; end: number }
  /** It may become a heartbeat once more bytes have been received. */
  | { kind: "incomplete" }
  /** Anything else, an oversize or unusual heartbeat included. */
  | { kind: "other" };

/** The request line. */
const REQUEST_LINE = Buffer.from(`POST ${paths.heartbeat} HTTP/1.1\r\n`, "latin1");
const HEADERS_END = Buffer.from("\r\n\r\n", "latin1");
/** No worker sends a longer head. */
const MAX_HEAD_BYTES = 4096;
/** A plain heartbeat has its length once, and no header that changes how its body or connection is to be read. */
const CONTENT_LENGTH = /\r\ncontent-length:[ \t]*(\d{1,8})[ \t]*\r\n/;
const UNSUPPORTED_HEADER =
  /\r\n(?:transfer-encoding|expect|upgrade|connection:(?![ \t]*keep-alive[ \t]*\r\n)|[ \t])/;

const INCOMPLETE: HeartbeatRequest = { kind: "incomplete" };
const OTHER: HeartbeatRequest = { kind: "other" };

/** Reads the first request of a connection's unread bytes. */
export function parseHeartbeatRequest(bytes: Buffer): HeartbeatRequest {
  const comparedBytes = Math.min(bytes.byteLength, REQUEST_LINE.byteLength);
  if (REQUEST_LINE.compare(bytes, 0, comparedBytes, 0, comparedBytes) !== 0) return OTHER;
  const headEnd = bytes.indexOf(HEADERS_END);
  if (headEnd < 0) return bytes.byteLength > MAX_HEAD_BYTES ? OTHER : INCOMPLETE;
  // From the line break before the first header to that after the last one.
  const head = bytes.toString("latin1", REQUEST_LINE.byteLength - 2, headEnd + 2).toLowerCase();
  const contentLength = CONTENT_LENGTH.exec(head);
  if (contentLength === null || UNSUPPORTED_HEADER.test(head)) return OTHER;
  if (head.includes("content-length", contentLength.index + 4)) return OTHER;
  const bodyBytes = Number(contentLength[1]);
  if (bodyBytes > MAX_BODY_BYTES) return OTHER;
  const bodyStart = headEnd + HEADERS_END.byteLength;
  const end = bodyStart + bodyBytes;
  if (bytes.byteLength < end) return INCOMPLETE;
  return { kind: "heartbeat", body: bytes.toString("utf8", bodyStart, end), end };
}
