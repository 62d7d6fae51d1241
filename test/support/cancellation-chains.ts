/** Fault combinations in which a job is cancelled while a series of owners each receive one heartbeat per worker. */
import assert from "node:assert/strict";
import type { FaultCombination } from "./scenario.js";
import type { Simulation, SimulatedNode, UserJob } from "./simulation.js";

/** As many tasks as fill one machine, so that all of them depend on one worker's lease. */
const TASKS_PER_MACHINE = 4;
const RUN_MS = 600_000;
/** A crashed controller is restarted within a fraction of a second. */
const RESTART_MS = 300;

/** Starts a job whose tasks all run on one machine, for longer than the test takes. */
async function runJobOnOneMachine(simulation: Simulation): Promise<UserJob> {
  (simulation.workers.runMsByJob ??= new Map()).set("req-1", RUN_MS);
  const job = simulation.submit("req-1", { pieces: TASKS_PER_MACHINE, guessS: RUN_MS / 1000 });
  const allRunning = (): boolean => simulation.runningTaskCount(job) === TASKS_PER_MACHINE;
  assert.ok(await simulation.runUntil(allRunning, 120_000), "all tasks run");
  return job;
}

/** The highest token seen by the worker that runs the job's tasks; null if none of them runs. */
function highestTokenAtWorker(simulation: Simulation, job: UserJob): number | null {
  for (const worker of simulation.cloud.machines.values())
    for (const piece of worker.running) if (simulation.jobOfTask(piece) === job) return worker.highestToken;
  return null;
}

/** Waits until an owner with a newer token has responded to the job's worker, or no task of the job runs. */
async function waitForNewOwnersResponse(
  simulation: Simulation,
  job: UserJob,
  previousToken: number,
): Promise<boolean> {
  return simulation.runUntil(() => {
    const token = highestTokenAtWorker(simulation, job);
    return token === null || token > previousToken;
  }, 60_000);
}

/** Stops each owner right after its first response to the job's worker, for longer than a cancellation may take. */
async function stopOwnersAfterFirstResponse(
  simulation: Simulation,
  job: UserJob,
  stopOwner: (owner: SimulatedNode) => Promise<void>,
): Promise<void> {
  const until = simulation.now + simulation.settings.workers.cancelMs + simulation.settings.workers.leaseMs;
  while (simulation.now < until) {
    const token = highestTokenAtWorker(simulation, job);
    if (token === null) return;
    await stopOwner(simulation.ownerOf(0)!);
    await waitForNewOwnersResponse(simulation, job, token);
  }
}

/** Has another controller cancel a running job while the state service refuses the owner, which cannot see this. */
async function cancelUnseenByOwner(simulation: Simulation): Promise<UserJob> {
  const job = await runJobOnOneMachine(simulation);
  const owner = simulation.ownerOf(0)!;
  const other = simulation.nodes.find((node) => node !== owner)!;
  simulation.store.refused.add(owner.index);
  await Promise.race([simulation.cancel(job, other), simulation.run(5000)]);
  assert.ok(job.cancelledAt !== null, "the cancellation is confirmed");
  simulation.store.refused.delete(owner.index);
  return job;
}

/** Guard against `ran_cancelled`: an owner's first response must stop cancelled tasks; see `LeaseRenewal.decide`. */
export const cancellationChains: FaultCombination[] = [
  {
    name: "a job is cancelled while its owner repeatedly crashes after its first response to each worker and restarts",
    async run(simulation) {
      const job = await cancelUnseenByOwner(simulation);
      await stopOwnersAfterFirstResponse(simulation, job, async (current) => {
        simulation.crash(current);
        await simulation.run(RESTART_MS);
        simulation.startNode(current);
      });
    },
  },
  {
    name: "a job is cancelled while owners succeed each other, each crashing before any worker reports to it twice",
    async run(simulation) {
      const job = await cancelUnseenByOwner(simulation);
      await stopOwnersAfterFirstResponse(simulation, job, async (current) => {
        simulation.crash(current);
        // The crashed controller is restarted only once another one owns the shard.
        await simulation.runUntil(() => simulation.ownerOf(0) !== current, 20_000);
        simulation.startNode(current);
      });
    },
  },
];
