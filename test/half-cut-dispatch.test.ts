/**
 * A cut heals in the middle of a dispatch, and the two sides of a cut disagree about a job that has ended: in simulated
 * time, with the link monitor's policy enforced. Every attempt is counted.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { Simulation, type Cuts, type SimulatedNode, type UserJob } from "./support/simulation.js";
import { TEAMS } from "./support/workload.js";

const ENFORCED = { teams: TEAMS, operator: { links: { mode: "enforce" } } };
const CUT_MS = 1000;

async function withSimulation(seed: number, play: (simulation: Simulation) => Promise<void>): Promise<void> {
  const simulation = Simulation.start(3, seed, ENFORCED);
  try {
    await simulation.run(10_000);
    await play(simulation);
    assert.ok(
      await simulation.runUntil(() => simulation.unfinishedJobs().length === 0, 300_000),
      `open: ${simulation.unfinishedJobs().join()}`,
    );
    assert.deepEqual(simulation.violations, []);
  } finally {
    simulation.close();
  }
}

/** Cuts one direction of a link for a moment. */
async function cutLink(
  simulation: Simulation,
  node: SimulatedNode,
  link: keyof Cuts,
  direction: "inbound" | "outbound",
  ms: number,
): Promise<void> {
  if (link === "watches") throw new Error("a cut of the watches has no direction");
  node.cut[link] = direction;
  await simulation.run(ms);
  node.cut[link] = false;
}

const startsOf = (simulation: Simulation, job: UserJob): string[] =>
  simulation.cloud.startedTasks.filter((piece) => piece.startsWith(`${job.id}/`));

/** Each task ran once: nothing was repeated without need. */
function assertEachTaskRanOnce(simulation: Simulation, job: UserJob): void {
  const starts = startsOf(simulation, job);
  assert.equal(new Set(starts).size, Number(job.body.pieces), "each task started");
  assert.equal(starts.length, Number(job.body.pieces), "and none a second time");
}

const SUBMISSION_CUTS = [
  { name: "before the write of a submission", direction: "outbound" },
  { name: "after the write of a submission and before its answer", direction: "inbound" },
] as const;

for (const { name, direction } of SUBMISSION_CUTS)
  test(`the cut heals in the middle of a dispatch: ${name}`, () =>
    withSimulation(1, async (simulation) => {
      for (const node of simulation.nodes) node.cut.state = direction;
      const job = simulation.submit("req-1", { pieces: 6 });
      await simulation.run(CUT_MS);
      const recorded = simulation.store.value("fernpond/live/jobs/req-1") !== undefined;
      assert.equal(recorded, direction === "inbound", "the write has passed where only answers are cut");
      for (const node of simulation.nodes) node.cut.state = false;
      assert.ok(await simulation.runUntil(() => job.isDone, 120_000), "it is done");
      assertEachTaskRanOnce(simulation, job);
    }));

const START_CUTS = [
  { name: "after a start is decided and before the worker's answer", direction: "outbound" },
  { name: "after the answer and before the report that proves it", direction: "inbound" },
] as const;

for (const { name, direction } of START_CUTS)
  test(`the cut heals in the middle of a dispatch: ${name}`, () =>
    withSimulation(2, async (simulation) => {
      const owner = simulation.ownerOf(0)!;
      const job = simulation.submit("req-1", { pieces: 12 });
      let cut = false;
      simulation.onFirstStart("req-1/0", () => {
        cut = true;
        owner.cut.workers = direction;
      });
      assert.ok(await simulation.runUntil(() => cut, 60_000), "its first task starts");
      await simulation.run(CUT_MS);
      owner.cut.workers = false;
      assert.ok(await simulation.runUntil(() => job.isDone, 120_000), "it is done");
      assertEachTaskRanOnce(simulation, job);
    }));

test("the cut heals in the middle of a dispatch: an order whose answer is lost rents nothing twice", () =>
  withSimulation(3, async (simulation) => {
    const ordersSeen = new Map<string, number>();
    simulation.store.onChange = (change) => {
      if ("put" in change && change.put.startsWith("fernpond/live/orders/"))
        ordersSeen.set(change.put, (change.value as { count: number }).count);
    };
    const job = simulation.submit("req-1", { pieces: 8, vcpus: 2 });
    const ordered = (): boolean => simulation.store.keys("fernpond/live/orders/").length > 0;
    assert.ok(await simulation.runUntil(ordered, 60_000), "an order is on record");
    await cutLink(simulation, simulation.leader()!, "cloud", "inbound", 3 * CUT_MS);
    assert.ok(await simulation.runUntil(() => job.isDone, 120_000), "it is done");
    const wanted = [...ordersSeen.values()].reduce((sum, count) => sum + count, 0);
    assert.equal(simulation.cloud.rentedCount, wanted, "each order on record was carried out once");
    assertEachTaskRanOnce(simulation, job);
  }));

/** Every controller gives the same final answer, now and a minute later. */
async function assertAllAnswer(simulation: Simulation, job: UserJob, stage: string): Promise<void> {
  for (let round = 0; round < 2; round++) {
    for (const node of simulation.nodes) {
      const answered = simulation.queryJob(job, node);
      await simulation.run(3000);
      assert.equal((await answered).body.stage, stage, node.name);
    }
    await simulation.run(60_000);
  }
}

test("a job that has ended on one side of a cut and is cancelled on the other is cancelled everywhere, for good", () =>
  withSimulation(4, async (simulation) => {
    const job = simulation.submit("req-1", { pieces: 4 });
    const owner = simulation.ownerOf(0)!;
    assert.ok(await simulation.runUntil(() => simulation.runningTaskCount(job) === 4, 60_000), "it runs");
    owner.cut.state = owner.cut.peers = true;
    const other = simulation.nodes.find((node) => node !== owner)!;
    const cancelled = simulation.cancel(job, other);
    // Its tasks end and report their results to the owner, who cannot record them.
    await simulation.run(25_000);
    await cancelled;
    assert.ok(job.cancelledAt !== null, "it is confirmed as cancelled");
    owner.cut.state = owner.cut.peers = false;
    await simulation.run(10_000);
    await assertAllAnswer(simulation, job, "aborted");
  }));

test("a job that has ended on one side of a cut and is taken over on the other is done once, everywhere", () =>
  withSimulation(5, async (simulation) => {
    const job = simulation.submit("req-1", { pieces: 4 });
    const owner = simulation.ownerOf(0)!;
    assert.ok(await simulation.runUntil(() => simulation.runningTaskCount(job) === 4, 60_000), "it runs");
    owner.cut.state = true;
    assert.ok(
      await simulation.runUntil(() => simulation.ownerOf(0) !== owner, 30_000),
      "another takes the shard over",
    );
    assert.ok(await simulation.runUntil(() => job.isDone, 120_000), "and tells that it is done");
    owner.cut.state = false;
    await simulation.run(10_000);
    await assertAllAnswer(simulation, job, "done");
    assertEachTaskRanOnce(simulation, job);
  }));
