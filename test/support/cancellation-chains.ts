/** Jobs that are cancelled while their shard has one owner after the other, each of which hears a worker only once. */
import assert from "node:assert/strict";
import type { FaultCombination } from "./fault-combinations.js";
import type { Simulation, SimulatedNode, UserJob } from "./simulation.js";

/** Tasks that fill one machine, so that all of them hang on one worker's lease. */
const TASKS_OF_ONE_MACHINE = 4;
const RUN_MS = 600_000;
/** A controller that was killed is back within a fraction of a second. */
const BACK_MS = 300;

/** A job all of whose tasks run on one machine, and go on for longer than the test. */
async function runningOnOneMachine(world: Simulation): Promise<UserJob> {
  (world.workers.runMsByJob ??= new Map()).set("req-1", RUN_MS);
  const job = world.submit("req-1", { pieces: TASKS_OF_ONE_MACHINE, guessS: RUN_MS / 1000 });
  const runs = (): boolean => world.runningOf(job) === TASKS_OF_ONE_MACHINE;
  assert.ok(await world.runUntil(runs, 120_000), "all tasks run");
  return job;
}

/** The highest token that the worker with the job's tasks has seen. */
function tokenAtWorker(world: Simulation, job: UserJob): number | null {
  for (const worker of world.cloud.machines.values())
    for (const piece of worker.running) if (world.jobOf(piece) === job) return worker.highestToken;
  return null;
}

/** Waits until another owner than before has answered the job's worker, or nothing of the job runs. */
async function untilAnsweredAnew(world: Simulation, job: UserJob, before: number): Promise<boolean> {
  return world.runUntil(() => {
    const token = tokenAtWorker(world, job);
    return token === null || token > before;
  }, 60_000);
}

/** Ends each owner right after its first answer to the job's worker, for longer than a cancellation may take. */
async function endOwnersAfterFirstAnswer(
  world: Simulation,
  job: UserJob,
  end: (owner: SimulatedNode) => Promise<void>,
): Promise<void> {
  const until = world.now + world.settings.workers.cancelMs + world.settings.workers.leaseMs;
  while (world.now < until) {
    const token = tokenAtWorker(world, job);
    if (token === null) return;
    await end(world.ownerOf(0)!);
    await untilAnsweredAnew(world, job, token);
  }
}

/** A running job, cancelled by another controller while the state service refuses its owner, who hears nothing of it. */
async function cancelledUnheard(world: Simulation): Promise<UserJob> {
  const job = await runningOnOneMachine(world);
  const owner = world.ownerOf(0)!;
  const other = world.nodes.find((node) => node !== owner)!;
  world.store.refused.add(owner.index);
  await Promise.race([world.cancel(job, other), world.run(5000)]);
  assert.ok(job.cancelledAt !== null, "confirmed");
  world.store.refused.delete(owner.index);
  return job;
}

/** Guarded by the stops that go out with an owner's first answer: see `Renewal.decide`. */
export const cancellationChains: FaultCombination[] = [
  {
    name: "an owner ends after its first answer to each worker and is back within a moment, again and again, while a job is cancelled",
    async play(world) {
      const job = await cancelledUnheard(world);
      await endOwnersAfterFirstAnswer(world, job, async (current) => {
        world.crash(current);
        await world.run(BACK_MS);
        world.launch(current);
      });
    },
  },
  {
    name: "owners follow each other, and each ends before any worker reports to it twice, while a job is cancelled",
    async play(world) {
      const job = await cancelledUnheard(world);
      await endOwnersAfterFirstAnswer(world, job, async (current) => {
        world.crash(current);
        // Only another controller may take the shard over; the one that ended comes back too late for it.
        await world.runUntil(() => world.ownerOf(0) !== current, 20_000);
        world.launch(current);
      });
    },
  },
];
