/** Each machine is in one record, whichever code path records it first: deployments in simulated time. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { sleep } from "../src/runtime/sleep.js";
import { startJob } from "./support/scenario.js";
import { duplicateRecords, groupsByHost } from "./support/recorded-machines.js";
import { Simulation } from "./support/simulation.js";
import { TEAMS } from "./support/workload.js";

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
  const simulation = Simulation.start(3, 1, { teams: TEAMS });
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
