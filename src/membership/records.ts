/** The records of who is up, who leads and who owns which share. A share's token is its record's version. */
import * as z from "zod";
import { keys, prefixes } from "../state/keys.js";
import type { ReplicaView } from "../state/replica.js";

const who = z.object({ node: z.string(), incarnation: z.string(), mark: z.string().optional() });

export interface Process {
  node: string;
  incarnation: string;
}

export interface Held extends Process {
  version: number;
  /** Which raise of a share's token wrote it, if one did. */
  mark?: string | undefined;
}

export interface Cluster {
  members: Map<string, Held>;
  leader: Held | null;
  /** By share; null where nobody has ever owned it. */
  shares: (Held | null)[];
}

function held(view: ReplicaView, key: string): Held | null {
  const entry = view.get(key);
  const parsed = who.safeParse(entry?.value);
  return entry === undefined || !parsed.success ? null : { ...parsed.data, version: entry.version };
}

export function readCluster(view: ReplicaView, shares: number): Cluster {
  const members = new Map<string, Held>();
  for (const entry of view.under(prefixes.members)) {
    const member = held(view, entry.key);
    if (member !== null) members.set(member.node, member);
  }
  return {
    members,
    leader: held(view, keys.leader),
    shares: Array.from({ length: shares }, (_, n) => held(view, keys.share(n))),
  };
}

/** Whether a share has gone from one live node to another in between. */
export function passedOn(before: Cluster, now: Cluster): boolean {
  return before.shares.some((share, n) => {
    const owner = now.shares[n]?.node;
    return share !== null && owner !== undefined && owner !== share.node && now.members.has(share.node);
  });
}

export const sameProcess = (a: Process | null | undefined, b: Process): boolean =>
  a?.node === b.node && a.incarnation === b.incarnation;

/** A change of a share's record that its owner made itself, or meant to: the token rises, and the owner stays. */
export interface Raise {
  /** The version that the change was made on the condition of. */
  from: number;
  /** A name that no other change bears. */
  mark: string;
}

/**
 * Whether an owner that knew its share at one version may go on with what it knows at another. Guards against
 * `ran_twice`: a process cut off for a while may find itself the owner again without ever having seen that
 * another was in between. Only a change that it made itself, on the version that it knew, leaves no such gap. The
 * change is known by its mark, since the feed may show it before the write is answered, or without an answer ever.
 */
export function sameTerm(
  known: number,
  now: Pick<Held, "version" | "mark">,
  raise: Raise | undefined,
): boolean {
  if (now.version === known) return true;
  return raise !== undefined && raise.from === known && raise.mark === now.mark;
}
