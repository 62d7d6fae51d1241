/** Users who submit whatever they may: jobs of all shapes, teams and ranks. */
import { sleep } from "../../src/runtime/sleep.js";
import type { Simulation, UserJob } from "./simulation.js";

/** Teams without a limit, with one, and with one that is soon reached. */
export const TEAMS = `
[[settings.teams]]
name = "free"
[[settings.teams]]
name = "capped"
cpus = 8.0
cpus_max = 24.0
[[settings.teams]]
name = "tight"
cpus = 4.0
cpus_max = 8.0`;

const SHAPES = [
  {},
  {},
  { pieces: 2 },
  { together: true },
  { spread: true },
  { bank: "north" },
  { bank: "south" },
  { loaners: false },
  { breeds: ["small"] },
];

function oneOf<T>(simulation: Simulation, values: readonly T[]): T {
  return values[simulation.randomBelow(values.length)]!;
}

/** The part of the jobs that fail wherever they run. */
const MISTAKEN = 0.06;

/** Until its user has seen enough of it. */
async function mistaken(simulation: Simulation, job: UserJob): Promise<void> {
  (simulation.workers.faulty ??= new Set()).add(job.id);
  await sleep(60_000 + simulation.randomFraction() * 60_000);
  await simulation.cancel(job);
}

/** Jobs come, a few seconds apart, for as long as is said; most tasks are short, some long. */
export async function work(simulation: Simulation, until: () => boolean, most = 60): Promise<void> {
  const runs = (simulation.workers.runOf ??= new Map<string, number>());
  for (let i = 0; !until(); i++) {
    if (i < most) {
      const id = `req-${i}`;
      runs.set(id, 1000 + simulation.randomFraction() ** 2 * 30_000);
      const job = simulation.submit(id, {
        pieces: 1 + simulation.randomBelow(12),
        crew: oneOf(simulation, ["free", "capped", "tight"]),
        vcpus: oneOf(simulation, [0.5, 1, 2, 3]),
        rank: oneOf(simulation, ["best_effort", "normal", "urgent", "critical"]),
        ...oneOf(simulation, SHAPES),
      });
      if (simulation.randomFraction() < MISTAKEN) void mistaken(simulation, job);
    }
    await simulation.run(500 + simulation.randomFraction() * 4000);
  }
}
