/** Decides what a controller should do about leadership and the ownership of shards. Pure. */
import {
  isSameInstance,
  type Cluster,
  type ControllerRecord,
  type ControllerInstance,
} from "./cluster-records.js";

/** A step towards a cluster with a leader and an owner for every shard. */
export type MembershipAction =
  /** This process acquires leadership, which is vacant or that of an earlier life of its node. */
  | { kind: "lead"; formerLeader: ControllerRecord | null }
  /** This process takes over a shard from an earlier life of its node. */
  | { kind: "resume"; shard: number; record: ControllerRecord }
  /** The leader gives a shard that has no live owner to a member. */
  | {
      kind: "assign";
      shard: number;
      formerOwner: ControllerRecord | null;
      successor: ControllerRecord;
    }
  /** The leader asks a live owner to hand a shard over to a controller that owns fewer. */
  | { kind: "request_hand_over"; shard: number; owner: string; successor: string };

/** All that a decision on the membership is based on. */
export interface MembershipView {
  self: ControllerInstance;
  cluster: Cluster;
  /** How many controllers the cluster is configured with. */
  controllers: number;
  /** How long this process has led; 0 if it does not. */
  leadingForMs: number;
  /** How long a leader waits for all controllers to join before it assigns shards that have never been owned. */
  bootstrapGraceMs: number;
  /** Whether enough time has passed since the last hand-over for another one that only balances the load. */
  mayMove: boolean;
  /** Whether this process may acquire vacant leadership: not soon after it has resigned in favour of another. */
  mayLead: boolean;
  /** Whether it is known that no worker reaches a node's controller: it gets shards only if that is so of all. */
  isCutOffFromWorkers: (node: string) => boolean;
}

/** What this process should try to change about leadership and ownership. */
export function planMembership(view: MembershipView): MembershipAction[] {
  const { self, cluster } = view;
  const actions: MembershipAction[] = [];
  // Guards against losing the time of a whole membership lease: a restarted process knows that its earlier life is over.
  const ledBefore = cluster.leader?.node === self.node && !isSameInstance(cluster.leader, self);
  if ((cluster.leader === null && view.mayLead) || ledBefore)
    actions.push({ kind: "lead", formerLeader: cluster.leader });
  cluster.shards.forEach((record, shard) => {
    if (record !== null && record.node === self.node && !isSameInstance(record, self))
      actions.push({ kind: "resume", shard, record });
  });
  if (isSameInstance(cluster.leader, self)) actions.push(...planAsLeader(view));
  return actions;
}

/** Assigns all shards without a live owner; only if there are none, it balances the load. */
function planAsLeader(view: MembershipView): MembershipAction[] {
  const members = [...view.cluster.members.values()].sort((a, b) => (a.node < b.node ? -1 : 1));
  if (members.length === 0) return [];
  const load = new ShardLoad(members, view);
  const assignments = planAssignments(view, members.length, load);
  if (assignments.length > 0 || !view.mayMove) return assignments;
  return planBalancing(view.cluster, load);
}

function planAssignments(view: MembershipView, memberCount: number, load: ShardLoad): MembershipAction[] {
  const { cluster, controllers, leadingForMs, bootstrapGraceMs } = view;
  const actions: MembershipAction[] = [];
  const mayBootstrap = memberCount >= controllers || leadingForMs >= bootstrapGraceMs;
  cluster.shards.forEach((formerOwner, shard) => {
    const needsOwner = formerOwner === null ? mayBootstrap : !cluster.members.has(formerOwner.node);
    if (!needsOwner) return;
    const successor = load.eligibleByLoad()[0]!;
    load.add(successor.node);
    actions.push({ kind: "assign", shard, formerOwner, successor });
  });
  return actions;
}

function planBalancing(cluster: Cluster, load: ShardLoad): MembershipAction[] {
  const eligible = load.eligibleByLoad();
  const least = eligible[0]!;
  const most = eligible.at(-1)!;
  if (load.of(most.node) - load.of(least.node) < 2) return [];
  const shard = cluster.shards.findIndex((record) => record?.node === most.node);
  return [{ kind: "request_hand_over", shard, owner: most.node, successor: least.node }];
}

/** How many shards each member owns. */
class ShardLoad {
  private readonly shardCounts: Map<string, number>;
  /** The members that may be given shards, in the order of their nodes. */
  private readonly eligible: ControllerRecord[];

  constructor(members: ControllerRecord[], { cluster, isCutOffFromWorkers }: MembershipView) {
    const reachable = members.filter((member) => !isCutOffFromWorkers(member.node));
    this.eligible = reachable.length > 0 ? reachable : members;
    this.shardCounts = new Map(members.map((member) => [member.node, 0]));
    for (const owner of cluster.shards)
      if (owner !== null && this.shardCounts.has(owner.node)) this.add(owner.node);
  }

  of(node: string): number {
    return this.shardCounts.get(node)!;
  }

  add(node: string): void {
    this.shardCounts.set(node, this.of(node) + 1);
  }

  /** The members that may be given shards, those with the fewest first. */
  eligibleByLoad(): ControllerRecord[] {
    return [...this.eligible].sort((a, b) => this.of(a.node) - this.of(b.node));
  }
}
