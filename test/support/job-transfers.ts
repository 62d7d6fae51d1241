/** Fault combinations around the migration of a job from a full shard to a shard with free capacity. */
import assert from "node:assert/strict";
import type { FaultCombination } from "./fault-combinations.js";
import type { Simulation, UserJob } from "./simulation.js";

/** Longer than a cordoned machine may take to become empty, so that no machine is transferred instead of the job. */
const LONG_RUN_MS = 200_000;
/** The longest that a job may wait while a machine has free capacity for it. */
const MAX_WAIT_MS = 90_000;

/** Fills three quarters of each machine, all in the first shard, and submits a job of a team of another shard. */
async function submitJobWithoutCapacity(
  world: Simulation,
  overrides: Record<string, unknown>,
): Promise<UserJob> {
  const runTimesMs = (world.workers.runMsByJob ??= new Map());
  world.cloud.capacity = 2;
  runTimesMs.set("req-1", LONG_RUN_MS);
  const large = world.submit("req-1", { pieces: 2, vcpus: 3, guessS: LONG_RUN_MS / 1000 });
  assert.ok(
    await world.runUntil(() => world.runningOf(large) === 2, 60_000),
    "the large tasks run on all machines",
  );
  runTimesMs.set("req-2", 30_000);
  return world.submit("req-2", { pieces: 4, vcpus: 1, guessS: 30, ...overrides });
}

/** The shard that a job's record names; undefined if the job has ended. */
function shardOf(world: Simulation, job: UserJob): number | undefined {
  return (world.store.value(`fernpond/live/jobs/${job.id}`) as { shard: number } | undefined)?.shard;
}

async function waitForMigration(world: Simulation, job: UserJob): Promise<void> {
  const sourceShard = shardOf(world, job);
  assert.ok(
    await world.runUntil(() => shardOf(world, job) !== sourceShard, MAX_WAIT_MS),
    "the job is migrated",
  );
}

const startsInTime = (world: Simulation, job: UserJob): Promise<boolean> =>
  world.runUntil(() => world.runningOf(job) > 0, MAX_WAIT_MS);

export const jobMigrations: FaultCombination[] = [
  {
    name: "a waiting job is migrated to a shard with free capacity, and the two shards together keep the team's quota",
    async play(world) {
      const job = await submitJobWithoutCapacity(world, { crew: "tight", pieces: 12 });
      assert.ok(await startsInTime(world, job), "the migrated job starts in time");
      const reservation = world.store.value("fernpond/live/quota/2/req-2") as { cpus: number } | undefined;
      assert.equal(reservation?.cpus, 8, "the source shard reserves all that the job may use");
      world.cloud.capacity = 6;
      world.submit("req-3", { crew: "tight", pieces: 4, vcpus: 2 });
    },
  },
  {
    name: "a job is migrated while transactions get no response and are applied late",
    async play(world) {
      const job = await submitJobWithoutCapacity(world, { crew: "capped" });
      world.lateWrites = 0.5;
      await world.run(80_000);
      world.lateWrites = 0;
      assert.ok(await startsInTime(world, job), "the migrated job starts");
    },
  },
  {
    name: "a job is queried, submitted again and cancelled while it is being migrated",
    async play(world) {
      const job = await submitJobWithoutCapacity(world, { crew: "capped" });
      world.stateLatencyMs = 300;
      await world.run(40_000);
      for (let i = 0; i < 40 && shardOf(world, job) === 1; i++) {
        void world.repeat(job);
        void world.look(job);
        await world.run(500);
      }
      void world.cancel(job);
      assert.ok(await world.runUntil(() => job.hasEnded, 30_000), "the cancellation is confirmed");
      world.stateLatencyMs = 4;
    },
  },
  {
    name: "the owner of the source shard crashes right after a migration, and the team's quota still holds",
    async play(world) {
      const job = await submitJobWithoutCapacity(world, { crew: "tight" });
      await waitForMigration(world, job);
      const sourceOwner = world.ownerOf(2)!;
      world.crash(sourceOwner);
      world.submit("req-3", { crew: "tight", pieces: 4, vcpus: 2 });
      world.cloud.capacity = 6;
      await world.run(20_000);
      void world.cancel(job);
      await world.run(10_000);
      world.launch(sourceOwner);
    },
  },
  {
    name: "the owner of the target shard crashes right after a migration, and the next owner starts the job",
    async play(world) {
      const job = await submitJobWithoutCapacity(world, { crew: "capped" });
      await waitForMigration(world, job);
      const targetOwner = world.ownerOf(0)!;
      world.crash(targetOwner);
      await world.run(300);
      world.launch(targetOwner);
      assert.ok(await startsInTime(world, job), "the migrated job starts");
    },
  },
];
