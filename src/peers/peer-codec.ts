/** Encodes and decodes the frames between controllers. */
import protobuf from "protobufjs";
import type { Frame, MachineCondition } from "./peer-messages.js";
import { FRAME_TYPE_NAME, PEER_SCHEMA } from "./peer-schema.js";

/** Bytes from another controller that are no frame. */
export class FrameError extends Error {
  override readonly name = "FrameError";
}

/** The states of machines that have another name on the wire. */
const MACHINE_STATE_WIRE_NAMES: [MachineCondition, string][] = [
  ["awaiting_heartbeat", "joining"],
  ["lease_expired", "silent"],
  ["quarantined", "sick"],
];
const wireNameByState = new Map<string, string>(MACHINE_STATE_WIRE_NAMES);
const stateByWireName = new Map<string, string>(
  MACHINE_STATE_WIRE_NAMES.map(([state, wireName]) => [wireName, state]),
);

/** A message of which only the states of machines are looked at. */
interface FrameContent {
  summary?: { machines: { state: string }[] } | null;
}

const frameType = protobuf.parse(PEER_SCHEMA).root.lookupType(FRAME_TYPE_NAME);

/** Encodes a frame as protobuf. */
export function encodeFrame(frame: Frame): Uint8Array {
  const { id, reply, body, linkView } = frame;
  const message = frameType.fromObject({ id, reply, ...body, ...(linkView && { linkView }) });
  renameMachineStates(message as FrameContent, wireNameByState);
  return frameType.encode(message).finish();
}

/**
 * Decodes a frame from protobuf.
 *
 * @throws {FrameError} on bytes that are no frame
 */
export function decodeFrame(bytes: Uint8Array): Frame {
  const plain = decodePlainObject(bytes);
  const kind = plain.body as string | undefined;
  if (kind === undefined) throw new FrameError("a frame without a body");
  renameMachineStates(plain, stateByWireName);
  const frame = { id: plain.id, reply: plain.reply, body: { [kind]: plain[kind] } } as unknown as Frame;
  const linkView = plain.linkView as Uint8Array;
  return linkView.byteLength > 0 ? { ...frame, linkView } : frame;
}

function decodePlainObject(bytes: Uint8Array): Record<string, unknown> {
  try {
    return frameType.toObject(frameType.decode(bytes), {
      longs: Number,
      defaults: true,
      arrays: true,
      oneofs: true,
    });
  } catch (err) {
    throw new FrameError("a frame that is not valid protobuf", { cause: err });
  }
}

/**
 * Renames the states of machines in place: both the message to be encoded and the decoded object are copies made by
 * protobufjs. A summary of hundreds of machines is sent once a second, so that this must not copy them again.
 */
function renameMachineStates({ summary }: FrameContent, names: ReadonlyMap<string, string>): void {
  if (!summary) return;
  for (const machine of summary.machines) machine.state = names.get(machine.state) ?? machine.state;
}
