/** Tests of the rate limiter, the read barrier, the replica and the state store client's errors. */
import assert from "node:assert/strict";
import { describe, mock, test } from "node:test";
import { NoResponseError, type JsonClient } from "../src/runtime/json-client.js";
import { RateLimiter } from "../src/runtime/rate-limiter.js";
import { ReadBarrier } from "../src/state/read-barrier.js";
import { Replica } from "../src/state/replica.js";
import { keys, prefixes } from "../src/state/keys.js";
import { StateStoreClient } from "../src/state/state-store-client.js";
import { hasResponse, StateStoreError } from "../src/state/state-store-error.js";
import type { RecordChange } from "../src/wire/index.js";

const nextTurn = (): Promise<void> => new Promise((resolve) => setImmediate(resolve));

const put = (key: string, version: number): RecordChange => ({ key, version, value: {} });

const removal = (key: string, version: number): RecordChange => ({ key, version, value: undefined });

void describe("runtime/rate-limiter", () => {
  test("at the limit, higher priorities go first, background writes leave a reserve, and no request waits past its timeout", async () => {
    let now = 0;
    mock.timers.enable({ apis: ["setTimeout"] });
    try {
      const limiter = new RateLimiter(10, 10, () => now, [
        { priority: "ownership", reserve: 0 },
        { priority: "user", reserve: 0.1 },
        { priority: "background", reserve: 0.4 },
      ]);
      const outcomes: string[] = [];
      const acquire = async (
        cost: number,
        priority: "ownership" | "user" | "background",
        name: string,
        queueTimeoutMs?: number,
      ): Promise<void> => {
        const acquired = await limiter.acquire(cost, priority, queueTimeoutMs);
        outcomes.push(acquired ? name : `${name} refused`);
      };
      void acquire(4, "background", "first background write");
      void acquire(4, "background", "second background write");
      void acquire(5, "user", "submission");
      void acquire(1, "ownership", "renewal");
      void acquire(1, "user", "late submission", 50);
      await nextTurn();
      // The bucket starts with ten tokens: the second background write would use those reserved for higher priorities.
      assert.deepEqual(outcomes, [
        "first background write",
        "submission",
        "renewal",
        "late submission refused",
      ]);
      for (let i = 0; i < 20; i++) {
        now += 100;
        mock.timers.tick(100);
        await nextTurn();
      }
      assert.deepEqual(outcomes.slice(4), ["second background write"]);
    } finally {
      mock.timers.reset();
    }
  });
});

void describe("state/read-barrier", () => {
  test("one read serves all calls made before it is sent, and none returns on a replica older than the read", async () => {
    const replica = new Replica();
    const reads: ((revision: number) => void)[] = [];
    const state = { currentRevision: () => new Promise<number>((resolve) => reads.push(resolve)) };
    const barrier = new ReadBarrier(state, replica, 60_000);
    const returned: string[] = [];
    const wait = (name: string): void => void barrier.waitUntilCurrent().then(() => returned.push(name));
    const reach = (revision: number): void => {
      replica.write({ kind: "changes", changes: [], revision, completeAsOf: 0 });
    };
    wait("a");
    await nextTurn();
    // These calls are made after the read was sent: another controller may have responded with newer state in between.
    wait("b");
    wait("c");
    await nextTurn();
    assert.equal(reads.length, 1);
    reads[0]!(7);
    await nextTurn();
    assert.deepEqual(returned, []);
    reach(6);
    await nextTurn();
    assert.deepEqual(returned, []);
    reach(7);
    await nextTurn();
    assert.deepEqual(returned, ["a"]);
    assert.equal(reads.length, 2);
    reads[1]!(7);
    await nextTurn();
    assert.deepEqual(returned, ["a", "b", "c"]);
  });
});

void describe("state/replica", () => {
  test("records are listed by kind, and a later version is never overwritten by an earlier one", () => {
    const replica = new Replica();
    const jobKey = keys.job("req-1");
    const groupKey = keys.machineGroup("g");
    const endedKey = keys.endedJob("req-9");
    replica.write({ kind: "reset", entries: [put(jobKey, 3)], revision: 3, completeAsOf: 0 });
    const changes = [put(groupKey, 5), put(jobKey, 2), put(endedKey, 6), removal(jobKey, 4)];
    replica.write({ kind: "changes", changes, revision: 6, completeAsOf: 1 });
    assert.equal(replica.get(jobKey), undefined);
    assert.equal(prefixes.machineGroups, "fernpond/live/machines/");
    assert.deepEqual(
      replica.list(prefixes.machineGroups).map((entry) => entry.key),
      [groupKey],
    );
    assert.equal(replica.get(endedKey), undefined);
  });
});

/** The error with which a read fails if each of its requests is handled by `call`. */
async function errorOfRead(call: JsonClient["call"]): Promise<StateStoreError> {
  const http = { call };
  const limits = { rps: 10, writeRps: 10, txnOps: 8 };
  // The clock advances on each reading and the timeout is 0, so that the deadline has always passed: there is no retry.
  let now = 0;
  const client = new StateStoreClient({
    http,
    watchHttp: http,
    limits,
    controllers: 1,
    clock: () => ++now,
    timeoutMs: 0,
  });
  const error = await client.read(keys.leader).catch((err: unknown) => err);
  assert.ok(error instanceof StateStoreError);
  return error;
}

void describe("state/state-store-client", () => {
  test("an error states whether the request may have been executed, and whether there was a response", async () => {
    for (const status of [400, 429, 503]) {
      const error = await errorOfRead(() => Promise.resolve({ status, body: {} }));
      assert.deepEqual([error.outcome, error.status], ["rejected", status]);
      assert.equal(hasResponse(error), true);
    }
    const failed = await errorOfRead(() => Promise.resolve({ status: 500, body: {} }));
    assert.deepEqual([failed.outcome, failed.status], ["unknown", 500]);
    const unusable = await errorOfRead(() => Promise.resolve({ status: 200, body: "no record" }));
    assert.deepEqual([unusable.outcome, unusable.status], ["unknown", null]);
  });

  test("an error without a response has an unknown outcome and the failed HTTP call as its cause", async () => {
    const cause = new NoResponseError("GET", "/kv", "timed out");
    const error = await errorOfRead(() => Promise.reject(cause));
    assert.deepEqual([error.outcome, error.status, error.cause], ["unknown", null, cause]);
    assert.equal(hasResponse(error), false);
  });
});
