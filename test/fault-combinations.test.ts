/** What happens where two faults meet: whole deployments in simulated time, watched from the workers' and users' side. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { knownRed } from "./support/known-red.js";
import { faultCombinations } from "./support/fault-combinations.js";
import { cancellationChains } from "./support/cancellation-chains.js";
import { jobMigrations } from "./support/job-transfers.js";
import { Simulation } from "./support/simulation.js";
import type { SettingsOptions } from "./support/settings.js";
import { combineAtRandom } from "./support/faults.js";
import { TEAMS, submitRandomJobs } from "./support/workload.js";

/** Within this of the end of all faults all that was accepted is done. */
const CLEARED_MS = 600_000;

/** How many randomized scenarios are played; more of them can be asked for by hand. */
const [FIRST = 1, LAST = 16] = (process.env.RANDOM_SCENARIOS ?? "").split("-").filter(Boolean).map(Number);

/** With `LINK_MONITOR=enforce` all of it is played with the link monitor switched on. */
const OPERATOR = { links: { mode: process.env.LINK_MONITOR ?? "off" } };

/** Plays a day, and sees that all ends well once its faults are over. */
async function day(
  seed: number,
  play: (world: Simulation) => Promise<unknown>,
  settings: SettingsOptions = {},
): Promise<void> {
  const world = Simulation.start(3, seed, { teams: TEAMS, operator: OPERATOR, ...settings });
  try {
    await world.run(10_000);
    const about = String(await play(world));
    world.calmSince = world.now;
    await world.runUntil(() => world.open().length === 0, CLEARED_MS);
    assert.deepEqual({ broken: world.broken, open: world.open() }, { broken: [], open: [] }, about);
  } finally {
    world.close();
  }
}

for (const { name: combination, play, settings } of [
  ...faultCombinations,
  ...jobMigrations,
  ...cancellationChains,
]) {
  const name = `faults combined: ${combination}`;
  test(name, knownRed(name), async () => {
    for (let seed = 1; seed <= 2; seed++) await day(seed, play, settings);
  });
}

for (let seed = FIRST; seed <= LAST; seed++)
  test(`faults combined at random break no rule, and all that was accepted ends: randomized scenario ${seed}`, () =>
    day(seed, async (world) => {
      let met: string[] | null = null;
      void combineAtRandom(world, 10, 90_000).then((names) => (met = names));
      await submitRandomJobs(world, () => met !== null);
      return met;
    }));
