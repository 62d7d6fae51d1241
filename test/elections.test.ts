/** Random crashes and restarts during elections, while any request may be delayed, duplicated or reordered. */
import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { planMembership } from "../src/membership/membership-planner.js";
import {
  transactionFor,
  joinTransaction,
  type ConditionalTransaction,
} from "../src/membership/membership-transactions.js";
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
const SEEDS = 200;
const STEPS = 150;

interface RunningController extends ControllerInstance {
  leaseId: number;
}

/** Simulates controllers, the state store and the requests between them. */
class ElectionSimulation {
  private readonly random: ReturnType<typeof xoroshiro128plus>;
  private readonly store = new FakeView();
  /** The keys attached to each lease. */
  private readonly leases = new Map<number, string[]>();
  /** Requests in flight; a delivered request may stay and be delivered again. */
  private inFlight: ConditionalTransaction[] = [];
  readonly running = new Map<string, RunningController>();
  private lastLeaseId = 0;
  private revision = 0;

  constructor(seed: number) {
    this.random = xoroshiro128plus(seed);
  }

  /** A random integer from 0 to `bound - 1`. */
  randomBelow(bound: number): number {
    return uniformInt(this.random, 0, bound - 1);
  }

  get cluster(): Cluster {
    return readCluster(this.store, SHARDS);
  }

  /** Starts a process, whether or not the lease of its node's earlier incarnation has expired. */
  start(node: string): void {
    const leaseId = ++this.lastLeaseId;
    this.leases.set(leaseId, []);
    const controller = { node, incarnation: `${node}.${leaseId}`, leaseId };
    this.running.set(node, controller);
    this.join(controller);
  }

  /** Expires a lease, unless its process is still running. */
  expire(leaseId: number): void {
    if ([...this.running.values()].some((controller) => controller.leaseId === leaseId)) return;
    for (const key of this.leases.get(leaseId) ?? []) this.store.remove(key, ++this.revision);
    this.leases.delete(leaseId);
  }

  /** Sends the transactions that a controller plans on the given view of the cluster. */
  act({ node, incarnation, leaseId }: RunningController, cluster: Cluster): void {
    const self = { node, incarnation };
    const actions = planMembership({
      self,
      cluster,
      controllers: SHARDS,
      leadingForMs: 9999,
      bootstrapGraceMs: 1,
      canRebalance: false,
      canLead: true,
      isCutOffFromWorkers: () => false,
    });
    for (const action of actions)
      if (action.kind !== "request_hand_over")
        this.inFlight.push(transactionFor(action, self, leaseId, cluster));
  }

  /** Executes a random request in flight; with `keepCopy` it stays in flight and may be executed again. */
  deliver(keepCopy: boolean): void {
    if (this.inFlight.length === 0) return;
    const index = this.randomBelow(this.inFlight.length);
    const { conditions, writes } = this.inFlight[index]!;
    if (!keepCopy) this.inFlight.splice(index, 1);
    const before = this.cluster;
    if (conditions.some(({ key, version }) => this.versionOf(key) !== version)) return;
    if (writes.some((write) => "lease" in write && !this.leases.has(write.lease))) return;
    const version = ++this.revision;
    for (const write of writes) {
      if (!("put" in write)) continue;
      this.attachToLease(write.put, write.lease);
      this.store.put(write.put, write.value, version);
    }
    this.checkNoLiveOwnerLostShard(before);
  }

  /** Delivers all requests, expires the leases of stopped processes and lets all controllers act, for 20 rounds. */
  settle(): void {
    this.deliverAll();
    for (let round = 0; round < 20; round++) {
      for (const leaseId of [...this.leases.keys()]) this.expire(leaseId);
      for (const controller of this.running.values()) {
        if (isSameInstance(this.cluster.members.get(controller.node), controller))
          this.act(controller, this.cluster);
        else this.join(controller);
      }
      this.deliverAll();
    }
  }

  private deliverAll(): void {
    while (this.inFlight.length > 0) this.deliver(false);
  }

  private join({ node, incarnation, leaseId }: RunningController): void {
    const knownVersion = this.versionOf(keys.member(node));
    this.inFlight.push(joinTransaction({ node, incarnation }, leaseId, knownVersion));
  }

  private versionOf(key: string): number {
    return this.store.get(key)?.version ?? 0;
  }

  private attachToLease(key: string, leaseId: number | undefined): void {
    for (const attached of this.leases.values()) {
      const index = attached.indexOf(key);
      if (index >= 0) attached.splice(index, 1);
    }
    if (leaseId !== undefined) this.leases.get(leaseId)!.push(key);
  }

  /** Asserts that no running owner that is a member has lost its shard. */
  private checkNoLiveOwnerLostShard(before: Cluster): void {
    before.shards.forEach((owner, shard) => {
      if (owner === null || isSameInstance(this.cluster.shards[shard], owner)) return;
      const isRunning = isSameInstance(this.running.get(owner.node), owner);
      const isLiveOwner = isRunning && isSameInstance(before.members.get(owner.node), owner);
      assert.equal(isLiveOwner, false, `shard ${shard} taken from ${owner.incarnation}`);
    });
  }
}

function runRandomSteps(simulation: ElectionSimulation): void {
  for (const node of NODES) simulation.start(node);
  let staleCluster = simulation.cluster;
  for (let step = 0; step < STEPS; step++) {
    const node = NODES[simulation.randomBelow(NODES.length)]!;
    const chance = simulation.randomBelow(10);
    if (chance === 0) simulation.start(node);
    else if (chance === 1) simulation.expire(1 + simulation.randomBelow(20));
    else if (chance === 2) staleCluster = simulation.cluster;
    else if (chance < 6)
      simulation.act(simulation.running.get(node)!, chance === 3 ? staleCluster : simulation.cluster);
    else simulation.deliver(simulation.randomBelow(2) === 0);
  }
}

void describe("membership: elections", () => {
  test("with delayed and duplicated requests, no live owner loses a shard, and all shards get live owners", () => {
    for (let seed = 1; seed <= SEEDS; seed++) {
      const simulation = new ElectionSimulation(seed);
      runRandomSteps(simulation);
      simulation.settle();
      const { leader, shards } = simulation.cluster;
      const isRunning = (record: ControllerInstance | null): boolean =>
        record !== null && isSameInstance(simulation.running.get(record.node), record);
      assert.ok(isRunning(leader), `leader, seed ${seed}`);
      for (const owner of shards) assert.ok(isRunning(owner), `owner, seed ${seed}`);
    }
  });
});
