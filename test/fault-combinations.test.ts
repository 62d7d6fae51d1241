/** Coinciding faults: whole deployments in simulated time, checked against what workers and users observe. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { knownFailure } from "./support/known-red.js";
import { faultCombinations } from "./support/fault-combinations.js";
import { cancellationChains } from "./support/cancellation-chains.js";
import { cancellationScenarios } from "./support/cancellation-scenarios.js";
import { jobMigrations } from "./support/job-transfers.js";
import { loadScenarios } from "./support/load-scenarios.js";
import { Simulation } from "./support/simulation.js";
import type { SettingsOptions } from "./support/settings.js";
import { injectRandomFaults } from "./support/faults.js";
import { TEAMS, submitRandomJobs } from "./support/workload.js";

/** All accepted jobs end within this time after the last fault. */
const MAX_COMPLETION_MS = 600_000;

/** The seeds of the random scenarios; `RANDOM_SCENARIOS=FIRST-LAST` runs others. */
const [FIRST = 1, LAST = 16] = (process.env.RANDOM_SCENARIOS ?? "").split("-").filter(Boolean).map(Number);

/** `LINK_MONITOR=enforce` runs all scenarios with the link monitor's policy enforced. */
const OPERATOR = { links: { mode: process.env.LINK_MONITOR ?? "off" } };

/** Runs a scenario, and checks that no invariant is violated and that all accepted jobs end after its faults. */
async function runScenario(
  seed: number,
  run: (simulation: Simulation) => Promise<unknown>,
  settings: SettingsOptions = {},
): Promise<void> {
  const simulation = Simulation.start(3, seed, { teams: TEAMS, operator: OPERATOR, ...settings });
  try {
    await simulation.run(10_000);
    const message = String(await run(simulation));
    simulation.faultsEndedAt = simulation.now;
    await simulation.runUntil(() => simulation.unfinishedJobs().length === 0, MAX_COMPLETION_MS);
    assert.deepEqual(
      { violations: simulation.violations, unfinished: simulation.unfinishedJobs() },
      { violations: [], unfinished: [] },
      message,
    );
  } finally {
    simulation.close();
  }
}

for (const { name: combination, run, settings } of [
  ...faultCombinations,
  ...loadScenarios,
  ...cancellationScenarios,
  ...jobMigrations,
  ...cancellationChains,
]) {
  const name = `fault combination: ${combination}`;
  test(name, knownFailure(name), async () => {
    for (let seed = 1; seed <= 2; seed++) await runScenario(seed, run, settings);
  });
}

for (let seed = FIRST; seed <= LAST; seed++)
  test(`ten random faults violate no invariant, and all accepted jobs end: seed ${seed}`, () =>
    runScenario(seed, async (simulation) => {
      let injected: string[] | null = null;
      void injectRandomFaults(simulation, 10, 90_000).then((names) => (injected = names));
      await submitRandomJobs(simulation, () => injected !== null);
      return injected;
    }));
