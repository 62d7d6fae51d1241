/** The records of who is up, who leads and who owns which shard. A shard's token is its record's version. */
import * as z from "zod";
import { keys, prefixes } from "../state/keys.js";
import type { ReplicaView } from "../state/replica.js";

const controllerSchema = z.object({ node: z.string(), incarnation: z.string(), mark: z.string().optional() });

/** One life of a controller: its node and a name made at its start. */
export interface ControllerInstance {
  node: string;
  incarnation: string;
}

/** A process as a record names it, and the version of that record. */
export interface ControllerRecord extends ControllerInstance {
  version: number;
  /** Which raise of a shard's token wrote it, if one did. */
  mark?: string | undefined;
}

/** Who is a member, who leads and who owns which shard, at one revision. */
export interface Cluster {
  members: Map<string, ControllerRecord>;
  leader: ControllerRecord | null;
  /** By shard; null where nobody has ever owned it. */
  shards: (ControllerRecord | null)[];
}

function readControllerRecord(view: ReplicaView, key: string): ControllerRecord | null {
  const entry = view.get(key);
  const parsed = controllerSchema.safeParse(entry?.value);
  return entry === undefined || !parsed.success ? null : { ...parsed.data, version: entry.version };
}

/** Reads the ownership records out of a replica. */
export function readCluster(view: ReplicaView, shards: number): Cluster {
  const members = new Map<string, ControllerRecord>();
  for (const entry of view.list(prefixes.members)) {
    const member = readControllerRecord(view, entry.key);
    if (member !== null) members.set(member.node, member);
  }
  return {
    members,
    leader: readControllerRecord(view, keys.leader),
    shards: Array.from({ length: shards }, (_, n) => readControllerRecord(view, keys.shard(n))),
  };
}

/** Whether a shard has gone from one live node to another in between. */
export function hasShardHandOver(before: Cluster, now: Cluster): boolean {
  return before.shards.some((shard, n) => {
    const owner = now.shards[n]?.node;
    return shard !== null && owner !== undefined && owner !== shard.node && now.members.has(shard.node);
  });
}

export const isSameInstance = (a: ControllerInstance | null | undefined, b: ControllerInstance): boolean =>
  a?.node === b.node && a.incarnation === b.incarnation;

/** A change of a shard's record that its owner made itself, or meant to: the token rises, and the owner stays. */
export interface TokenAdvance {
  /** The version that the change was made on the condition of. */
  fromVersion: number;
  /** A name that no other change bears. */
  advanceId: string;
}

/**
 * Whether an owner that knew its shard at one version may go on with what it knows at another. Guards against
 * `ran_twice`: a process cut off for a while may find itself the owner again without ever having seen that
 * another was in between. Only a change that it made itself, on the version that it knew, leaves no such gap. The
 * change is known by its mark, since the feed may show it before the write is answered, or without an answer ever.
 */
export function continuesTerm(
  known: number,
  now: Pick<ControllerRecord, "version" | "mark">,
  advance: TokenAdvance | undefined,
): boolean {
  if (now.version === known) return true;
  return advance?.fromVersion === known && advance.advanceId === now.mark;
}
