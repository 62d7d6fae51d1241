/** The records of who is up, who leads and who owns which share. A share's token is its record's version. */
import { z } from "zod";
import { keys, prefixes } from "../state/keys.js";
import type { ReplicaView } from "../state/replica.js";

const who = z.object({ node: z.string(), incarnation: z.string() });

export interface Process {
  node: string;
  incarnation: string;
}

export interface Held extends Process {
  version: number;
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

export const sameProcess = (a: Process | null | undefined, b: Process): boolean =>
  a?.node === b.node && a.incarnation === b.incarnation;
