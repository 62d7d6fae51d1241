/** Tests of leadership, shard ownership, the membership lease, hand-overs and token advances. */
import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { planMembership, type MembershipView } from "../src/membership/membership-planner.js";
import { Membership } from "../src/membership/membership.js";
import type { ControllerRecord } from "../src/membership/cluster-records.js";
import { continuesTerm } from "../src/membership/token-advances.js";
import type { StateStoreClient } from "../src/state/state-store-client.js";
import { StateStoreError } from "../src/state/state-store-error.js";
import { keys } from "../src/state/keys.js";
import type { Condition, Write } from "../src/wire/index.js";
import { FakeView, silentLogger } from "./support/records.js";

const controllerRecord = (node: string, version: number, incarnation = `${node}.1`): ControllerRecord => ({
  node,
  incarnation,
  version,
  advanceId: null,
});
const MEMBER_A = controllerRecord("a", 1);
const MEMBER_B = controllerRecord("b", 2);
const MEMBER_C = controllerRecord("c", 3);

const membersOf = (...records: ControllerRecord[]): Map<string, ControllerRecord> =>
  new Map(records.map((record) => [record.node, record]));

/**
 * The planner's input on node a, which leads three running controllers with one shard each, with the given overrides.
 */
function viewOf(
  cluster: Partial<MembershipView["cluster"]>,
  overrides: Partial<MembershipView> = {},
): MembershipView {
  return {
    self: { node: "a", incarnation: "a.1" },
    cluster: {
      members: membersOf(MEMBER_A, MEMBER_B, MEMBER_C),
      leader: controllerRecord("a", 9),
      shards: [controllerRecord("a", 10), controllerRecord("b", 11), controllerRecord("c", 12)],
      ...cluster,
    },
    controllers: 3,
    leadingForMs: 0,
    bootstrapGraceMs: 5000,
    canRebalance: true,
    canLead: true,
    isCutOffFromWorkers: () => false,
    ...overrides,
  };
}

void describe("membership/membership-planner", () => {
  test("a balanced cluster with an owner for every shard needs no action", () => {
    assert.deepEqual(planMembership(viewOf({})), []);
  });

  test("a restarted process resumes the leadership and the shards of its earlier incarnation at once", () => {
    const earlierLeader = controllerRecord("a", 9, "a.0");
    const shards = [controllerRecord("a", 10, "a.0"), MEMBER_B, MEMBER_C];
    const actions = planMembership(viewOf({ leader: earlierLeader, shards }));
    assert.deepEqual(
      actions.map((action) => action.kind),
      ["lead", "resume"],
    );
  });

  test("only a shard whose owner has no member record is assigned, to the member with the fewest shards", () => {
    const shards = [controllerRecord("a", 10), controllerRecord("c", 11), controllerRecord("c", 12)];
    const actions = planMembership(viewOf({ members: membersOf(MEMBER_A, MEMBER_B), shards }));
    assert.deepEqual(
      actions.map((action) =>
        action.kind === "assign" ? `${action.shard} to ${action.successor.node}` : action.kind,
      ),
      ["1 to b", "2 to a"],
    );
  });

  test("shards that never had an owner are assigned once all controllers have joined or the bootstrap grace period is over", () => {
    const newCluster = { members: membersOf(MEMBER_A), shards: [null, null, null] };
    assert.deepEqual(planMembership(viewOf(newCluster, { leadingForMs: 4999 })), []);
    assert.equal(planMembership(viewOf(newCluster, { leadingForMs: 5000 })).length, 3);
  });

  test("the leader balances an uneven cluster by requesting one hand-over per shard move period", () => {
    const uneven = {
      shards: [controllerRecord("b", 10), controllerRecord("b", 11), controllerRecord("c", 12)],
    };
    const [action] = planMembership(viewOf(uneven));
    assert.deepEqual(action, { kind: "request_hand_over", shard: 0, owner: "b", successor: "a" });
    assert.deepEqual(planMembership(viewOf(uneven, { canRebalance: false })), []);
  });
});

const nextTurn = (): Promise<unknown> => new Promise((resolve) => setImmediate(resolve));

interface SoleOwner {
  membership: Membership;
  store: FakeView;
}

interface SoleOwnerOptions {
  clock?: () => number;
  /** Awaited before the state store responds to a renewal or a read of its revision; a rejection fails the call. */
  beforeResponse?: () => Promise<void>;
  renewals?: { count: number };
}

/**
 * Creates the membership of node a, which is the leader and owns three shards at the versions 10, 11 and 12. Its writes
 * are executed on the next turn of the event loop, and `onWritten` is called before each response.
 */
function soleOwner(onWritten: (membership: Membership) => void, options: SoleOwnerOptions = {}): SoleOwner {
  const { clock = () => 0, beforeResponse = () => Promise.resolve(), renewals = { count: 0 } } = options;
  const store = new FakeView();
  const self = { node: "a", incarnation: "a.1" };
  store.put(keys.leader, self, 9);
  store.put(keys.member("b"), { node: "b", incarnation: "b.1" }, 2);
  store.put(keys.member("c"), { node: "c", incarnation: "c.1" }, 3);
  [10, 11, 12].forEach((version, shard) => store.put(keys.shard(shard), self, version));
  let revision = 12;
  const state = {
    grantLease: () => Promise.resolve(1),
    read: () => Promise.resolve(null),
    renewLease: async () => {
      renewals.count++;
      await beforeResponse();
      return true;
    },
    currentRevision: async () => {
      await beforeResponse();
      return revision;
    },
    compareAndSwap: async (conditions: Condition[], writes: Write[]) => {
      await nextTurn();
      const failed = conditions.filter(({ key, version }) => (store.get(key)?.version ?? 0) !== version);
      if (failed.length > 0) return { ok: false as const, failedKeys: failed.map(({ key }) => key) };
      revision++;
      for (const write of writes) if ("put" in write) store.put(write.put, write.value, revision);
      onWritten(membership);
      return { ok: true as const, revision };
    },
  };
  const membership = new Membership({
    self,
    shards: 3,
    controllers: 3,
    timings: { membershipLeaseMs: 5000, marginMs: 100, maxViewAgeMs: 5000, shardMovePeriodMs: 30_000 },
    state: state as unknown as StateStoreClient,
    view: store,
    clock,
    callbacks: {
      onOwnershipChanged: () => undefined,
      requestHandOver: (_owner, shard, successor) =>
        void membership.tell({ kind: "hand_over", shard, successor }),
      isCutOffFromWorkers: () => false,
    },
    log: silentLogger,
  });
  return { membership, store };
}

async function tick(membership: Membership): Promise<void> {
  membership.tell({ kind: "tick" });
  await nextTurn();
  await nextTurn();
}

async function advanceToken(membership: Membership, shard: number): Promise<void> {
  membership.tell({ kind: "advance_token", shard });
  await nextTurn();
  await nextTurn();
}

void describe("membership/membership-lease", () => {
  // Renewals whose responses are lost must not be repeated: each is executed, and the lease would never expire for
  // others.
  test("a member whose renewals are executed without a response lets its lease expire, and renews again after a response", async () => {
    const [LEASE_MS, TICK_MS] = [5000, 400];
    let now = 0;
    let isAnswering = true;
    const timeoutError = new StateStoreError("timed out", { outcome: "unknown" });
    const renewals = { count: 0 };
    const beforeResponse = (): Promise<void> =>
      isAnswering ? Promise.resolve() : Promise.reject(timeoutError);
    const { membership, store } = soleOwner(() => undefined, { clock: () => now, beforeResponse, renewals });
    const renewalsWithin = async (ms: number): Promise<number> => {
      const countBefore = renewals.count;
      for (const end = now + ms; now < end; now += TICK_MS) await tick(membership);
      return renewals.count - countBefore;
    };
    assert.ok((await renewalsWithin(2 * LEASE_MS)) >= 8, "renews while it gets responses");
    isAnswering = false;
    await renewalsWithin(LEASE_MS);
    assert.equal(await renewalsWithin(4 * LEASE_MS), 0, "does not renew a lease that has expired locally");
    isAnswering = true;
    assert.ok((await renewalsWithin(LEASE_MS)) >= 3, "renews again");
    store.completeAsOf = now;
    assert.notEqual(membership.token(0), null, "may act for its shard again");
  });
});

void describe("membership/shard-hand-over", () => {
  test("a leader that owns every shard hands one over, although it requests this while its actions are running", async () => {
    const { membership } = soleOwner(() => undefined);
    for (let i = 0; i < 3; i++) {
      await tick(membership);
      membership.tell({ kind: "records_changed" });
    }
    const owners = membership.cluster.shards.map((record) => record?.node);
    assert.deepEqual(owners.sort(), ["a", "a", "b"]);
  });
});

void describe("membership/token-advances", () => {
  test("an owner that was disconnected and owns its shard again starts a new term", () => {
    const advance = { fromVersion: 10, advanceId: "own" };
    // Disconnected at version 10, while another controller owned the shard at 11 and handed it back at 12.
    assert.equal(continuesTerm(10, { version: 12, advanceId: null }, undefined), false);
    assert.equal(
      continuesTerm(10, { version: 12, advanceId: "own" }, { fromVersion: 11, advanceId: "own" }),
      false,
    );
    assert.equal(continuesTerm(10, { version: 11, advanceId: "own" }, advance), true);
    assert.equal(continuesTerm(10, { version: 10, advanceId: null }, undefined), true);
    // The advance was not executed: another write, or another controller's advance, created the current version.
    assert.equal(continuesTerm(10, { version: 12, advanceId: null }, advance), false);
    assert.equal(continuesTerm(10, { version: 12, advanceId: "other" }, advance), false);
  });

  test("an owner keeps a shard whose advanced token the watch shows before the write is answered", async () => {
    const advancedToken = 14;
    const observed: (boolean | number)[] = [];
    const { membership, store } = soleOwner((owner) => {
      if (store.get(keys.shard(0))?.version !== advancedToken) return;
      owner.tell({ kind: "records_changed" });
      observed.push(owner.continuesTerm(0, 10), owner.continuesTerm(1, 11), owner.token(0) ?? 0);
    });
    await tick(membership);
    await advanceToken(membership, 0);
    assert.deepEqual(observed, [true, true, advancedToken]);
  });

  test("an owner keeps a shard whose token it advances again before the watch shows the first advance", async () => {
    const { membership } = soleOwner(() => undefined);
    await tick(membership);
    for (let i = 0; i < 2; i++) await advanceToken(membership, 0);
    membership.tell({ kind: "records_changed" });
    assert.equal(membership.continuesTerm(0, 10), true);
  });
});
