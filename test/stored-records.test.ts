/** Format of the records in the state service: every version of the program must read what other versions wrote. */
import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { fromDemandRecord } from "../src/autoscaling/demand-record.js";
import { Bitmap, CHUNK_TASKS } from "../src/jobs/bitmap.js";
import { countDurablyDone } from "../src/jobs/progress-pages.js";
import {
  decodeCompletedTasksChunk,
  decodeEndedJob,
  decodeJob,
  decodeQuotaReservation,
} from "../src/jobs/job-records.js";
import { readCluster } from "../src/membership/cluster-records.js";
import type { MachineType } from "../src/wire/index.js";
import { Fleet } from "../src/workers/fleet.js";
import { assertSameJson, readFixture } from "./support/fixtures.js";
import {
  FULL_SUBMISSION,
  NOW,
  rentalForRecordedOrder,
  SCENARIO_NAMES,
  parseJobSpec,
  runScenarioByName,
  type StoredTransaction,
} from "./support/record-writers.js";
import { FakeView, silentLogger } from "./support/records.js";

const fixture = readFixture("stored-records") as Record<string, StoredTransaction[]>;

/** The values that a scenario of the fixture writes to a key, in order. */
const valuesOf = (scenario: string, key: string): unknown[] =>
  fixture[scenario]!.flatMap(({ apply }) => apply.filter(({ put }) => put === key).map(({ value }) => value));

/** A view that contains the given records. */
function viewOf(records: [key: string, value: unknown][]): FakeView {
  const view = new FakeView();
  records.forEach(([key, value], index) => {
    assert.notEqual(value, undefined, `${key} is in the fixture`);
    view.put(key, value, index + 1);
  });
  return view;
}

void describe("writes to the state service", () => {
  for (const scenario of SCENARIO_NAMES)
    test(`${scenario}: keys, values and guards match the fixture`, async () => {
      assertSameJson(await runScenarioByName(scenario), fixture[scenario]);
    });

  test("every scenario of the fixture is checked", () => {
    assert.deepEqual(SCENARIO_NAMES, Object.keys(fixture));
  });
});

void describe("membership/records", () => {
  test("members, the leader and shard owners are read, with the id of a token advance", () => {
    const [member] = valuesOf("membership", "fernpond/live/members/node-a");
    const [leader] = valuesOf("membership", "fernpond/live/leader");
    const [, advanced] = valuesOf("membership", "fernpond/live/shards/0");
    const view = viewOf([
      ["fernpond/live/members/node-a", member],
      ["fernpond/live/leader", leader],
      ["fernpond/live/shards/0", advanced],
    ]);
    const me = { node: "node-a", incarnation: "a.1" };
    const advanceId = "00000000-0000-4000-8000-000000000001";
    assert.deepEqual(readCluster(view, 2), {
      members: new Map([["node-a", { ...me, advanceId: null, version: 1 }]]),
      leader: { ...me, advanceId: null, version: 2 },
      shards: [{ ...me, advanceId, version: 3 }, null],
    });
  });
});

void describe("jobs/records", () => {
  test("a job is read with its submitted specification, its shard and its time of acceptance", () => {
    const [full] = valuesOf("jobs", "fernpond/live/jobs/req-1");
    const [plain] = valuesOf("jobs", "fernpond/live/jobs/req-2");
    const spec = parseJobSpec("req-1", FULL_SUBMISSION);
    const notMigrated = { acceptedAt: NOW, maxParallelTasks: null, migratedIn: false };
    assert.deepEqual(decodeJob(full), { spec, shard: 1, ...notMigrated });
    assert.deepEqual(decodeJob(plain), { spec: parseJobSpec("req-2"), shard: 0, ...notMigrated });
  });

  test("a migrated job is read with its limit of parallel tasks, and its former shard's quota reservation is read", () => {
    const [migratedJob] = valuesOf("transfer", "fernpond/live/jobs/req-1");
    const spec = parseJobSpec("req-1", { crew: "capped", bank: "south" });
    const migrated = { acceptedAt: NOW, maxParallelTasks: 4, migratedIn: true };
    assert.deepEqual(decodeJob(migratedJob), { spec, shard: 0, ...migrated });
    const [reservation] = valuesOf("transfer", "fernpond/live/quota/1/req-1");
    assert.deepEqual(decodeQuotaReservation(reservation), { team: "capped", cpus: 4, gpus: 0 });
  });

  test("an ended job is read with its final stage and its number of completed tasks", () => {
    const [done] = valuesOf("completion", "fernpond/ended/req-1");
    const [cancelled] = valuesOf("jobs", "fernpond/ended/req-2");
    assert.deepEqual(decodeEndedJob(done), { stage: "done", done: 3 });
    assert.deepEqual(decodeEndedJob(cancelled), { stage: "cancelled", done: 0 });
  });

  test("completed tasks are read from a page shared by many jobs and from a chunk of one large job", () => {
    const [page] = valuesOf("completion", "fernpond/live/done/1/0");
    assert.equal(countDurablyDone(viewOf([["fernpond/live/done/1/0", page]]), 1, "req-1", 3), 2);
    const [chunk] = valuesOf("completion", "fernpond/live/done/req-2/1");
    const bits = new Bitmap(CHUNK_TASKS + 16);
    bits.mergeChunk(1, decodeCompletedTasksChunk(chunk)!);
    assert.equal(bits.count, 2);
    assert.ok(bits.has(CHUNK_TASKS) && bits.has(CHUNK_TASKS + 15));
  });
});

void describe("workers/records", () => {
  test("machines are read from their group's record, with their stage", () => {
    const [up, leaving] = valuesOf("machines", "fernpond/live/machines/group-1");
    const known = { shard: 0, type: "small", zone: "north", spot: true, since: NOW };
    const group = "fernpond/live/machines/group-1";
    const read = (value: unknown, host: string) => {
      const fleet = new Fleet(silentLogger);
      fleet.applyChanges(viewOf([[group, value]]), null);
      return fleet.get(host);
    };
    assert.deepEqual(read(up, "i-1"), { groupKey: group, ...known, isDraining: false, hasReported: true });
    assert.deepEqual(read(up, "i-3"), { groupKey: group, ...known, isDraining: false, hasReported: false });
    assert.deepEqual(read(leaving, "i-1"), {
      groupKey: group,
      ...known,
      isDraining: true,
      hasReported: true,
    });
  });
});

void describe("autoscaling", () => {
  test("a recorded order without a response is sent again under the same name", async () => {
    const name = "fp-00000000-0000-4000-8000-000000000001";
    const key = `fernpond/live/orders/${name}`;
    const [order] = valuesOf("autoscaling", key);
    assertSameJson(await rentalForRecordedOrder(key, order), [
      { hire: name, breed: "small", bank: "south", loaners: false, count: 4 },
    ]);
  });

  test("demand that an owner stored in the records is read as its shard's demand", () => {
    const [record] = valuesOf("demand", "fernpond/live/demand/1");
    const read = fromDemandRecord(1, record, []);
    const needs = { cpus: 2, gpus: 0, memoryGb: 4.5, types: ["small"], zone: "south", spot: false };
    assert.deepEqual(
      [read?.shard, read?.token, read?.recovered, read?.demand],
      [1, 1, true, [{ ...needs, count: 4, priority: "urgent" }]],
    );
  });

  test("a machine type is stored with all its properties", () => {
    const type: MachineType = {
      name: "small",
      cpus: 4,
      gpus: 1,
      memoryGb: 16,
      cacheGb: 50,
      fetchGbPerS: 0.25,
      price: 1.5,
      spotPrice: 0.5,
      bootS: 20,
      zones: ["north", "south"],
    };
    assertSameJson(valuesOf("autoscaling", "fernpond/live/types/small"), [type]);
  });
});
