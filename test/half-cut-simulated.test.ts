/**
 * Generated schedules of one-way and two-way link cuts in simulated time, with the link monitor's policy enforced: no
 * invariant is violated, every job reaches one final state, and shards do not move back and forth. `PROPERTY_RUNS` and
 * `PROPERTY_SEED` run other cases than CI does.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import * as fc from "fast-check";
import { runSchedule, type ScheduledFault, type ScheduledLink } from "./support/link-cuts.js";
import { Simulation } from "./support/simulation.js";
import { TEAMS, submitRandomJobs } from "./support/workload.js";

const RUNS = {
  seed: Number(process.env.PROPERTY_SEED ?? 20_261_202),
  numRuns: Number(process.env.PROPERTY_RUNS ?? 10),
  // No shrinking: schedules are short enough to be read as they are, and each run takes seconds.
  endOnFailure: true,
};

const CONTROLLERS = 3;
const SCHEDULE_MS = 60_000;
/** All accepted jobs end within this time after the last fault. */
const MAX_COMPLETION_MS = 600_000;
const ENFORCED = { teams: TEAMS, operator: { links: { mode: "enforce" } } };

const at = fc.integer({ min: 0, max: SCHEDULE_MS });
const node = fc.nat(CONTROLLERS - 1);
const forMs = fc.oneof(fc.integer({ min: 100, max: 3000 }), fc.integer({ min: 3000, max: 45_000 }));
const link = fc.constantFrom<ScheduledLink>("state", "peers", "workers", "cloud", "users");
const cut = fc.constantFrom(true as const, "inbound" as const, "outbound" as const);
const RECORD_OPTIONS = { noNullPrototype: true };

const fault: fc.Arbitrary<ScheduledFault> = fc.oneof(
  {
    weight: 6,
    arbitrary: fc.record({ kind: fc.constant("cut" as const), at, node, link, cut, forMs }, RECORD_OPTIONS),
  },
  {
    weight: 2,
    arbitrary: fc.record(
      { kind: fc.constant("restart" as const), at, node, awayMs: fc.integer({ min: 50, max: 8000 }) },
      RECORD_OPTIONS,
    ),
  },
  {
    weight: 1,
    arbitrary: fc.record({ kind: fc.constant("refused" as const), at, node, forMs }, RECORD_OPTIONS),
  },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant("outage" as const), at, forMs }, RECORD_OPTIONS) },
);

/** Runs a schedule while users submit jobs, and waits until all faults and jobs have ended. */
async function runWithSchedule(
  seed: number,
  schedule: ScheduledFault[],
): Promise<{ violations: string[]; unfinished: string[] }> {
  const simulation = Simulation.start(CONTROLLERS, seed, ENFORCED);
  simulation.workers.duplicateShare = 0.1;
  simulation.delayedTransactionShare = 0.05;
  try {
    await simulation.run(10_000);
    let isOver = false;
    void runSchedule(simulation, schedule).then(() => (isOver = true));
    await submitRandomJobs(simulation, () => isOver);
    simulation.workers.duplicateShare = simulation.delayedTransactionShare = 0;
    simulation.faultsEndedAt = simulation.now;
    await simulation.runUntil(() => simulation.unfinishedJobs().length === 0, MAX_COMPLETION_MS);
    return { violations: simulation.violations, unfinished: simulation.unfinishedJobs() };
  } finally {
    simulation.close();
  }
}

test("under generated cuts, restarts, refusals and duplicate heartbeats no invariant is violated, and every job ends", async () => {
  const schedules = fc.array(fault, { minLength: 1, maxLength: 8 });
  const holds = async (seed: number, schedule: ScheduledFault[]): Promise<void> => {
    assert.deepEqual(await runWithSchedule(seed, schedule), { violations: [], unfinished: [] });
  };
  await fc.assert(fc.asyncProperty(fc.nat(1000), schedules, holds), RUNS);
});

/** Counts the owner changes of a shard while its owner is cut off from the workers during every other lease. */
async function countHandOvers(mode: "off" | "enforce"): Promise<number> {
  const simulation = Simulation.start(CONTROLLERS, 1, { teams: TEAMS, operator: { links: { mode } } });
  const { leaseMs } = simulation.settings.workers;
  try {
    (simulation.workers.runMsByJob ??= new Map()).set("req-1", 20 * leaseMs);
    simulation.submit("req-1", { pieces: 6, guessS: 200 });
    await simulation.run(20_000);
    let moves = 0;
    let owner = simulation.ownerOf(0);
    for (let i = 0; i < 30; i++) {
      for (const candidate of simulation.nodes)
        candidate.cut.workers = i % 2 === 0 && candidate === simulation.ownerOf(0);
      await simulation.run(leaseMs);
      if (simulation.ownerOf(0) !== owner) moves++;
      owner = simulation.ownerOf(0);
    }
    return moves;
  } finally {
    simulation.close();
  }
}

test("a shard whose owners repeatedly lose their workers for a lease changes owners less often with the policy enforced", async () => {
  const [off, enforced] = [await countHandOvers("off"), await countHandOvers("enforce")];
  assert.ok(enforced >= 1, "the first cut moves the shard");
  assert.ok(enforced < off, `${enforced} moves with the policy, ${off} without`);
});

test("a controller cut one way from the state service loses its shards within two membership leases", async () => {
  for (const direction of ["inbound", "outbound"] as const) {
    const simulation = Simulation.start(CONTROLLERS, 2, ENFORCED);
    try {
      await simulation.run(10_000);
      const owner = simulation.ownerOf(0)!;
      owner.cut.state = direction;
      assert.ok(
        await simulation.runUntil(
          () => simulation.ownerOf(0) !== owner,
          2 * simulation.settings.workers.leaseMs,
        ),
        `${direction}: another controller owns the shard`,
      );
      owner.cut.state = false;
      await simulation.run(10_000);
    } finally {
      simulation.close();
    }
  }
});

// The workers of a new owner have not seen its token yet, so the monitor must not count only workers that follow it.
test("a shard that is assigned to a controller which no worker reaches moves on to one which they reach", async () => {
  for (const mode of ["off", "enforce"]) {
    const simulation = Simulation.start(CONTROLLERS, 4, { teams: TEAMS, operator: { links: { mode } } });
    try {
      (simulation.workers.runMsByJob ??= new Map()).set("req-1", 120_000);
      simulation.submit("req-1", { pieces: 6, guessS: 120 });
      await simulation.run(20_000);
      const owner = simulation.ownerOf(0)!;
      const [unreachable, reachable] = simulation.nodes.filter((candidate) => candidate !== owner);
      unreachable!.cut.workers = true;
      simulation.crash(owner);
      const { leaseMs } = simulation.settings.workers;
      assert.ok(
        await simulation.runUntil(() => simulation.ownerOf(0) === reachable, 4 * leaseMs),
        `${mode}: the reachable controller owns the shard`,
      );
      unreachable!.cut.workers = false;
      simulation.startNode(owner);
      await simulation.runUntil(() => simulation.unfinishedJobs().length === 0, MAX_COMPLETION_MS);
      assert.deepEqual(
        { violations: simulation.violations, unfinished: simulation.unfinishedJobs() },
        { violations: [], unfinished: [] },
      );
    } finally {
      simulation.close();
    }
  }
});

test("simultaneous cuts at all three controllers once per lease violate no invariant, and every job ends", async () => {
  const schedule: ScheduledFault[] = [];
  for (let i = 0; i < 6; i++)
    for (let index = 0; index < CONTROLLERS; index++) {
      const link = (["state", "workers", "peers"] as const)[(i + index) % 3]!;
      schedule.push({ kind: "cut", at: i * 10_000, node: index, link, cut: "inbound", forMs: 5000 });
    }
  assert.deepEqual(await runWithSchedule(3, schedule), { violations: [], unfinished: [] });
});
