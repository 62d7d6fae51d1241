/** Random workloads for simulations: jobs of all teams and priorities, with various placement constraints. */
import { sleep } from "../../src/runtime/sleep.js";
import type { Simulation, UserJob } from "./simulation.js";

/** The settings of teams without a limit, with a limit, and with a limit that is soon reached. */
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

/** Fields of submissions; jobs without any constraint are twice as likely as each other variant. */
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

function pickOne<T>(simulation: Simulation, values: readonly T[]): T {
  return values[simulation.randomBelow(values.length)]!;
}

/** The share of the jobs whose tasks fail on every machine. */
const FAULTY_JOB_SHARE = 0.06;

/** Makes all tasks of a job fail, and cancels the job after one to two minutes. */
async function cancelAfterFailures(simulation: Simulation, job: UserJob): Promise<void> {
  (simulation.workers.faultyJobs ??= new Set()).add(job.id);
  await sleep(60_000 + simulation.randomFraction() * 60_000);
  await simulation.cancel(job);
}

/**
 * Runs the simulation until `isOver`, and submits a job every few seconds, up to `maxJobs`. Most tasks are short, some
 * are long.
 */
export async function submitRandomJobs(
  simulation: Simulation,
  isOver: () => boolean,
  maxJobs = 60,
): Promise<void> {
  const runMsByJob = (simulation.workers.runMsByJob ??= new Map<string, number>());
  for (let i = 0; !isOver(); i++) {
    if (i < maxJobs) {
      const id = `req-${i}`;
      runMsByJob.set(id, 1000 + simulation.randomFraction() ** 2 * 30_000);
      const job = simulation.submit(id, {
        pieces: 1 + simulation.randomBelow(12),
        crew: pickOne(simulation, ["free", "capped", "tight"]),
        vcpus: pickOne(simulation, [0.5, 1, 2, 3]),
        rank: pickOne(simulation, ["best_effort", "normal", "urgent", "critical"]),
        ...pickOne(simulation, JOB_VARIANTS),
      });
      if (simulation.randomFraction() < FAULTY_JOB_SHARE) void cancelAfterFailures(simulation, job);
    }
    await simulation.run(500 + simulation.randomFraction() * 4000);
  }
}
