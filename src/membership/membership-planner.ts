/** Plans the actions of one controller on leadership and shard ownership. Pure functions. */
import {
  isSameInstance,
  type Cluster,
  type ControllerRecord,
  type ControllerInstance,
} from "./cluster-records.js";

/** An action towards a cluster with a leader, a live owner for every shard, and a balanced load. */
export type MembershipAction =
  /** This process acquires leadership that is vacant or held by an earlier incarnation of its node. */
  | { kind: "lead"; formerLeader: ControllerRecord | null }
  /** This process takes over a shard from an earlier incarnation of its node. */
  | { kind: "resume"; shard: number; record: ControllerRecord }
  /** The leader assigns a shard without a live owner to a member. */
  | {
      kind: "assign";
      shard: number;
      formerOwner: ControllerRecord | null;
      successor: ControllerRecord;
    }
  /** The leader asks a live owner to hand a shard over to a controller that owns fewer. */
  | { kind: "request_hand_over"; shard: number; owner: string; successor: string };

/** The input of `planMembership`. */
export interface MembershipView {
  self: ControllerInstance;
  cluster: Cluster;
  /** The number of controllers in the cluster's configuration. */
  controllers: number;
  /** How long this process has been the leader, in milliseconds; 0 if it is not the leader. */
  leadingForMs: number;
  /**
   * How long a leader waits for all controllers to join before it assigns shards that have never had an owner, in
   * milliseconds.
   */
  bootstrapGraceMs: number;
  /** Whether enough time has passed since the last hand-over for another one that only balances the load. */
  canRebalance: boolean;
  /** Whether this process may acquire vacant leadership: false for a while after it has resigned. */
  canLead: boolean;
  /**
   * Whether it is known that no worker can reach the controller on a node. Such a controller gets shards only if this
   * applies to all members.
   */
  isCutOffFromWorkers: (node: string) => boolean;
}

/** Returns the actions that this process should attempt, in order; empty if nothing needs to change. */
export function planMembership(view: MembershipView): MembershipAction[] {
  const { self, cluster } = view;
  const actions: MembershipAction[] = [];
  // A restarted process knows that its earlier incarnation has ended: it need not wait for that one's lease to expire.
  const isLedByEarlierIncarnation =
    cluster.leader?.node === self.node && !isSameInstance(cluster.leader, self);
  if ((cluster.leader === null && view.canLead) || isLedByEarlierIncarnation)
    actions.push({ kind: "lead", formerLeader: cluster.leader });
  cluster.shards.forEach((record, shard) => {
    if (record !== null && record.node === self.node && !isSameInstance(record, self))
      actions.push({ kind: "resume", shard, record });
  });
  if (isSameInstance(cluster.leader, self)) actions.push(...planAsLeader(view));
  return actions;
}

/** Assigns all shards that need an owner; if there are none, balances the load. */
function planAsLeader(view: MembershipView): MembershipAction[] {
  const members = [...view.cluster.members.values()].sort((a, b) => (a.node < b.node ? -1 : 1));
  if (members.length === 0) return [];
  const load = new ShardLoad(members, view);
  const assignments = planAssignments(view, members.length, load);
  if (assignments.length > 0 || !view.canRebalance) return assignments;
  return planRebalancing(view.cluster, load);
}

function planAssignments(view: MembershipView, memberCount: number, load: ShardLoad): MembershipAction[] {
  const { cluster, controllers, leadingForMs, bootstrapGraceMs } = view;
  const actions: MembershipAction[] = [];
  const canBootstrap = memberCount >= controllers || leadingForMs >= bootstrapGraceMs;
  cluster.shards.forEach((formerOwner, shard) => {
    const needsOwner = formerOwner === null ? canBootstrap : !cluster.members.has(formerOwner.node);
    if (!needsOwner) return;
    const successor = load.eligibleByLoad()[0]!;
    load.add(successor.node);
    actions.push({ kind: "assign", shard, formerOwner, successor });
  });
  return actions;
}

function planRebalancing(cluster: Cluster, load: ShardLoad): MembershipAction[] {
  const eligible = load.eligibleByLoad();
  const least = eligible[0]!;
  const most = eligible.at(-1)!;
  if (load.of(most.node) - load.of(least.node) < 2) return [];
  const shard = cluster.shards.findIndex((record) => record?.node === most.node);
  return [{ kind: "request_hand_over", shard, owner: most.node, successor: least.node }];
}

/** Counts the shards of each member and selects the members that may get more. */
class ShardLoad {
  private readonly shardCounts: Map<string, number>;
  /** The members that may get shards, sorted by node name. */
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

  /** The members that may get shards, those with the fewest shards first; ties are ordered by node name. */
  eligibleByLoad(): ControllerRecord[] {
    return [...this.eligible].sort((a, b) => this.of(a.node) - this.of(b.node));
  }
}
