/**
 * The records of the membership: which controllers are up, which one leads and which one owns each shard. The version of
 * a shard's record is the shard's fencing token.
 */
import * as z from "zod";
import { keys, prefixes } from "../state/keys.js";
import type { ReplicaView } from "../state/replica.js";

/** One life of a controller: its node, and an id that it made at its start. */
export interface ControllerInstance {
  node: string;
  incarnation: string;
}

/** The value of a record that names a controller instance, as it is stored. */
interface StoredController {
  node: string;
  incarnation: string;
  /** The id of the token advance that wrote the record, if one did. */
  mark?: string | undefined;
}

const storedControllerSchema = z.object({
  node: z.string(),
  incarnation: z.string(),
  mark: z.string().optional(),
});

/** A controller instance as a record names it. */
export interface ControllerRecord extends ControllerInstance {
  version: number;
  /** Which token advance of a shard's owner wrote the record; null if none did. */
  advanceId: string | null;
}

/** Which controllers are members, which one leads and which one owns each shard, at one revision. */
export interface Cluster {
  /** By node. */
  members: Map<string, ControllerRecord>;
  leader: ControllerRecord | null;
  /** By shard; null where no controller has ever owned it. */
  shards: (ControllerRecord | null)[];
}

/** The value of a record that names a controller instance as member, leader or owner. */
export const encodeController = ({ node, incarnation }: ControllerInstance): StoredController => ({
  node,
  incarnation,
});

/** The value of a shard's record whose owner advances its token: no other write has the same `advanceId`. */
export const encodeTokenAdvance = (owner: ControllerInstance, advanceId: string): StoredController => ({
  ...encodeController(owner),
  mark: advanceId,
});

/** The controller instance that a record's value names; null if the value does not name one. */
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

/** Reads the membership records of a cluster of so many shards out of a replica. */
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

/** Whether a shard has passed from one live controller to another between two states of the cluster. */
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

/** Whether two records name the same life of the same controller. */
export const isSameInstance = (a: ControllerInstance | null | undefined, b: ControllerInstance): boolean =>
  a?.node === b.node && a.incarnation === b.incarnation;
