/** Random schedules of rental orders, crashes and late messages, in simulated time: each machine is in one record. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { duplicateRecords } from "./support/recorded-machines.js";
import { runRentalSchedule } from "./support/rental-schedules.js";
import { Simulation } from "./support/simulation.js";
import { TEAMS } from "./support/workload.js";

const CONTROLLERS = 3;
/** All jobs end within this time after the last crash. */
const MAX_COMPLETION_MS = 300_000;

/** The seeds of the schedules; `RENTAL_SCHEDULES=FIRST-LAST` runs others. */
const [FIRST = 1, LAST = 30] = (process.env.RENTAL_SCHEDULES ?? "").split("-").filter(Boolean).map(Number);

// Guards against two records of a machine whatever meets around its order: late and lost responses, late transactions,
// orders resumed by the next leader, registrations and transfers between shards.
for (let seed = FIRST; seed <= LAST; seed++)
  test(`no schedule of rentals and crashes records a machine twice: seed ${seed}`, async () => {
    const simulation = Simulation.start(CONTROLLERS, seed, { teams: TEAMS });
    const duplicates = new Set<string>();
    try {
      await simulation.run(10_000);
      await runRentalSchedule(simulation, () => {
        for (const duplicate of duplicateRecords(simulation)) duplicates.add(duplicate);
      });
      await simulation.runUntil(() => simulation.unfinishedJobs().length === 0, MAX_COMPLETION_MS);
      assert.deepEqual(
        {
          duplicates: [...duplicates],
          violations: simulation.violations,
          unfinished: simulation.unfinishedJobs(),
        },
        { duplicates: [], violations: [], unfinished: [] },
      );
    } finally {
      simulation.close();
    }
  });
