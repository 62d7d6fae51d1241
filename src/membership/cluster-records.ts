/**
 * The membership records in the state store: the running controllers, the leader, and the owner of each shard. The
 * version of a shard's record is the shard's fencing token.
 */
import * as z from "zod";
import { keys, prefixes } from "../state/keys.js";
import type { ReplicaView } from "../state/replica.js";

/** One process of a controller: the node's name and an id that is generated each time the process starts. */
export interface ControllerInstance {
  node: string;
  incarnation: string;
}

/** The stored form of a controller instance: the value of a member, leader or shard record. */
interface StoredController {
  node: string;
  incarnation: string;
  /** The id of the token advance that wrote the record; absent if another operation wrote it. */
  mark?: string | undefined;
}

const storedControllerSchema = z.object({
  node: z.string(),
  incarnation: z.string(),
  mark: z.string().optional(),
});

/** A controller instance read from a record, with the record's version. */
export interface ControllerRecord extends ControllerInstance {
  version: number;
  /** The id of the token advance that wrote the record; null if another operation wrote it. */
  advanceId: string | null;
}

/** The members, the leader and the shard owners at one revision of the state store. */
export interface Cluster {
  /** Keyed by node name. */
  members: Map<string, ControllerRecord>;
  leader: ControllerRecord | null;
  /** Indexed by shard; null for a shard that has never been assigned. */
  shards: (ControllerRecord | null)[];
}

/** Encodes a controller instance as the value of a member, leader or shard record. */
export const encodeController = ({ node, incarnation }: ControllerInstance): StoredController => ({
  node,
  incarnation,
});

/**
 * Encodes the value that an owner writes to its shard's record to advance the fencing token. `advanceId` must be unique
 * to this token advance.
 */
export const encodeTokenAdvance = (owner: ControllerInstance, advanceId: string): StoredController => ({
  ...encodeController(owner),
  mark: advanceId,
});

/** Decodes a controller instance; null if the value is malformed. */
export function decodeController(value: unknown): ControllerInstance | null {
  const parsed = storedControllerSchema.safeParse(value);
  return parsed.success ? { node: parsed.data.node, incarnation: parsed.data.incarnation } : null;
}

function readControllerRecord(view: ReplicaView, key: string): ControllerRecord | null {
  const entry = view.get(key);
  const parsed = storedControllerSchema.safeParse(entry?.value);
  if (entry === undefined || !parsed.success) return null;
  const { node, incarnation, mark } = parsed.data;
  return { node, incarnation, version: entry.version, advanceId: mark ?? null };
}

/** Reads the membership records of a cluster with `shardCount` shards from a replica. */
export function readCluster(view: ReplicaView, shardCount: number): Cluster {
  const members = new Map<string, ControllerRecord>();
  for (const entry of view.list(prefixes.members)) {
    const member = readControllerRecord(view, entry.key);
    if (member !== null) members.set(member.node, member);
  }
  return {
    members,
    leader: readControllerRecord(view, keys.leader),
    shards: Array.from({ length: shardCount }, (_, shard) => readControllerRecord(view, keys.shard(shard))),
  };
}

/** Whether any shard has changed its owner between two cluster states while the former owner remained a member. */
export function hasShardHandOver(before: Cluster, after: Cluster): boolean {
  return before.shards.some((formerOwner, shard) => {
    const owner = after.shards[shard]?.node;
    return (
      formerOwner !== null &&
      owner !== undefined &&
      owner !== formerOwner.node &&
      after.members.has(formerOwner.node)
    );
  });
}

/** Whether both arguments identify the same process of the same controller. */
export const isSameInstance = (a: ControllerInstance | null | undefined, b: ControllerInstance): boolean =>
  a?.node === b.node && a.incarnation === b.incarnation;
