/** What a controller should do about leadership and shards, from what the records say. Pure. */
import { keys } from "../state/keys.js";
import type { Condition, Write } from "../wire/index.js";
import {
  isSameInstance,
  type Cluster,
  type ControllerRecord,
  type ControllerInstance,
} from "./cluster-records.js";

/** A step towards a leader and an owner for every shard. */
export type MembershipAction =
  | { kind: "lead"; over: ControllerRecord | null }
  | { kind: "resume"; shard: number; from: ControllerRecord }
  | { kind: "assign"; shard: number; from: ControllerRecord | null; to: ControllerRecord }
  | { kind: "ask_hand_over"; shard: number; owner: string; to: string };

/** All that a decision on membership is made on. */
export interface MembershipView {
  self: ControllerInstance;
  cluster: Cluster;
  controllers: number;
  /** How long this process has led; 0 if it does not. */
  leadingForMs: number;
  /** How long the leader waits for the others before it gives out shards that nobody has ever owned. */
  bootstrapGraceMs: number;
  /** Whether the shard period has passed since the last move. */
  mayMove: boolean;
  /** Whether this process may take vacant leadership: not soon after it has given it up for another's sake. */
  mayLead: boolean;
  /** Whether a controller is known not to be reached by workers: it gets shards only if all are. */
  isCutOffFromWorkers: (node: string) => boolean;
}

/** What this process should try to change in the records of who leads and owns. */
export function planMembership(view: MembershipView): MembershipAction[] {
  const { self: me, cluster } = view;
  const actions: MembershipAction[] = [];
  // Guards against losing the time of a whole membership lease: a process that came back knows that its old self is dead.
  const ownOldSelf = cluster.leader?.node === me.node && !isSameInstance(cluster.leader, me);
  if ((cluster.leader === null && view.mayLead) || ownOldSelf)
    actions.push({ kind: "lead", over: cluster.leader });
  cluster.shards.forEach((shard, n) => {
    if (shard !== null && shard.node === me.node && !isSameInstance(shard, me))
      actions.push({ kind: "resume", shard: n, from: shard });
  });
  if (isSameInstance(cluster.leader, me)) actions.push(...planAsLeader(view));
  return actions;
}

function planAsLeader(view: MembershipView): MembershipAction[] {
  const { cluster } = view;
  const members = [...cluster.members.values()].sort((a, b) => (a.node < b.node ? -1 : 1));
  if (members.length === 0) return [];
  const suited = members.filter((member) => !view.isCutOffFromWorkers(member.node));
  const heirs = suited.length > 0 ? suited : members;
  const load = new Map(members.map((m) => [m.node, 0]));
  for (const shard of cluster.shards) {
    const count = shard === null ? undefined : load.get(shard.node);
    if (shard !== null && count !== undefined) load.set(shard.node, count + 1);
  }
  const byLoad = (): ControllerRecord[] => [...heirs].sort((a, b) => load.get(a.node)! - load.get(b.node)!);
  const actions: MembershipAction[] = [];
  const gathered = members.length >= view.controllers || view.leadingForMs >= view.bootstrapGraceMs;
  cluster.shards.forEach((shard, n) => {
    const orphan = shard === null ? gathered : !cluster.members.has(shard.node);
    if (!orphan) return;
    const to = byLoad()[0]!;
    load.set(to.node, load.get(to.node)! + 1);
    actions.push({ kind: "assign", shard: n, from: shard, to });
  });
  if (actions.length > 0 || !view.mayMove) return actions;
  const order = byLoad();
  const least = order[0]!;
  const most = order.at(-1)!;
  if (load.get(most.node)! - load.get(least.node)! >= 2) {
    const shard = cluster.shards.findIndex((s) => s?.node === most.node);
    actions.push({ kind: "ask_hand_over", shard, owner: most.node, to: least.node });
  }
  return actions;
}

/** A conditional write of ownership records. */
export interface ConditionalTransaction {
  conditions: Condition[];
  writes: Write[];
}

/** An entry among the members: the guard keeps a late copy of an older self's entry from overwriting this one. */
export function joinTransaction(
  me: ControllerInstance,
  lease: number,
  knownVersion: number,
): ConditionalTransaction {
  const key = keys.member(me.node);
  return { conditions: [{ key, version: knownVersion }], writes: [{ put: key, value: me, lease }] };
}

/** Passes a shard to a member that is still the one it was chosen as; `record` is the shard's record as it is known. */
export function handOverTransaction(
  shard: number,
  record: ControllerRecord,
  successor: ControllerRecord,
): ConditionalTransaction {
  const key = keys.shard(shard);
  const conditions = [
    { key, version: record.version },
    { key: keys.member(successor.node), version: successor.version },
  ];
  const value: ControllerInstance = { node: successor.node, incarnation: successor.incarnation };
  return { conditions, writes: [{ put: key, value }] };
}

/**
 * The transaction that carries out an action. Each is on the condition of the versions that the decision was made on,
 * so that a copy that comes late, from this process or from its old self, changes nothing.
 */
export function transactionFor(
  action: Exclude<MembershipAction, { kind: "ask_hand_over" }>,
  me: ControllerInstance,
  lease: number,
  cluster: Cluster,
): ConditionalTransaction {
  switch (action.kind) {
    case "lead":
      return {
        conditions: [{ key: keys.leader, version: action.over?.version ?? 0 }],
        writes: [{ put: keys.leader, value: me, lease }],
      };
    case "resume": {
      const key = keys.shard(action.shard);
      return { conditions: [{ key, version: action.from.version }], writes: [{ put: key, value: me }] };
    }
    case "assign": {
      const { shard, from, to } = action;
      const key = keys.shard(shard);
      const guards = [
        { key: keys.leader, version: cluster.leader?.version ?? 0 },
        { key, version: from?.version ?? 0 },
        { key: keys.member(to.node), version: to.version },
      ];
      // The old owner's lease must be over *when this is applied*; it counts the lease as over before that.
      if (from !== null) guards.push({ key: keys.member(from.node), version: 0 });
      const value: ControllerInstance = { node: to.node, incarnation: to.incarnation };
      return { conditions: guards, writes: [{ put: key, value }] };
    }
  }
}
