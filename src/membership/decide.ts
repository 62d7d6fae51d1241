/** What a controller should do about leadership and shares, from what the records say. Pure. */
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
