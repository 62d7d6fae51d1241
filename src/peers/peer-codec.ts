/** Encodes and decodes the protobuf frames that controllers exchange. */
import protobuf from "protobufjs";
import type { Frame, MachineCondition } from "./peer-messages.js";
import { FRAME_TYPE_NAME, PEER_SCHEMA } from "./peer-schema.js";

/** Thrown when data received from another controller is not a valid frame. */
export class FrameError extends Error {
  override readonly name = "FrameError";
}

/** Machine states whose name on the wire differs from their name in the program. */
const MACHINE_STATE_WIRE_NAMES: [MachineCondition, string][] = [
  ["awaiting_heartbeat", "joining"],
  ["lease_expired", "silent"],
  ["quarantined", "sick"],
];
const wireNameByState = new Map<string, string>(MACHINE_STATE_WIRE_NAMES);
const stateByWireName = new Map<string, string>(
  MACHINE_STATE_WIRE_NAMES.map(([state, wireName]) => [wireName, state]),
);

/** The part of a message that contains machine states. */
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
 * @throws {FrameError} if the bytes are not a valid frame
 */
export function decodeFrame(bytes: Uint8Array): Frame {
  const plain = decodePlainObject(bytes);
  const kind = plain.body as string | undefined;
  if (kind === undefined) throw new FrameError("frame has no body");
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
    throw new FrameError("frame is not valid protobuf", { cause: err });
  }
}

/**
 * Replaces machine state names in place. This is safe because both the message to encode and the decoded object are
 * copies made by protobufjs; a second copy is avoided because summaries of hundreds of machines are sent every second.
 */
function renameMachineStates({ summary }: FrameContent, names: ReadonlyMap<string, string>): void {
  if (!summary) return;
  for (const machine of summary.machines) machine.state = names.get(machine.state) ?? machine.state;
}
