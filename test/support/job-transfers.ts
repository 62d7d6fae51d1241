/** Fault combinations around the migration of a job from a full shard to a shard with free capacity. */
import assert from "node:assert/strict";
import type { FaultCombination } from "./scenario.js";
import type { Simulation, UserJob } from "./simulation.js";

/** Longer than a cordoned machine may take to become empty, so that no machine is transferred instead of the job. */
const LONG_RUN_MS = 200_000;
/** The longest that a job may wait while a machine has free capacity for it. */
const MAX_WAIT_MS = 90_000;

/** Fills three quarters of each machine, all in the first shard, and submits a job of a team of another shard. */
async function submitJobWithoutCapacity(
  simulation: Simulation,
  overrides: Record<string, unknown>,
): Promise<UserJob> {
  const runTimesMs = (simulation.workers.runMsByJob ??= new Map());
  simulation.cloud.capacity = 2;
  runTimesMs.set("req-1", LONG_RUN_MS);
  const large = simulation.submit("req-1", { pieces: 2, vcpus: 3, guessS: LONG_RUN_MS / 1000 });
  assert.ok(
    await simulation.runUntil(() => simulation.runningTaskCount(large) === 2, 60_000),
    "the large tasks run on all machines",
  );
  runTimesMs.set("req-2", 30_000);
  return simulation.submit("req-2", { pieces: 4, vcpus: 1, guessS: 30, ...overrides });
}

/** The shard that a job's record names; undefined if the job has ended. */
function shardOf(simulation: Simulation, job: UserJob): number | undefined {
  return (simulation.store.value(`fernpond/live/jobs/${job.id}`) as { shard: number } | undefined)?.shard;
}

async function waitForMigration(simulation: Simulation, job: UserJob): Promise<void> {
  const sourceShard = shardOf(simulation, job);
  assert.ok(
    await simulation.runUntil(() => shardOf(simulation, job) !== sourceShard, MAX_WAIT_MS),
    "the job is migrated",
  );
}

const startsInTime = (simulation: Simulation, job: UserJob): Promise<boolean> =>
  simulation.runUntil(() => simulation.runningTaskCount(job) > 0, MAX_WAIT_MS);

export const jobMigrations: FaultCombination[] = [
  {
    name: "a waiting job is migrated to a shard with free capacity, and the two shards together keep the team's quota",
    async run(simulation) {
      const job = await submitJobWithoutCapacity(simulation, { crew: "tight", pieces: 12 });
      assert.ok(await startsInTime(simulation, job), "the migrated job starts in time");
      const reservation = simulation.store.value("fernpond/live/quota/2/req-2") as
        { cpus: number } | undefined;
      assert.equal(reservation?.cpus, 8, "the source shard reserves all that the job may use");
      simulation.cloud.capacity = 6;
      simulation.submit("req-3", { crew: "tight", pieces: 4, vcpus: 2 });
    },
  },
  {
    name: "a job is migrated while transactions get no response and are applied late",
    async run(simulation) {
      const job = await submitJobWithoutCapacity(simulation, { crew: "capped" });
      simulation.delayedTransactionShare = 0.5;
      await simulation.run(80_000);
      simulation.delayedTransactionShare = 0;
      assert.ok(await startsInTime(simulation, job), "the migrated job starts");
    },
  },
  {
    name: "a job is queried, submitted again and cancelled while it is being migrated",
    async run(simulation) {
      const job = await submitJobWithoutCapacity(simulation, { crew: "capped" });
      simulation.stateLatencyMs = 300;
      await simulation.run(40_000);
      for (let i = 0; i < 40 && shardOf(simulation, job) === 1; i++) {
        void simulation.resubmit(job);
        void simulation.queryJob(job);
        await simulation.run(500);
      }
      void simulation.cancel(job);
      assert.ok(await simulation.runUntil(() => job.hasEnded, 30_000), "the cancellation is confirmed");
      simulation.stateLatencyMs = 4;
    },
  },
  {
    name: "the owner of the source shard crashes right after a migration, and the team's quota still holds",
    async run(simulation) {
      const job = await submitJobWithoutCapacity(simulation, { crew: "tight" });
      await waitForMigration(simulation, job);
      const sourceOwner = simulation.ownerOf(2)!;
      simulation.crash(sourceOwner);
      simulation.submit("req-3", { crew: "tight", pieces: 4, vcpus: 2 });
      simulation.cloud.capacity = 6;
      await simulation.run(20_000);
      void simulation.cancel(job);
      await simulation.run(10_000);
      simulation.startNode(sourceOwner);
    },
  },
  {
    name: "the owner of the target shard crashes right after a migration, and the next owner starts the job",
    async run(simulation) {
      const job = await submitJobWithoutCapacity(simulation, { crew: "capped" });
      await waitForMigration(simulation, job);
      const targetOwner = simulation.ownerOf(0)!;
      simulation.crash(targetOwner);
      await simulation.run(300);
      simulation.startNode(targetOwner);
      assert.ok(await startsInTime(simulation, job), "the migrated job starts");
    },
  },
];
