/** What the state service's few requests and writes a second go to. */
import assert from "node:assert/strict";
import { mock, test } from "node:test";
import { RateLimiter } from "../src/runtime/rate-limiter.js";
import { ReadBarrier } from "../src/state/read-barrier.js";
import { Replica } from "../src/state/replica.js";
import { keys } from "../src/state/keys.js";

const turn = (): Promise<void> => new Promise((resolve) => setImmediate(resolve));

test("under a full budget what matters most is written first, notes leave a reserve, and nobody waits past the queue timeout", async () => {
  let now = 0;
  mock.timers.enable({ apis: ["setTimeout"] });
  try {
    const gate = new RateLimiter(10, 10, () => now, [
      ["ownership", 0],
      ["user", 0.1],
      ["note", 0.4],
    ]);
    const went: string[] = [];
    const pass = (cost: number, rank: "ownership" | "user" | "note", name: string, queueTimeoutMs?: number) =>
      gate.acquire(cost, rank, queueTimeoutMs).then((ok) => went.push(ok ? name : `${name} shed`));
    void pass(4, "note", "first note");
    void pass(4, "note", "second note");
    void pass(5, "user", "submission");
    void pass(1, "ownership", "renewal");
    void pass(1, "user", "late submission", 50);
    await turn();
    // Ten to begin with: the second note would cut into what is kept for others.
    assert.deepEqual(went, ["first note", "submission", "renewal", "late submission shed"]);
    for (let i = 0; i < 20; i++) {
      now += 100;
      mock.timers.tick(100);
      await turn();
    }
    assert.deepEqual(went.slice(4), ["second note"]);
  } finally {
    mock.timers.reset();
  }
});

test("one read serves all polls that came before it, and none is answered by a copy older than the read", async () => {
  const replica = new Replica();
  const reads: ((revision: number) => void)[] = [];
  const state = { currentRevision: () => new Promise<number>((resolve) => reads.push(resolve)) };
  const freshness = new ReadBarrier(state, replica, 60_000);
  const answered: string[] = [];
  const ask = (name: string): void => void freshness.waitUntilCurrent().then(() => answered.push(name));
  ask("a");
  await turn();
  // These come after the read was sent: another node may have told a newer state in between.
  ask("b");
  ask("c");
  await turn();
  assert.equal(reads.length, 1);
  reads[0]!(7);
  await turn();
  assert.deepEqual(answered, []);
  replica.write({ kind: "changes", changes: [], revision: 6, completeAsOf: 0 });
  await turn();
  assert.deepEqual(answered, []);
  replica.write({ kind: "changes", changes: [], revision: 7, completeAsOf: 0 });
  await turn();
  assert.deepEqual(answered, ["a"]);
  assert.equal(reads.length, 2);
  reads[1]!(7);
  await turn();
  assert.deepEqual(answered, ["a", "b", "c"]);
});

test("records are found by their kind, and a later version is never undone by an earlier one", () => {
  const replica = new Replica();
  const put = (key: string, version: number, value: unknown = {}) => ({ key, version, value });
  replica.write({ kind: "reset", entries: [put(keys.job("req-1"), 3)], revision: 3, completeAsOf: 0 });
  replica.write({
    kind: "changes",
    changes: [
      put(keys.machineGroup("g"), 5),
      put(keys.job("req-1"), 2),
      put(keys.endedJob("req-9"), 6),
      { key: keys.job("req-1"), version: 4, value: undefined },
    ],
    revision: 6,
    completeAsOf: 1,
  });
  assert.equal(replica.get(keys.job("req-1")), undefined);
  assert.deepEqual(
    replica.list("fernpond/live/machines/").map((e) => e.key),
    [keys.machineGroup("g")],
  );
  assert.equal(replica.get(keys.endedJob("req-9")), undefined);
});
