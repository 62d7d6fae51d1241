/** Inventory of the keys, fields and types that a simulated deployment writes to the state service. */
import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { parseHeartbeat } from "../src/wire/index.js";
import { readFixture } from "./support/fixtures.js";
import { jobMigrations } from "./support/job-transfers.js";
import { RecordShapeCollector } from "./support/record-shapes.js";
import { Simulation } from "./support/simulation.js";
import { TEAMS } from "./support/workload.js";

/** Number of tasks too large for a page shared with other jobs. */
const MANY_TASKS = 7000;

/** Sends a heartbeat with a higher token than the shard's, as from a worker that was transferred from another shard. */
function sendHigherToken(world: Simulation): void {
  const [host] = world.cloud.machines.keys();
  const machine = { host, addr: "10.0.0.9:9000", breed: "small", bank: "north", loaners: true };
  const heartbeat = parseHeartbeat({ ...machine, tenure: 1, tick: 1, baton: 1_000_000, pieces: [] });
  assert.ok(heartbeat.ok);
  for (const { life } of world.nodes) void life!.controller.httpDependencies.routeHeartbeat(heartbeat.value);
}

/** Rents a machine that the program has not ordered. */
function rentUnorderedMachine(world: Simulation): void {
  world.cloud.capacity++;
  const rental = { hire: "by-hand", breed: "small", bank: "north", loaners: false, count: 1 };
  world.cloud.handle("POST", new URL("http://cloud/rentals"), rental);
}

/** Causes every kind of record: optional job fields, completed tasks, and an owner that cannot reach the leader. */
async function causeEveryRecordKind(world: Simulation): Promise<void> {
  await world.run(10_000);
  await jobMigrations[0]!.play(world);
  world.cloud.capacity = 12;
  const restricted = { breeds: ["small"], bank: "north", dueS: 3600, markEveryS: 10, markCostS: 1 };
  world.submit("req-10", { pieces: 3, ...restricted });
  const array = world.submit("req-11", { pieces: MANY_TASKS, vcpus: 0.5, rank: "urgent" });
  await world.run(30_000);
  void world.cancel(array);
  sendHigherToken(world);
  rentUnorderedMachine(world);
  await world.run(10_000);
  const crews = ["free", "capped", "tight"];
  const shard = crews.findIndex((_, candidate) => world.ownerOf(candidate) !== world.leader());
  const owner = world.ownerOf(shard)!;
  owner.cut.peers = true;
  world.submit("req-12", { crew: crews[shard], pieces: 12, vcpus: 2 });
  await world.run(10_000);
  owner.cut.peers = false;
  world.crash(owner);
  await world.run(20_000);
  world.launch(owner);
  await world.run(60_000);
}

void describe("records of a simulated deployment", () => {
  test("every record written matches the inventory of keys, fields and types", async () => {
    const world = Simulation.start(3, 1, { teams: TEAMS });
    const inventory = new RecordShapeCollector();
    world.store.onChange = (change) => {
      if ("put" in change) inventory.add(change.put, JSON.parse(JSON.stringify(change.value)));
    };
    try {
      await causeEveryRecordKind(world);
    } finally {
      world.close();
    }
    assert.deepEqual(world.broken, []);
    assert.deepEqual(inventory.recordShapes, readFixture("stored-record-shapes"));
  });
});
