/**
 * A controller's view of its own links, as it tells it to its peers in frames that go out anyway. A view is a hint: it
 * tells failures apart and proves nothing about ownership or tasks, so that one that cannot be read is just dropped.
 */
import protobuf from "protobufjs";
import * as z from "zod";
import { DIRECTIONS, LINK_STATES } from "./model.js";

/** The version of the format that this program writes, and the newest that it reads. */
export const VIEW_VERSION = 1;

/** No honest view is larger: links to some dozens of peers, and shards of as many controllers. */
const MAX_VIEW_BYTES = 16 * 1024;
const MAX_NAME_LENGTH = 200;

const viewType = protobuf
  .parse(
    `
syntax = "proto3";
package fernpond;

message LinkView {
  uint32 version = 1;
  string node = 2;
  string incarnation = 3;
  // Rises with every view of one incarnation.
  uint64 sequence = 4;
  repeated LinkNote links = 5;
  repeated MisroutedWorkers misrouted = 6;
}

message LinkNote { string link = 1; string direction = 2; string state = 3; }

// Workers that follow the token of a shard's owner and came to this controller instead, lately.
message MisroutedWorkers { uint32 shard = 1; uint32 workers = 2; uint64 term = 3; }
`,
  )
  .root.lookupType("fernpond.LinkView");

const nameSchema = z.string().min(1).max(MAX_NAME_LENGTH);

const viewSchema = z.object({
  version: z.int().positive(),
  node: nameSchema,
  incarnation: nameSchema,
  sequence: z.int().positive(),
  links: z.array(z.object({ link: nameSchema, direction: z.enum(DIRECTIONS), state: z.enum(LINK_STATES) })),
  misrouted: z.array(
    z.object({ shard: z.int().nonnegative(), term: z.int().nonnegative(), workers: z.int().positive() }),
  ),
});

/** One controller's view of its links. */
export type LinkView = z.infer<typeof viewSchema>;

/** Why a view was not taken in. */
export type ViewRejection =
  | "malformed"
  /** Written by a program that knows a newer format. */
  | "unsupported_version"
  /** From a controller that the settings do not name, or under this controller's own name. */
  | "unknown_node"
  /** A late copy, or from a process that another has replaced. */
  | "outdated"
  /** It differs from another view of the same process with the same number. */
  | "contradictory";

/** A view, or why there is none. */
export type DecodedView = { ok: true; view: LinkView } | { ok: false; reason: ViewRejection };

/** Encodes a view for a frame. */
export function encodeView(view: LinkView): Uint8Array {
  return viewType.encode(viewType.fromObject(view)).finish();
}

/** Decodes and checks what came with a frame. Never throws: whatever is odd about it, the frame itself still counts. */
export function decodeView(bytes: Uint8Array): DecodedView {
  if (bytes.byteLength > MAX_VIEW_BYTES) return { ok: false, reason: "malformed" };
  let decoded: Record<string, unknown>;
  try {
    decoded = viewType.toObject(viewType.decode(bytes), { longs: Number, defaults: true, arrays: true });
  } catch {
    return { ok: false, reason: "malformed" };
  }
  // Looked at first: a newer format may differ in all else.
  if (typeof decoded.version === "number" && decoded.version > VIEW_VERSION)
    return { ok: false, reason: "unsupported_version" };
  const parsed = viewSchema.safeParse(decoded);
  return parsed.success ? { ok: true, view: parsed.data } : { ok: false, reason: "malformed" };
}
