/** Crashes and returns in the middle of elections, with every request possibly late, repeated and out of order. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import {
  transactionFor,
  planMembership,
  joinTransaction,
  type ConditionalTransaction,
} from "../src/membership/membership-planner.js";
import {
  readCluster,
  isSameInstance,
  type Cluster,
  type ControllerInstance,
} from "../src/membership/cluster-records.js";
import { keys } from "../src/state/keys.js";
import { FakeView } from "./support/records.js";

const NODES = ["a", "b", "c"];
const SHARDS = NODES.length;

interface Running extends ControllerInstance {
  lease: number;
}

class World {
  private readonly random: ReturnType<typeof xoroshiro128plus>;
  private readonly store = new FakeView();
  private readonly leases = new Map<number, string[]>();
  /** Requests on their way; a delivered one may stay and come again. */
  private under: { claim: ConditionalTransaction; by: Running }[] = [];
  readonly up = new Map<string, Running>();
  private born = 0;
  private revision = 0;

  constructor(seed: number) {
    this.random = xoroshiro128plus(seed);
  }

  pick(n: number): number {
    return uniformInt(this.random, 0, n - 1);
  }

  get cluster(): Cluster {
    return readCluster(this.store, SHARDS);
  }

  /** A process starts, whether or not the service has dropped its old self's hold yet. */
  start(node: string): void {
    const lease = ++this.born;
    this.leases.set(lease, []);
    const me: Running = { node, incarnation: `${node}.${lease}`, lease };
    this.up.set(node, me);
    const known = this.store.get(keys.member(node))?.version ?? 0;
    this.under.push({ claim: joinTransaction({ node, incarnation: me.incarnation }, lease, known), by: me });
  }

  /** The service drops the hold of a process that is gone. */
  expire(lease: number): void {
    if ([...this.up.values()].some((p) => p.lease === lease)) return;
    for (const key of this.leases.get(lease) ?? []) this.store.remove(key, ++this.revision);
    this.leases.delete(lease);
  }

  act(me: Running, seen: Cluster): void {
    const { node, incarnation } = me;
    const links = { mayLead: true, isCutOffFromWorkers: () => false };
    const view = {
      cluster: seen,
      controllers: SHARDS,
      leadingForMs: 9999,
      bootstrapGraceMs: 1,
      mayMove: false,
      ...links,
    };
    for (const action of planMembership({ ...view, self: { node, incarnation } }))
      if (action.kind !== "ask_hand_over")
        this.under.push({ claim: transactionFor(action, { node, incarnation }, me.lease, seen), by: me });
  }

  deliver(keep: boolean): void {
    if (this.under.length === 0) return;
    const at = this.pick(this.under.length);
    const { claim } = this.under[at]!;
    if (!keep) this.under.splice(at, 1);
    const before = this.cluster;
    if (claim.conditions.some((g) => (this.store.get(g.key)?.version ?? 0) !== g.version)) return;
    if (claim.writes.some((w) => "lease" in w && !this.leases.has(w.lease!))) return;
    const version = ++this.revision;
    for (const write of claim.writes) {
      if (!("put" in write)) continue;
      for (const attached of this.leases.values()) {
        const old = attached.indexOf(write.put);
        if (old >= 0) attached.splice(old, 1);
      }
      if (write.lease !== undefined) this.leases.get(write.lease)!.push(write.put);
      this.store.put(write.put, write.value, version);
    }
    this.check(before);
  }

  /** A live owner that holds its membership loses its shard to nobody. */
  private check(before: Cluster): void {
    before.shards.forEach((owner, n) => {
      if (owner === null || isSameInstance(this.cluster.shards[n], owner)) return;
      const alive = this.up.get(owner.node);
      const holds = isSameInstance(alive, owner) && isSameInstance(before.members.get(owner.node), owner);
      assert.equal(holds, false, `shard ${n} taken from ${owner.incarnation}`);
    });
  }

  settle(): void {
    while (this.under.length > 0) this.deliver(false);
    for (let round = 0; round < 20; round++) {
      for (const lease of [...this.leases.keys()]) this.expire(lease);
      for (const me of this.up.values()) {
        const entered = this.cluster.members.get(me.node);
        const known = this.store.get(keys.member(me.node))?.version ?? 0;
        const process = { node: me.node, incarnation: me.incarnation };
        if (!isSameInstance(entered, me))
          this.under.push({ claim: joinTransaction(process, me.lease, known), by: me });
        else this.act(me, this.cluster);
      }
      while (this.under.length > 0) this.deliver(false);
    }
  }
}

test("whatever comes late or twice, no live owner loses a shard, and all shards come to live owners", () => {
  for (let seed = 1; seed <= 200; seed++) {
    const world = new World(seed);
    for (const node of NODES) world.start(node);
    let stale = world.cluster;
    for (let step = 0; step < 150; step++) {
      const node = NODES[world.pick(NODES.length)]!;
      const chance = world.pick(10);
      if (chance === 0) world.start(node);
      else if (chance === 1) world.expire(1 + world.pick(20));
      else if (chance === 2) stale = world.cluster;
      else if (chance < 6) world.act(world.up.get(node)!, chance === 3 ? stale : world.cluster);
      else world.deliver(world.pick(2) === 0);
    }
    world.settle();
    const { leader, shards } = world.cluster;
    assert.ok(leader !== null && isSameInstance(world.up.get(leader.node), leader), `leader, seed ${seed}`);
    for (const owner of shards)
      assert.ok(owner !== null && isSameInstance(world.up.get(owner.node), owner), `owner, seed ${seed}`);
  }
});
