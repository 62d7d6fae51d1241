/**
 * Links that are restored in the middle of a dispatch, and jobs whose end only one side of a cut knows: in simulated
 * time, with the link monitor's policy enforced. No task may be started more often than necessary.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { Simulation, type Cuts, type SimulatedNode, type UserJob } from "./support/simulation.js";
import { TEAMS } from "./support/workload.js";

const ENFORCED = { teams: TEAMS, operator: { links: { mode: "enforce" } } };
const CUT_MS = 1000;

async function withSimulation(seed: number, run: (simulation: Simulation) => Promise<void>): Promise<void> {
  const simulation = Simulation.start(3, seed, ENFORCED);
  try {
    await simulation.run(10_000);
    await run(simulation);
    assert.ok(
      await simulation.runUntil(() => simulation.unfinishedJobs().length === 0, 300_000),
      `unfinished: ${simulation.unfinishedJobs().join()}`,
    );
    assert.deepEqual(simulation.violations, []);
  } finally {
    simulation.close();
  }
}

/** Cuts one direction of a link for a while. */
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
  simulation.cloud.startedTasks.filter((task) => task.startsWith(`${job.id}/`));

/** Asserts that each task was started exactly once. */
function assertEachTaskRanOnce(simulation: Simulation, job: UserJob): void {
  const starts = startsOf(simulation, job);
  assert.equal(new Set(starts).size, Number(job.body.pieces), "each task started");
  assert.equal(starts.length, Number(job.body.pieces), "no task started a second time");
}

const SUBMISSION_CUTS = [
  { name: "before a submission is written", direction: "outbound" },
  { name: "between the write of a submission and the response to it", direction: "inbound" },
] as const;

for (const { name, direction } of SUBMISSION_CUTS)
  test(`each task starts once after a cut ${name}`, () =>
    withSimulation(1, async (simulation) => {
      for (const node of simulation.nodes) node.cut.state = direction;
      const job = simulation.submit("req-1", { pieces: 6 });
      await simulation.run(CUT_MS);
      const isRecorded = simulation.store.value("fernpond/live/jobs/req-1") !== undefined;
      assert.equal(isRecorded, direction === "inbound", "the write succeeds if only responses are lost");
      for (const node of simulation.nodes) node.cut.state = false;
      assert.ok(await simulation.runUntil(() => job.isDone, 120_000), "the job is done");
      assertEachTaskRanOnce(simulation, job);
    }));

const START_CUTS = [
  { name: "between the decision to start a task and the response to its worker", direction: "outbound" },
  {
    name: "between the response to a worker and the heartbeat that confirms the start",
    direction: "inbound",
  },
] as const;

for (const { name, direction } of START_CUTS)
  test(`each task starts once after a cut ${name}`, () =>
    withSimulation(2, async (simulation) => {
      const owner = simulation.ownerOf(0)!;
      const job = simulation.submit("req-1", { pieces: 12 });
      let isCut = false;
      simulation.onFirstStart("req-1/0", () => {
        isCut = true;
        owner.cut.workers = direction;
      });
      assert.ok(await simulation.runUntil(() => isCut, 60_000), "the first task starts");
      await simulation.run(CUT_MS);
      owner.cut.workers = false;
      assert.ok(await simulation.runUntil(() => job.isDone, 120_000), "the job is done");
      assertEachTaskRanOnce(simulation, job);
    }));

test("tasks start once, and no machine is rented twice, if the response of the cloud to an order is lost", () =>
  withSimulation(3, async (simulation) => {
    const ordersSeen = new Map<string, number>();
    simulation.store.onChange = (change) => {
      if ("put" in change && change.put.startsWith("fernpond/live/orders/"))
        ordersSeen.set(change.put, (change.value as { count: number }).count);
    };
    const job = simulation.submit("req-1", { pieces: 8, vcpus: 2 });
    const hasOrder = (): boolean => simulation.store.keys("fernpond/live/orders/").length > 0;
    assert.ok(await simulation.runUntil(hasOrder, 60_000), "an order is recorded");
    await cutLink(simulation, simulation.leader()!, "cloud", "inbound", 3 * CUT_MS);
    assert.ok(await simulation.runUntil(() => job.isDone, 120_000), "the job is done");
    const orderedCount = [...ordersSeen.values()].reduce((sum, count) => sum + count, 0);
    assert.equal(simulation.cloud.rentedCount, orderedCount, "each recorded order was executed once");
    assertEachTaskRanOnce(simulation, job);
  }));

/** Asserts that every controller reports the same final state of a job, now and a minute later. */
async function assertAllAnswer(simulation: Simulation, job: UserJob, stage: string): Promise<void> {
  for (let round = 0; round < 2; round++) {
    for (const node of simulation.nodes) {
      const response = simulation.queryJob(job, node);
      await simulation.run(3000);
      assert.equal((await response).body.stage, stage, node.name);
    }
    await simulation.run(60_000);
  }
}

test("a job whose tasks end on one side of a cut and that is cancelled on the other side stays cancelled everywhere", () =>
  withSimulation(4, async (simulation) => {
    const job = simulation.submit("req-1", { pieces: 4 });
    const owner = simulation.ownerOf(0)!;
    assert.ok(
      await simulation.runUntil(() => simulation.runningTaskCount(job) === 4, 60_000),
      "the tasks run",
    );
    owner.cut.state = owner.cut.peers = true;
    const other = simulation.nodes.find((node) => node !== owner)!;
    const cancellation = simulation.cancel(job, other);
    // The tasks end, and their results reach the owner, which cannot record them.
    await simulation.run(25_000);
    await cancellation;
    assert.ok(job.cancelledAt !== null, "the cancellation is confirmed");
    owner.cut.state = owner.cut.peers = false;
    await simulation.run(10_000);
    await assertAllAnswer(simulation, job, "aborted");
  }));

test("a job whose shard is taken over while its owner is cut off is reported as done everywhere, without repeated starts", () =>
  withSimulation(5, async (simulation) => {
    const job = simulation.submit("req-1", { pieces: 4 });
    const owner = simulation.ownerOf(0)!;
    assert.ok(
      await simulation.runUntil(() => simulation.runningTaskCount(job) === 4, 60_000),
      "the tasks run",
    );
    owner.cut.state = true;
    assert.ok(
      await simulation.runUntil(() => simulation.ownerOf(0) !== owner, 30_000),
      "another controller takes the shard over",
    );
    assert.ok(await simulation.runUntil(() => job.isDone, 120_000), "the new owner reports the job as done");
    owner.cut.state = false;
    await simulation.run(10_000);
    await assertAllAnswer(simulation, job, "done");
    assertEachTaskRanOnce(simulation, job);
  }));
