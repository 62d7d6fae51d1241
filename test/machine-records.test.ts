/** Each machine is in one record, whichever code path records it first: deployments in simulated time. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { sleep } from "../src/runtime/sleep.js";
import { startJob } from "./support/scenario.js";
import { duplicateRecords, duplicateRecordsOfAll, groupsByHost } from "./support/recorded-machines.js";
import { Simulation } from "./support/simulation.js";
import { TEAMS } from "./support/workload.js";

const CONTROLLERS = 3;
/** Longer than a controller waits for the cloud's response. */
const HELD_RESPONSE_MS = 4200;

/** Keeps the watches of the records behind: each reads what was written since the last in one batch. */
async function submitTinyJobs(simulation: Simulation, isOver: () => boolean): Promise<void> {
  for (let i = 0; !isOver(); i++) {
    simulation.submit(`req-${1000 + i}`, { vcpus: 0.004, memGb: 0.01 });
    await sleep(60 + simulation.randomFraction() * 60);
  }
}

// Guards against `ran_twice` after a change of owner: a machine recorded both for its order and by its heartbeats.
test("a machine that reports before its rental order is answered is recorded once", async () => {
  const simulation = Simulation.start(CONTROLLERS, 1, { teams: TEAMS });
  simulation.cloudLatencyMs = 2;
  simulation.workers.bootMs = 700;
  simulation.rentalResponseDelayMs = () => HELD_RESPONSE_MS;
  let isOver = false;
  try {
    await simulation.run(10_000);
    void submitTinyJobs(simulation, () => isOver);
    for (let i = 0; i < 2; i++) await startJob(simulation, `req-${i}`, { pieces: 4 });
    assert.ok(groupsByHost(simulation).size >= 2, "each job needs a machine of its own");
    assert.deepEqual([duplicateRecords(simulation), simulation.violations], [[], []]);
  } finally {
    isOver = true;
    simulation.close();
  }
});

/** Within this time after an upgrade every machine is in one record again: a lease, and some writes. */
const UPGRADE_MS = 30_000;

/** Records each machine twice while its tasks run, and restarts all controllers, as an upgrade does. */
async function upgradeWithDuplicates(simulation: Simulation, stage: "booting" | "up"): Promise<void> {
  await simulation.run(10_000);
  for (let i = 0; i < 8; i++) await startJob(simulation, `req-${i}`, { pieces: 4 });
  duplicateRecordsOfAll(simulation, stage, CONTROLLERS);
  assert.ok(duplicateRecords(simulation).length >= 8, "each machine is in two records");
  for (const node of simulation.nodes) simulation.startNode(node);
  await simulation.run(UPGRADE_MS);
  assert.deepEqual([duplicateRecords(simulation), simulation.violations], [[], []]);
}

// Guards against machines that stay in records of two shards for as long as they are rented.
test("machines that the version before recorded twice keep their tasks and are in one record again", async () => {
  const simulation = Simulation.start(CONTROLLERS, 1, { teams: TEAMS });
  try {
    await upgradeWithDuplicates(simulation, "booting");
    const { startedTasks } = simulation.cloud;
    assert.deepEqual(startedTasks.length, new Set(startedTasks).size, "no task was started again");
    await simulation.runUntil(() => simulation.unfinishedJobs().length === 0, 120_000);
    assert.deepEqual([simulation.unfinishedJobs(), simulation.violations], [[], []]);
  } finally {
    simulation.close();
  }
});

// Guards against `ran_twice` where both owners may have started tasks on a machine.
test("machines recorded as up in two shards are in one record again, and no task runs twice", async () => {
  const simulation = Simulation.start(CONTROLLERS, 2, { teams: TEAMS });
  try {
    await upgradeWithDuplicates(simulation, "up");
    await simulation.runUntil(() => simulation.unfinishedJobs().length === 0, 240_000);
    assert.deepEqual([simulation.unfinishedJobs(), simulation.violations], [[], []]);
  } finally {
    simulation.close();
  }
});
