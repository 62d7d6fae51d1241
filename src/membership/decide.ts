/** What a controller should do about leadership and shares, from what the records say. Pure. */
import { keys } from "../state/keys.js";
import type { Guard, Write } from "../wire/index.js";
import { sameProcess, type Cluster, type Held, type Process } from "./records.js";

export type MembershipAction =
  | { kind: "lead"; over: Held | null }
  | { kind: "reclaim"; share: number; from: Held }
  | { kind: "assign"; share: number; from: Held | null; to: Held }
  | { kind: "ask_hand_over"; share: number; owner: string; to: string };

export interface MembershipView {
  me: Process;
  cluster: Cluster;
  controllers: number;
  /** How long this process has led; 0 if it does not. */
  ledMs: number;
  /** How long the leader waits for the others before it gives out shares that nobody has ever owned. */
  gatherMs: number;
  /** Whether the share period has passed since the last move. */
  mayMove: boolean;
}

export function decideMembership(view: MembershipView): MembershipAction[] {
  const { me, cluster } = view;
  const actions: MembershipAction[] = [];
  // Guards against losing the time of a whole hold: a process that came back knows that its old self is dead.
  if (cluster.leader === null || (cluster.leader.node === me.node && !sameProcess(cluster.leader, me)))
    actions.push({ kind: "lead", over: cluster.leader });
  cluster.shares.forEach((share, n) => {
    if (share !== null && share.node === me.node && !sameProcess(share, me))
      actions.push({ kind: "reclaim", share: n, from: share });
  });
  if (sameProcess(cluster.leader, me)) actions.push(...decideAsLeader(view));
  return actions;
}

function decideAsLeader(view: MembershipView): MembershipAction[] {
  const { cluster } = view;
  const members = [...cluster.members.values()].sort((a, b) => (a.node < b.node ? -1 : 1));
  if (members.length === 0) return [];
  const load = new Map(members.map((m) => [m.node, 0]));
  for (const share of cluster.shares) {
    const count = share === null ? undefined : load.get(share.node);
    if (share !== null && count !== undefined) load.set(share.node, count + 1);
  }
  const byLoad = (): Held[] => [...members].sort((a, b) => load.get(a.node)! - load.get(b.node)!);
  const actions: MembershipAction[] = [];
  const gathered = members.length >= view.controllers || view.ledMs >= view.gatherMs;
  cluster.shares.forEach((share, n) => {
    const orphan = share === null ? gathered : !cluster.members.has(share.node);
    if (!orphan) return;
    const to = byLoad()[0]!;
    load.set(to.node, load.get(to.node)! + 1);
    actions.push({ kind: "assign", share: n, from: share, to });
  });
  if (actions.length > 0 || !view.mayMove) return actions;
  const order = byLoad();
  const least = order[0]!;
  const most = order.at(-1)!;
  if (load.get(most.node)! - load.get(least.node)! >= 2) {
    const share = cluster.shares.findIndex((s) => s?.node === most.node);
    actions.push({ kind: "ask_hand_over", share, owner: most.node, to: least.node });
  }
  return actions;
}

export interface Claim {
  guards: Guard[];
  writes: Write[];
}

/** An entry among the members: the guard keeps a late copy of an older self's entry from overwriting this one. */
export function entryOf(me: Process, lease: number, knownVersion: number): Claim {
  const key = keys.member(me.node);
  return { guards: [{ key, version: knownVersion }], writes: [{ put: key, value: me, lease }] };
}

/**
 * The transaction that carries out an action. Each is on the condition of the versions that the decision was made on,
 * so that a copy that comes late, from this process or from its old self, changes nothing.
 */
export function claimOf(
  action: Exclude<MembershipAction, { kind: "ask_hand_over" }>,
  me: Process,
  lease: number,
  cluster: Cluster,
): Claim {
  switch (action.kind) {
    case "lead":
      return {
        guards: [{ key: keys.leader, version: action.over?.version ?? 0 }],
        writes: [{ put: keys.leader, value: me, lease }],
      };
    case "reclaim": {
      const key = keys.share(action.share);
      return { guards: [{ key, version: action.from.version }], writes: [{ put: key, value: me }] };
    }
    case "assign": {
      const { share, from, to } = action;
      const key = keys.share(share);
      const guards = [
        { key: keys.leader, version: cluster.leader?.version ?? 0 },
        { key, version: from?.version ?? 0 },
        { key: keys.member(to.node), version: to.version },
      ];
      // The old owner's hold must be over *when this is applied*; its own count of the hold ends before that.
      if (from !== null) guards.push({ key: keys.member(from.node), version: 0 });
      const value: Process = { node: to.node, incarnation: to.incarnation };
      return { guards, writes: [{ put: key, value }] };
    }
  }
}
