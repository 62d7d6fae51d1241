/** What happens where two faults meet: whole deployments in simulated time, watched from the workers' and users' side. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { knownFailure } from "./support/known-red.js";
import { faultCombinations } from "./support/fault-combinations.js";
import { cancellationChains } from "./support/cancellation-chains.js";
import { jobMigrations } from "./support/job-transfers.js";
import { Simulation } from "./support/simulation.js";
import type { SettingsOptions } from "./support/settings.js";
import { injectRandomFaults } from "./support/faults.js";
import { TEAMS, work } from "./support/workload.js";

/** Within this of the end of all faults all that was accepted is done. */
const MAX_COMPLETION_MS = 600_000;

/** How many randomized scenarios are played; more of them can be asked for by hand. */
const [FIRST = 1, LAST = 16] = (process.env.RANDOM_SCENARIOS ?? "").split("-").filter(Boolean).map(Number);

/** With `LINK_MONITOR=enforce` all of it is played with the link monitor switched on. */
const OPERATOR = { links: { mode: process.env.LINK_MONITOR ?? "off" } };

/** Plays a day, and sees that all ends well once its faults are over. */
async function runScenario(
  seed: number,
  play: (simulation: Simulation) => Promise<unknown>,
  settings: SettingsOptions = {},
): Promise<void> {
  const simulation = Simulation.start(3, seed, { teams: TEAMS, operator: OPERATOR, ...settings });
  try {
    await simulation.run(10_000);
    const about = String(await play(simulation));
    simulation.faultsEndedAt = simulation.now;
    await simulation.runUntil(() => simulation.unfinishedJobs().length === 0, MAX_COMPLETION_MS);
    assert.deepEqual(
      { broken: simulation.violations, open: simulation.unfinishedJobs() },
      { broken: [], open: [] },
      about,
    );
  } finally {
    simulation.close();
  }
}

for (const { name: combination, run: play, settings } of [
  ...faultCombinations,
  ...jobMigrations,
  ...cancellationChains,
]) {
  const name = `faults combined: ${combination}`;
  test(name, knownFailure(name), async () => {
    for (let seed = 1; seed <= 2; seed++) await runScenario(seed, play, settings);
  });
}

for (let seed = FIRST; seed <= LAST; seed++)
  test(`faults combined at random break no rule, and all that was accepted ends: randomized scenario ${seed}`, () =>
    runScenario(seed, async (simulation) => {
      let met: string[] | null = null;
      void injectRandomFaults(simulation, 10, 90_000).then((names) => (met = names));
      await work(simulation, () => met !== null);
      return met;
    }));
