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

const JOB_VARIANTS = [
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

function pickOne<T>(world: Simulation, values: readonly T[]): T {
  return values[world.pick(values.length)]!;
}

/** The part of the jobs that fail wherever they run. */
const FAULTY_JOB_SHARE = 0.06;

/** Until its user has seen enough of it. */
async function cancelAfterFailures(world: Simulation, job: UserJob): Promise<void> {
  (world.workers.faultyJobs ??= new Set()).add(job.id);
  await sleep(60_000 + world.chance() * 60_000);
  await world.cancel(job);
}

/** Jobs come, a few seconds apart, for as long as is said; most tasks are short, some long. */
export async function submitRandomJobs(world: Simulation, until: () => boolean, most = 60): Promise<void> {
  const runs = (world.workers.runMsByJob ??= new Map<string, number>());
  for (let i = 0; !until(); i++) {
    if (i < most) {
      const id = `req-${i}`;
      runs.set(id, 1000 + world.chance() ** 2 * 30_000);
      const job = world.submit(id, {
        pieces: 1 + world.pick(12),
        crew: pickOne(world, ["free", "capped", "tight"]),
        vcpus: pickOne(world, [0.5, 1, 2, 3]),
        rank: pickOne(world, ["best_effort", "normal", "urgent", "critical"]),
        ...pickOne(world, JOB_VARIANTS),
      });
      if (world.chance() < FAULTY_JOB_SHARE) void cancelAfterFailures(world, job);
    }
    await world.run(500 + world.chance() * 4000);
  }
}
