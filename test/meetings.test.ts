/** What happens where two troubles meet: whole deployments in simulated time, watched from the workers' and users' side. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { knownRed } from "./support/known-red.js";
import { meetings } from "./support/meetings.js";
import { Simulation } from "./support/simulation.js";
import type { SettingsOptions } from "./support/settings.js";
import { meet } from "./support/troubles.js";
import { TEAMS, work } from "./support/workload.js";

/** Within this of the end of all troubles all that was accepted is done. */
const CLEARED_MS = 600_000;

/** How many mixtures are played; more of them can be asked for by hand. */
const [FIRST = 1, LAST = 16] = (process.env.MIXTURES ?? "").split("-").filter(Boolean).map(Number);

/** Plays a day, and sees that all ends well once its troubles are over. */
async function day(
  seed: number,
  play: (world: Simulation) => Promise<unknown>,
  settings: SettingsOptions = {},
): Promise<void> {
  const world = await Simulation.start(3, seed, { teams: TEAMS, ...settings });
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

for (const { name: meeting, play, settings } of meetings) {
  const name = `where troubles meet: ${meeting}`;
  test(name, knownRed(name), async () => {
    for (let seed = 1; seed <= 2; seed++) await day(seed, play, settings);
  });
}

for (let seed = FIRST; seed <= LAST; seed++)
  test(`troubles that meet by chance break no rule, and all that was accepted ends: mixture ${seed}`, () =>
    day(seed, async (world) => {
      let met: string[] | null = null;
      void meet(world, 10, 90_000).then((names) => (met = names));
      await work(world, () => met !== null);
      return met;
    }));
