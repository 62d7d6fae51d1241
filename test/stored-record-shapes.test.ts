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
function sendHigherToken(simulation: Simulation): void {
  const [host] = simulation.cloud.machines.keys();
  const machine = { host, addr: "10.0.0.9:9000", breed: "small", bank: "north", loaners: true };
  const heartbeat = parseHeartbeat({ ...machine, tenure: 1, tick: 1, baton: 1_000_000, pieces: [] });
  assert.ok(heartbeat.ok);
  for (const { instance } of simulation.nodes)
    void instance!.controller.httpDependencies.routeHeartbeat(heartbeat.value);
}

/** Rents a machine that the program has not ordered. */
function rentUnorderedMachine(simulation: Simulation): void {
  simulation.cloud.capacity++;
  const rental = { hire: "by-hand", breed: "small", bank: "north", loaners: false, count: 1 };
  simulation.cloud.handle("POST", new URL("http://cloud/rentals"), rental);
}

/** Causes every kind of record: optional job fields, completed tasks, and an owner that cannot reach the leader. */
async function causeEveryRecordKind(simulation: Simulation): Promise<void> {
  await simulation.run(10_000);
  await jobMigrations[0]!.run(simulation);
  simulation.cloud.capacity = 12;
  const restricted = { breeds: ["small"], bank: "north", dueS: 3600, markEveryS: 10, markCostS: 1 };
  simulation.submit("req-10", { pieces: 3, ...restricted });
  const array = simulation.submit("req-11", { pieces: MANY_TASKS, vcpus: 0.5, rank: "urgent" });
  await simulation.run(30_000);
  void simulation.cancel(array);
  sendHigherToken(simulation);
  rentUnorderedMachine(simulation);
  await simulation.run(10_000);
  const crews = ["free", "capped", "tight"];
  const shard = crews.findIndex((_, candidate) => simulation.ownerOf(candidate) !== simulation.leader());
  const owner = simulation.ownerOf(shard)!;
  owner.cut.peers = true;
  simulation.submit("req-12", { crew: crews[shard], pieces: 12, vcpus: 2 });
  await simulation.run(10_000);
  owner.cut.peers = false;
  simulation.crash(owner);
  await simulation.run(20_000);
  simulation.startNode(owner);
  await simulation.run(60_000);
}

void describe("records of a simulated deployment", () => {
  test("every record written matches the inventory of keys, fields and types", async () => {
    const simulation = Simulation.start(3, 1, { teams: TEAMS });
    const inventory = new RecordShapeCollector();
    simulation.store.onChange = (change) => {
      if ("put" in change) inventory.add(change.put, JSON.parse(JSON.stringify(change.value)));
    };
    try {
      await causeEveryRecordKind(simulation);
    } finally {
      simulation.close();
    }
    assert.deepEqual(simulation.violations, []);
    assert.deepEqual(inventory.recordShapes, readFixture("stored-record-shapes"));
  });
});
