/** Recognises plain reports among requests as they come over a connection; leaves everything else to an HTTP server. */
import { MAX_BODY_BYTES, paths } from "../wire/index.js";

/** What a connection's unread bytes begin with. */
export type HeartbeatRequest =
  | { kind: "report"; body: string; /** How many bytes it takes. */ end: number }
  /** It may become a report once more bytes have come. */
  | { kind: "incomplete" }
  /** Anything else, an oversize or odd report included. */
  | { kind: "other" };

const START = Buffer.from(`POST ${paths.heartbeat} HTTP/1.1\r\n`, "latin1");
const HEAD_END = Buffer.from("\r\n\r\n", "latin1");
/** A longer head is no worker's. */
const MAX_HEAD_BYTES = 4096;
/** A plain report has its length once, and nothing that changes how its body or connection is to be read. */
const LENGTH = /\r\ncontent-length:[ \t]*(\d{1,8})[ \t]*\r\n/;
const ODD = /\r\n(?:transfer-encoding|expect|upgrade|connection:(?![ \t]*keep-alive[ \t]*\r\n)|[ \t])/;

const INCOMPLETE: HeartbeatRequest = { kind: "incomplete" };
const OTHER: HeartbeatRequest = { kind: "other" };

/** Reads the first request of a connection's unread bytes. */
export function readHeartbeatRequest(bytes: Buffer): HeartbeatRequest {
  const known = Math.min(bytes.byteLength, START.byteLength);
  if (START.compare(bytes, 0, known, 0, known) !== 0) return OTHER;
  const headEnd = bytes.indexOf(HEAD_END);
  if (headEnd < 0) return bytes.byteLength > MAX_HEAD_BYTES ? OTHER : INCOMPLETE;
  const head = bytes.toString("latin1", START.byteLength - 2, headEnd + 2).toLowerCase();
  const length = LENGTH.exec(head);
  if (length === null || ODD.test(head) || head.includes("content-length", length.index + 4)) return OTHER;
  const size = Number(length[1]);
  if (size > MAX_BODY_BYTES) return OTHER;
  const end = headEnd + HEAD_END.byteLength + size;
  if (bytes.byteLength < end) return INCOMPLETE;
  return { kind: "report", body: bytes.toString("utf8", headEnd + HEAD_END.byteLength, end), end };
}
