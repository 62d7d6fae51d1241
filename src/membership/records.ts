/** The records of who is up, who leads and who owns which shard. A shard's token is its record's version. */
import * as z from "zod";
import { keys, prefixes } from "../state/keys.js";
import type { ReplicaView } from "../state/replica.js";

const who = z.object({ node: z.string(), incarnation: z.string(), mark: z.string().optional() });

/** One life of a controller: its node and a name made at its start. */
export interface Process {
  node: string;
  incarnation: string;
}

/** A process as a record names it, and the version of that record. */
export interface ProcessRecord extends Process {
  version: number;
  /** Which raise of a shard's token wrote it, if one did. */
  mark?: string | undefined;
}

/** Who is a member, who leads and who owns which shard, at one revision. */
export interface Cluster {
  members: Map<string, ProcessRecord>;
  leader: ProcessRecord | null;
  /** By shard; null where nobody has ever owned it. */
  shards: (ProcessRecord | null)[];
}

function processRecord(view: ReplicaView, key: string): ProcessRecord | null {
  const entry = view.get(key);
  const parsed = who.safeParse(entry?.value);
  return entry === undefined || !parsed.success ? null : { ...parsed.data, version: entry.version };
}

/** Reads the ownership records out of a replica. */
export function readCluster(view: ReplicaView, shards: number): Cluster {
  const members = new Map<string, ProcessRecord>();
  for (const entry of view.under(prefixes.members)) {
    const member = processRecord(view, entry.key);
    if (member !== null) members.set(member.node, member);
  }
  return {
    members,
    leader: processRecord(view, keys.leader),
    shards: Array.from({ length: shards }, (_, n) => processRecord(view, keys.shard(n))),
  };
}

/** Whether a shard has gone from one live node to another in between. */
export function passedOn(before: Cluster, now: Cluster): boolean {
  return before.shards.some((shard, n) => {
    const owner = now.shards[n]?.node;
    return shard !== null && owner !== undefined && owner !== shard.node && now.members.has(shard.node);
  });
}

export const sameProcess = (a: Process | null | undefined, b: Process): boolean =>
  a?.node === b.node && a.incarnation === b.incarnation;

/** A change of a shard's record that its owner made itself, or meant to: the token rises, and the owner stays. */
export interface TokenAdvance {
  /** The version that the change was made on the condition of. */
  from: number;
  /** A name that no other change bears. */
  mark: string;
}

/**
 * Whether an owner that knew its shard at one version may go on with what it knows at another. Guards against
 * `ran_twice`: a process cut off for a while may find itself the owner again without ever having seen that
 * another was in between. Only a change that it made itself, on the version that it knew, leaves no such gap. The
 * change is known by its mark, since the feed may show it before the write is answered, or without an answer ever.
 */
export function sameTerm(
  known: number,
  now: Pick<ProcessRecord, "version" | "mark">,
  advance: TokenAdvance | undefined,
): boolean {
  if (now.version === known) return true;
  return advance?.from === known && advance.mark === now.mark;
}
