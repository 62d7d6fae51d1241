/** Who leads, who owns what, and how long an owner may go on with what it knows. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { planMembership, type MembershipView } from "../src/membership/membership-planner.js";
import { Membership } from "../src/membership/membership.js";
import { continuesTerm, type ControllerRecord } from "../src/membership/cluster-records.js";
import type { StateStoreClient } from "../src/state/state-store-client.js";
import { StateStoreError } from "../src/state/state-store-error.js";
import { keys } from "../src/state/keys.js";
import type { Condition, Write } from "../src/wire/index.js";
import { FakeView, silent } from "./support/records.js";

const member = (node: string, version: number, incarnation = `${node}.1`): ControllerRecord => ({
  node,
  incarnation,
  version,
});
const [a, b, c] = [member("a", 1), member("b", 2), member("c", 3)];

function view(over: Partial<MembershipView["cluster"]>, rest: Partial<MembershipView> = {}): MembershipView {
  const members = new Map([a, b, c].map((m) => [m.node, m]));
  return {
    self: { node: "a", incarnation: "a.1" },
    cluster: {
      members,
      leader: member("a", 9),
      shards: [member("a", 10), member("b", 11), member("c", 12)],
      ...over,
    },
    controllers: 3,
    leadingForMs: 0,
    bootstrapGraceMs: 5000,
    mayMove: true,
    mayLead: true,
    isCutOffFromWorkers: () => false,
    ...rest,
  };
}

test("an even cluster needs nothing", () => {
  assert.deepEqual(planMembership(view({})), []);
});

test("a process that came back takes over from its old self at once", () => {
  const old = member("a", 9, "a.0");
  const actions = planMembership(view({ leader: old, shards: [member("a", 10, "a.0"), b, c] }));
  assert.deepEqual(
    actions.map((x) => x.kind),
    ["lead", "resume"],
  );
});

test("only a shard whose owner's record is gone is given to another, the one with the fewest", () => {
  const members = new Map([a, b].map((m) => [m.node, m]));
  const shards = [member("a", 10), member("c", 11), member("c", 12)];
  const actions = planMembership(view({ members, shards }));
  assert.deepEqual(
    actions.map((x) => (x.kind === "assign" ? `${x.shard} to ${x.to.node}` : x.kind)),
    ["1 to b", "2 to a"],
  );
});

test("shards that nobody ever owned wait for the others to come up, but not for ever", () => {
  const members = new Map([["a", a]]);
  const fresh = { members, shards: [null, null, null] };
  assert.deepEqual(planMembership(view(fresh, { leadingForMs: 4999 })), []);
  assert.equal(planMembership(view(fresh, { leadingForMs: 5000 })).length, 3);
});

test("an uneven cluster is evened out by asking an owner, once a shard period", () => {
  const uneven = { shards: [member("b", 10), member("b", 11), member("c", 12)] };
  const [action] = planMembership(view(uneven));
  assert.deepEqual(action, { kind: "ask_hand_over", shard: 0, owner: "b", to: "a" });
  assert.deepEqual(planMembership(view(uneven, { mayMove: false })), []);
});

test("an owner that was cut off and comes to own its shard again starts afresh", () => {
  // Cut off at version 10, while another owned the shard at 11 and passed it back at 12.
  assert.equal(continuesTerm(10, { version: 12 }, undefined), false);
  assert.equal(continuesTerm(10, { version: 12, mark: "m" }, { fromVersion: 11, advanceId: "m" }), false);
  assert.equal(continuesTerm(10, { version: 11, mark: "m" }, { fromVersion: 10, advanceId: "m" }), true);
  assert.equal(continuesTerm(10, { version: 10 }, undefined), true);
  // A raise without an answer was not carried out, and what is there is another's or of another time.
  assert.equal(continuesTerm(10, { version: 12 }, { fromVersion: 10, advanceId: "m" }), false);
  assert.equal(continuesTerm(10, { version: 12, mark: "n" }, { fromVersion: 10, advanceId: "m" }), false);
});

const settle = (): Promise<unknown> => new Promise((resolve) => setImmediate(resolve));

interface OwningAll {
  membership: Membership;
  store: FakeView;
}

interface OwningAllOptions {
  clock?: () => number;
  /** The state service's answers to renewals and to reads of its revision. */
  answered?: () => Promise<void>;
  renewals?: { count: number };
}

/** The membership of node a, which owns three shards at the versions 10, 11 and 12 and whose writes are carried out at once. */
function owningAll(written: (membership: Membership) => void, options: OwningAllOptions = {}): OwningAll {
  const { clock = () => 0, answered = () => Promise.resolve(), renewals = { count: 0 } } = options;
  const store = new FakeView();
  const me = { node: "a", incarnation: "a.1" };
  store.put(keys.leader, me, 9);
  store.put(keys.member("b"), { node: "b", incarnation: "b.1" }, 2);
  store.put(keys.member("c"), { node: "c", incarnation: "c.1" }, 3);
  [10, 11, 12].forEach((version, n) => store.put(keys.shard(n), me, version));
  let revision = 12;
  const state = {
    grantLease: () => Promise.resolve(1),
    read: () => Promise.resolve(null),
    renewLease: async () => {
      renewals.count++;
      await answered();
      return true;
    },
    currentRevision: async () => {
      await answered();
      return revision;
    },
    compareAndSwap: async (guards: Condition[], writes: Write[]) => {
      await settle();
      const failed = guards.filter(({ key, version }) => (store.get(key)?.version ?? 0) !== version);
      if (failed.length > 0) return { ok: false as const, failedKeys: failed.map(({ key }) => key) };
      revision++;
      for (const write of writes) if ("put" in write) store.put(write.put, write.value, revision);
      written(membership);
      return { ok: true as const, revision };
    },
  };
  const figures = { membershipLeaseMs: 5000, marginMs: 100, staleMs: 5000, shardMovePeriodMs: 30_000 };
  const hooks = {
    onOwnershipChanged: () => undefined,
    requestHandOver: (_owner: string, shard: number, to: string) =>
      void membership.tell({ kind: "hand_over", shard, to }),
    isCutOffFromWorkers: () => false,
  };
  const client = state as unknown as StateStoreClient;
  const membership = new Membership(me, 3, 3, figures, client, store, clock, hooks, silent);
  return { membership, store };
}

// Fails if an unanswered renewal is sent again and again: each is carried out, and the lease never ends for anybody else.
test("a member whose renewals are carried out and never answered lets its lease end, and renews once there is an answer", async () => {
  const [LEASE_MS, TICK_MS] = [5000, 400];
  let now = 0;
  let heard = true;
  const lost = new StateStoreError("timed out", { outcome: "unknown" });
  const renewals = { count: 0 };
  const answered = (): Promise<void> => (heard ? Promise.resolve() : Promise.reject(lost));
  const { membership, store } = owningAll(() => undefined, { clock: () => now, answered, renewals });
  const pass = async (ms: number): Promise<number> => {
    const before = renewals.count;
    for (const until = now + ms; now < until; now += TICK_MS) {
      membership.tell({ kind: "tick" });
      await settle();
      await settle();
    }
    return renewals.count - before;
  };
  assert.ok((await pass(2 * LEASE_MS)) >= 8, "it renews while it is answered");
  heard = false;
  await pass(LEASE_MS);
  assert.equal(await pass(4 * LEASE_MS), 0, "nothing extends a lease that it cannot prove");
  heard = true;
  assert.ok((await pass(LEASE_MS)) >= 3, "it renews again");
  store.completeAsOf = now;
  assert.notEqual(membership.token(0), null, "and it may act again");
});

test("a leader that owns every shard passes one on, although it asks itself while it acts", async () => {
  const { membership } = owningAll(() => undefined);
  for (let i = 0; i < 3; i++) {
    membership.tell({ kind: "tick" });
    await settle();
    await settle();
    membership.tell({ kind: "records_changed" });
  }
  const owners = membership.cluster.shards.map((s) => s?.node);
  assert.deepEqual(owners.sort(), ["a", "a", "b"]);
});

test("an owner goes on with a shard whose advanced token the feed shows before the write is answered", async () => {
  const advanced = 14;
  const went: (boolean | number)[] = [];
  const { membership, store } = owningAll((of) => {
    if (store.get(keys.shard(0))?.version !== advanced) return;
    of.tell({ kind: "records_changed" });
    went.push(of.continuesTerm(0, 10), of.continuesTerm(1, 11), of.token(0) ?? 0);
  });
  membership.tell({ kind: "tick" });
  await settle();
  await settle();
  membership.tell({ kind: "advance_token", shard: 0 });
  await settle();
  await settle();
  assert.deepEqual(went, [true, true, advanced]);
});

test("an owner goes on with a shard whose token it tried to advance once more before the feed showed the first try", async () => {
  const { membership } = owningAll(() => undefined);
  membership.tell({ kind: "tick" });
  await settle();
  await settle();
  for (let i = 0; i < 2; i++) {
    membership.tell({ kind: "advance_token", shard: 0 });
    await settle();
    await settle();
  }
  membership.tell({ kind: "records_changed" });
  assert.equal(membership.continuesTerm(0, 10), true);
});
