/**
 * A cut heals in the middle of a dispatch, and the two sides of a cut disagree about a job that has ended: in simulated
 * time, with the link monitor's policy enforced. Every attempt is counted.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { Simulation, type Cuts, type SimulatedNode, type UserJob } from "./support/simulation.js";
import { TEAMS } from "./support/workload.js";

const ENFORCED = { teams: TEAMS, operator: { links: { mode: "enforce" } } };
const MOMENT_MS = 1000;

async function inWorld(seed: number, play: (world: Simulation) => Promise<void>): Promise<void> {
  const world = Simulation.start(3, seed, ENFORCED);
  try {
    await world.run(10_000);
    await play(world);
    assert.ok(await world.runUntil(() => world.open().length === 0, 300_000), `open: ${world.open().join()}`);
    assert.deepEqual(world.broken, []);
  } finally {
    world.close();
  }
}

/** Cuts one direction of a link for a moment. */
async function cutFor(
  world: Simulation,
  node: SimulatedNode,
  link: keyof Cuts,
  direction: "inbound" | "outbound",
  ms: number,
): Promise<void> {
  if (link === "feed") throw new Error("the feed has no directions");
  node.cut[link] = direction;
  await world.run(ms);
  node.cut[link] = false;
}

const startsOf = (world: Simulation, job: UserJob): string[] =>
  world.cloud.startedTasks.filter((piece) => piece.startsWith(`${job.id}/`));

/** Each task ran once: nothing was repeated without need. */
function ranOnce(world: Simulation, job: UserJob): void {
  const starts = startsOf(world, job);
  assert.equal(new Set(starts).size, Number(job.body.pieces), "each task started");
  assert.equal(starts.length, Number(job.body.pieces), "and none a second time");
}

const SUBMISSION_CUTS = [
  { name: "before the write of a submission", direction: "outbound" },
  { name: "after the write of a submission and before its answer", direction: "inbound" },
] as const;

for (const { name, direction } of SUBMISSION_CUTS)
  test(`the cut heals in the middle of a dispatch: ${name}`, () =>
    inWorld(1, async (world) => {
      for (const node of world.nodes) node.cut.state = direction;
      const job = world.submit("req-1", { pieces: 6 });
      await world.run(MOMENT_MS);
      const recorded = world.store.value("fernpond/live/jobs/req-1") !== undefined;
      assert.equal(recorded, direction === "inbound", "the write has passed where only answers are cut");
      for (const node of world.nodes) node.cut.state = false;
      assert.ok(await world.runUntil(() => job.done, 120_000), "it is done");
      ranOnce(world, job);
    }));

const START_CUTS = [
  { name: "after a start is decided and before the worker's answer", direction: "outbound" },
  { name: "after the answer and before the report that proves it", direction: "inbound" },
] as const;

for (const { name, direction } of START_CUTS)
  test(`the cut heals in the middle of a dispatch: ${name}`, () =>
    inWorld(2, async (world) => {
      const owner = world.ownerOf(0)!;
      const job = world.submit("req-1", { pieces: 12 });
      let cut = false;
      world.atStart("req-1/0", () => {
        cut = true;
        owner.cut.workers = direction;
      });
      assert.ok(await world.runUntil(() => cut, 60_000), "its first task starts");
      await world.run(MOMENT_MS);
      owner.cut.workers = false;
      assert.ok(await world.runUntil(() => job.done, 120_000), "it is done");
      ranOnce(world, job);
    }));

test("the cut heals in the middle of a dispatch: an order whose answer is lost rents nothing twice", () =>
  inWorld(3, async (world) => {
    const ordersSeen = new Map<string, number>();
    world.store.onChange = (change) => {
      if ("put" in change && change.put.startsWith("fernpond/live/orders/"))
        ordersSeen.set(change.put, (change.value as { count: number }).count);
    };
    const job = world.submit("req-1", { pieces: 8, vcpus: 2 });
    const ordered = (): boolean => world.store.keys("fernpond/live/orders/").length > 0;
    assert.ok(await world.runUntil(ordered, 60_000), "an order is on record");
    await cutFor(world, world.leader()!, "cloud", "inbound", 3 * MOMENT_MS);
    assert.ok(await world.runUntil(() => job.done, 120_000), "it is done");
    const wanted = [...ordersSeen.values()].reduce((sum, count) => sum + count, 0);
    assert.equal(world.cloud.rentedCount, wanted, "each order on record was carried out once");
    ranOnce(world, job);
  }));

/** Every controller gives the same final answer, now and a minute later. */
async function allSay(world: Simulation, job: UserJob, stage: string): Promise<void> {
  for (let round = 0; round < 2; round++) {
    for (const node of world.nodes) {
      const answered = world.look(job, node);
      await world.run(3000);
      assert.equal((await answered).body.stage, stage, node.name);
    }
    await world.run(60_000);
  }
}

test("a job that has ended on one side of a cut and is cancelled on the other is cancelled everywhere, for good", () =>
  inWorld(4, async (world) => {
    const job = world.submit("req-1", { pieces: 4 });
    const owner = world.ownerOf(0)!;
    assert.ok(await world.runUntil(() => world.runningOf(job) === 4, 60_000), "it runs");
    owner.cut.state = owner.cut.peers = true;
    const other = world.nodes.find((node) => node !== owner)!;
    const cancelled = world.cancel(job, other);
    // Its tasks end and report their results to the owner, who cannot record them.
    await world.run(25_000);
    await cancelled;
    assert.ok(job.cancelledAt !== null, "it is confirmed as cancelled");
    owner.cut.state = owner.cut.peers = false;
    await world.run(10_000);
    await allSay(world, job, "aborted");
  }));

test("a job that has ended on one side of a cut and is taken over on the other is done once, everywhere", () =>
  inWorld(5, async (world) => {
    const job = world.submit("req-1", { pieces: 4 });
    const owner = world.ownerOf(0)!;
    assert.ok(await world.runUntil(() => world.runningOf(job) === 4, 60_000), "it runs");
    owner.cut.state = true;
    assert.ok(await world.runUntil(() => world.ownerOf(0) !== owner, 30_000), "another takes the shard over");
    assert.ok(await world.runUntil(() => job.done, 120_000), "and tells that it is done");
    owner.cut.state = false;
    await world.run(10_000);
    await allSay(world, job, "done");
    ranOnce(world, job);
  }));
