/** Fault combinations in which a job is cancelled while a series of owners each receive one heartbeat per worker. */
import assert from "node:assert/strict";
import type { FaultCombination } from "./fault-combinations.js";
import type { Simulation, SimulatedNode, UserJob } from "./simulation.js";

/** As many tasks as fill one machine, so that all of them depend on one worker's lease. */
const TASKS_PER_MACHINE = 4;
const RUN_MS = 600_000;
/** A crashed controller is restarted within a fraction of a second. */
const RESTART_MS = 300;

/** Starts a job whose tasks all run on one machine, for longer than the test takes. */
async function runJobOnOneMachine(world: Simulation): Promise<UserJob> {
  (world.workers.runMsByJob ??= new Map()).set("req-1", RUN_MS);
  const job = world.submit("req-1", { pieces: TASKS_PER_MACHINE, guessS: RUN_MS / 1000 });
  const allRunning = (): boolean => world.runningOf(job) === TASKS_PER_MACHINE;
  assert.ok(await world.runUntil(allRunning, 120_000), "all tasks run");
  return job;
}

/** The highest token seen by the worker that runs the job's tasks; null if none of them runs. */
function highestTokenAtWorker(world: Simulation, job: UserJob): number | null {
  for (const worker of world.cloud.machines.values())
    for (const piece of worker.running) if (world.jobOf(piece) === job) return worker.highestToken;
  return null;
}

/** Waits until an owner with a newer token has responded to the job's worker, or no task of the job runs. */
async function waitForNewOwnersResponse(
  world: Simulation,
  job: UserJob,
  previousToken: number,
): Promise<boolean> {
  return world.runUntil(() => {
    const token = highestTokenAtWorker(world, job);
    return token === null || token > previousToken;
  }, 60_000);
}

/** Stops each owner right after its first response to the job's worker, for longer than a cancellation may take. */
async function stopOwnersAfterFirstResponse(
  world: Simulation,
  job: UserJob,
  stopOwner: (owner: SimulatedNode) => Promise<void>,
): Promise<void> {
  const until = world.now + world.settings.workers.cancelMs + world.settings.workers.leaseMs;
  while (world.now < until) {
    const token = highestTokenAtWorker(world, job);
    if (token === null) return;
    await stopOwner(world.ownerOf(0)!);
    await waitForNewOwnersResponse(world, job, token);
  }
}

/** Has another controller cancel a running job while the state service refuses the owner, which cannot see this. */
async function cancelUnseenByOwner(world: Simulation): Promise<UserJob> {
  const job = await runJobOnOneMachine(world);
  const owner = world.ownerOf(0)!;
  const other = world.nodes.find((node) => node !== owner)!;
  world.store.refused.add(owner.index);
  await Promise.race([world.cancel(job, other), world.run(5000)]);
  assert.ok(job.cancelledAt !== null, "the cancellation is confirmed");
  world.store.refused.delete(owner.index);
  return job;
}

/** Guard against `ran_cancelled`: an owner's first response must stop cancelled tasks; see `LeaseRenewal.decide`. */
export const cancellationChains: FaultCombination[] = [
  {
    name: "a job is cancelled while its owner repeatedly crashes after its first response to each worker and restarts",
    async play(world) {
      const job = await cancelUnseenByOwner(world);
      await stopOwnersAfterFirstResponse(world, job, async (current) => {
        world.crash(current);
        await world.run(RESTART_MS);
        world.launch(current);
      });
    },
  },
  {
    name: "a job is cancelled while owners succeed each other, each crashing before any worker reports to it twice",
    async play(world) {
      const job = await cancelUnseenByOwner(world);
      await stopOwnersAfterFirstResponse(world, job, async (current) => {
        world.crash(current);
        // The crashed controller is restarted only once another one owns the shard.
        await world.runUntil(() => world.ownerOf(0) !== current, 20_000);
        world.launch(current);
      });
    },
  },
];
