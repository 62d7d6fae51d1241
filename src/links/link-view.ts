/**
 * A controller's view of its own links, which it attaches to frames that it sends to peers anyway. A view is a hint: it
 * helps to tell failures apart but proves nothing about ownership or tasks, so a malformed view is dropped.
 */
import protobuf from "protobufjs";
import * as z from "zod";
import { DIRECTIONS, LINK_STATES } from "./model.js";

/** The format version that is written, and the newest that is read. */
export const VIEW_VERSION = 1;

/** Views stay below this: links to some dozens of peers, and shards of as many controllers. */
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
  // Increases with every view of an incarnation.
  uint64 sequence = 4;
  repeated LinkNote links = 5;
  repeated MisroutedWorkers misrouted = 6;
}

message LinkNote { string link = 1; string direction = 2; string state = 3; }

// Workers that hold the token of the shard's owner but recently sent heartbeats to this controller instead.
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

/** Why a view was dropped. */
export type ViewRejection =
  | "malformed"
  /** The view has a newer format version. */
  | "unsupported_version"
  /** The sender is a controller that the settings do not name, or uses this controller's own name. */
  | "unknown_node"
  /** The view is older than the latest one, or from an incarnation that has been replaced. */
  | "outdated"
  /** The view differs from another with the same incarnation and sequence number. */
  | "contradictory";

/** A decoded view, or why it was dropped. */
export type DecodedView = { ok: true; view: LinkView } | { ok: false; reason: ViewRejection };

/** Encodes a view to attach it to a frame. */
export function encodeView(view: LinkView): Uint8Array {
  return viewType.encode(viewType.fromObject(view)).finish();
}

/** Decodes and validates a view. Never throws: a frame stays valid whatever view it carries. */
export function decodeView(bytes: Uint8Array): DecodedView {
  if (bytes.byteLength > MAX_VIEW_BYTES) return { ok: false, reason: "malformed" };
  let decoded: Record<string, unknown>;
  try {
    decoded = viewType.toObject(viewType.decode(bytes), { longs: Number, defaults: true, arrays: true });
  } catch {
    return { ok: false, reason: "malformed" };
  }
  // Checked before the schema, because a newer format may differ in any other field.
  if (typeof decoded.version === "number" && decoded.version > VIEW_VERSION)
    return { ok: false, reason: "unsupported_version" };
  const parsed = viewSchema.safeParse(decoded);
  return parsed.success ? { ok: true, view: parsed.data } : { ok: false, reason: "malformed" };
}
