/** A minimal HTTP/1.1 parser for plain heartbeat requests; it leaves all other requests to the HTTP server. */
import { MAX_BODY_BYTES, paths } from "../wire/index.js";

/** What the unread bytes of a connection start with. */
export type HeartbeatRequest =
  /** A complete heartbeat; `end` is the length of the whole request in bytes. */
  | { kind: "heartbeat"; body: string; end: number }
  /** A possible prefix of a heartbeat; more bytes are needed. */
  | { kind: "incomplete" }
  /** Any other request, including a heartbeat that is oversize or has unsupported headers. */
  | { kind: "other" };

/** The request line of a heartbeat. */
const REQUEST_LINE = Buffer.from(`POST ${paths.heartbeat} HTTP/1.1\r\n`, "latin1");
const HEADERS_END = Buffer.from("\r\n\r\n", "latin1");
/** The longest head of a heartbeat, in bytes; workers send shorter ones. */
const MAX_HEAD_BYTES = 4096;
/** Exactly one Content-Length is required, with no header that changes the framing of the body or the connection. */
const CONTENT_LENGTH = /\r\ncontent-length:[ \t]*(\d{1,8})[ \t]*\r\n/;
const UNSUPPORTED_HEADER =
  /\r\n(?:transfer-encoding|expect|upgrade|connection:(?![ \t]*keep-alive[ \t]*\r\n)|[ \t])/;

const INCOMPLETE: HeartbeatRequest = { kind: "incomplete" };
const OTHER: HeartbeatRequest = { kind: "other" };

/** Parses the first request in the unread bytes of a connection. */
export function parseHeartbeatRequest(bytes: Buffer): HeartbeatRequest {
  const comparedBytes = Math.min(bytes.byteLength, REQUEST_LINE.byteLength);
  if (REQUEST_LINE.compare(bytes, 0, comparedBytes, 0, comparedBytes) !== 0) return OTHER;
  const headEnd = bytes.indexOf(HEADERS_END);
  if (headEnd < 0) return bytes.byteLength > MAX_HEAD_BYTES ? OTHER : INCOMPLETE;
  // From the line break before the first header to the line break after the last one.
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
