/** Jobs that pass to another shard, because their own has no room and the other has some: with faults at every step. */
import assert from "node:assert/strict";
import type { FaultCombination } from "./fault-combinations.js";
import type { Simulation, UserJob } from "./simulation.js";

/** Longer than a machine may take to run empty for another shard, so that none is given away instead. */
const LONG_MS = 200_000;
/** No job may wait so long beside room. */
const BESIDE_ROOM_MS = 90_000;

/** The first shard has every machine, with a quarter of each free; a job of another shard's team comes. */
async function jobWithoutRoom(world: Simulation, over: Record<string, unknown>): Promise<UserJob> {
  const runs = (world.workers.runMsByJob ??= new Map());
  world.cloud.capacity = 2;
  runs.set("req-1", LONG_MS);
  const large = world.submit("req-1", { pieces: 2, vcpus: 3, guessS: LONG_MS / 1000 });
  assert.ok(await world.runUntil(() => world.runningOf(large) === 2, 60_000), "the machines are taken");
  runs.set("req-2", 30_000);
  return world.submit("req-2", { pieces: 4, vcpus: 1, guessS: 30, ...over });
}

/** The shard that the record of a job names; undefined where the job is over. */
function shardOf(world: Simulation, job: UserJob): number | undefined {
  return (world.store.value(`fernpond/live/jobs/${job.id}`) as { shard: number } | undefined)?.shard;
}

async function passesOn(world: Simulation, job: UserJob): Promise<void> {
  const home = shardOf(world, job);
  assert.ok(await world.runUntil(() => shardOf(world, job) !== home, BESIDE_ROOM_MS), "it passes on");
}

const begins = (world: Simulation, job: UserJob): Promise<boolean> =>
  world.runUntil(() => world.runningOf(job) > 0, BESIDE_ROOM_MS);

export const jobTransfers: FaultCombination[] = [
  {
    name: "a job waits beside another shard's room, passes to it, and two shards keep one limit",
    async play(world) {
      const job = await jobWithoutRoom(world, { crew: "tight", pieces: 12 });
      assert.ok(await begins(world, job), "it begins in time");
      const kept = world.store.value("fernpond/live/quota/2/req-2") as { cpus: number } | undefined;
      assert.equal(kept?.cpus, 8, "its own shard counts all that it may use");
      world.cloud.capacity = 6;
      world.submit("req-3", { crew: "tight", pieces: 4, vcpus: 2 });
    },
  },
  {
    name: "a job passes to another shard while transactions get no answer and are carried out late",
    async play(world) {
      const job = await jobWithoutRoom(world, { crew: "capped" });
      world.lateWrites = 0.5;
      await world.run(80_000);
      world.lateWrites = 0;
      assert.ok(await begins(world, job), "it begins");
    },
  },
  {
    name: "a job is cancelled, asked after and submitted again in the moment in which it passes to another shard",
    async play(world) {
      const job = await jobWithoutRoom(world, { crew: "capped" });
      world.stateLatencyMs = 300;
      await world.run(40_000);
      for (let i = 0; i < 40 && shardOf(world, job) === 1; i++) {
        void world.repeat(job);
        void world.look(job);
        await world.run(500);
      }
      void world.cancel(job);
      assert.ok(await world.runUntil(() => job.over, 30_000), "it is cancelled");
      world.stateLatencyMs = 4;
    },
  },
  {
    name: "the owner that gives a job away ends as the job passes, and the limit still holds",
    async play(world) {
      const job = await jobWithoutRoom(world, { crew: "tight" });
      await passesOn(world, job);
      const giver = world.ownerOf(2)!;
      world.crash(giver);
      world.submit("req-3", { crew: "tight", pieces: 4, vcpus: 2 });
      world.cloud.capacity = 6;
      await world.run(20_000);
      void world.cancel(job);
      await world.run(10_000);
      world.launch(giver);
    },
  },
  {
    name: "the owner that takes a job ends as the job passes, and another goes on with it",
    async play(world) {
      const job = await jobWithoutRoom(world, { crew: "capped" });
      await passesOn(world, job);
      const taker = world.ownerOf(0)!;
      world.crash(taker);
      await world.run(300);
      world.launch(taker);
      assert.ok(await begins(world, job), "it begins");
    },
  },
];
