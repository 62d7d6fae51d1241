/** The cost of large queues, measured by counting reads of fields so that results do not depend on the processor. */
import assert from "node:assert/strict";
import { describe, mock, test } from "node:test";
import { forecastUnmetDemand } from "../src/placement/capacity-forecast.js";
import { choosePreemptions } from "../src/placement/preemption.js";
import { computeDemand } from "../src/placement/shard-summary.js";
import type { SteadyClock } from "../src/runtime/clock.js";
import type { Logger } from "../src/runtime/log.js";
import { RenewalGuard } from "../src/shards/renewal-guard.js";
import { DecisionMetrics } from "../src/shards/decision-metrics.js";
import { RoundThrottle } from "../src/shards/round-throttle.js";
import { ShardOwner } from "../src/shards/shard-owner.js";
import type { Shard } from "../src/shards/shard.js";
import type { StateStoreClient } from "../src/state/state-store-client.js";
import { Job } from "../src/workers/job.js";
import { Fleet } from "../src/workers/fleet.js";
import { parseHeartbeat, type JobSpec } from "../src/wire/index.js";
import { FakeView, jobSpec, silentLogger } from "./support/records.js";
import { testSettings } from "./support/settings.js";
import { newJob, newMachines, NOW, placementInput, startTask } from "./support/shard-state.js";

const MACHINES = 100;

/** A job that counts how often a requirement of its tasks is read. */
function countedJob(
  over: Partial<JobSpec>,
  counted: "cpus" | "memoryGb" = "memoryGb",
): { job: Job; reads: () => number } {
  let reads = 0;
  const spec = jobSpec("req-1", over);
  const value = spec[counted];
  Object.defineProperty(spec, counted, {
    get: () => {
      reads++;
      return value;
    },
  });
  return { job: new Job(spec, NOW, 1), reads: () => reads };
}

void describe("placement/capacity-forecast", () => {
  test("the forecast considers the tasks of a large job in batches that fit a machine, not one by one", () => {
    const tasks = 25_000;
    const { job, reads } = countedJob({ tasks, cpus: 0.25, estimateS: 5, priority: "best_effort" });
    const input = placementInput([job], newMachines(MACHINES));
    const unmet = forecastUnmetDemand({ ...input, waiting: new Map([[job, tasks]]) });
    // Sixteen tasks fit a machine at a time, and each slot is reused for as long as the job can wait.
    assert.ok((unmet[0]?.count ?? 0) < tasks / 2, "most tasks find capacity in time");
    assert.ok(reads() < tasks, `${reads()} reads`);
  });

  // Guards against a step for each use of a slot: with short tasks that is one for each task.
  test("the forecast considers in one step how often a job's tasks use a slot one after the other", () => {
    const tasks = 25_000;
    const { job, reads } = countedJob({ tasks, cpus: 4, estimateS: 0.001 });
    const input = placementInput([job], newMachines(MACHINES));
    const unmet = forecastUnmetDemand({ ...input, waiting: new Map([[job, tasks]]) });
    assert.deepEqual(unmet, []);
    assert.ok(reads() < tasks / 2, `${reads()} reads`);
  });

  // Guards against a step for each task of a zone-constrained job: the owner answered nobody for seconds.
  test("the forecast considers the tasks of a zone-constrained job in batches as well", () => {
    const tasks = 25_000;
    for (const constraint of [{ oneZone: true }, { spread: true }]) {
      const { job, reads } = countedJob({ tasks, cpus: 0.25, estimateS: 0, ...constraint });
      const input = placementInput([job], newMachines(MACHINES));
      const unmet = forecastUnmetDemand({ ...input, waiting: new Map([[job, tasks]]) });
      const unmetTasks = unmet.reduce((sum, { count }) => sum + count, 0);
      assert.equal(unmetTasks, job.spec.spread ? tasks / 2 : 0);
      assert.ok(reads() < tasks, `${reads()} reads`);
    }
  });
});

void describe("placement/shard-summary", () => {
  // Guards against adding a large job's tasks to its team's usage one by one, for each summary.
  test("the demand of a job costs the same whatever its number of tasks", () => {
    const readsWith = (tasks: number): number => {
      const { job, reads } = countedJob({ tasks, team: "free" }, "cpus");
      const [demand] = computeDemand(placementInput([job], []));
      assert.equal(demand?.count, tasks);
      return reads();
    };
    assert.equal(readsWith(25_000), readsWith(1));
  });

  test("the demand of a job is limited by its team's quota and by its own limit on parallel tasks", () => {
    const demandOf = (job: Job): number | undefined => computeDemand(placementInput([job], []))[0]?.count;
    const cpusMax = testSettings().teams.find(({ name }) => name === "capped")!.cpusMax;
    const spec = jobSpec("req-1", { tasks: 1000, cpus: 0.25, team: "capped" });
    assert.equal(demandOf(new Job(spec, NOW, 1)), cpusMax / 0.25);
    assert.equal(demandOf(new Job(spec, NOW, 1, 3)), 3);
    const none = new Job({ ...spec, team: "unknown" }, NOW, 1);
    assert.equal(demandOf(none), undefined);
  });
});

void describe("placement/preemption", () => {
  test("whether a task can be preempted is computed once per task, however many jobs wait for its capacity", () => {
    const machines = newMachines(MACHINES);
    const low = newJob("req-1", { tasks: 4 * MACHINES, priority: "best_effort", checkpointS: 9 });
    machines.forEach((machine, i) => {
      for (let slot = 0; slot < 4; slot++) startTask(machine, low, 4 * i + slot, NOW - 1000);
    });
    const waiting = Array.from({ length: 20 }, (_, i) => newJob(`req-9${i}`, { deadlineS: 90 }));
    const isResumed = mock.fn(() => true);
    for (const { placements } of machines)
      for (const placement of placements) Object.defineProperty(placement, "isResumed", { get: isResumed });
    const { victims } = choosePreemptions({
      ...placementInput([low, ...waiting], machines),
      heartbeatIntervalMs: 2500,
    });
    assert.deepEqual(victims, []);
    assert.ok(isResumed.mock.callCount() > 0, "running tasks were considered");
    assert.ok(isResumed.mock.callCount() <= 4 * MACHINES, `${isResumed.mock.callCount()} reads`);
  });
});

const ROUND_MS = 8;
const HEARTBEATS = 500;

/** A fake shard whose full placement rounds take time; it has the methods that its owner calls at a heartbeat. */
function slowShard(advance: (ms: number) => void, roundMs = ROUND_MS) {
  return {
    id: 0,
    needsFullRound: true,
    viewCompleteAsOf: 0,
    reconcileHeartbeat: () => [],
    unrecordedHosts: () => [],
    finishedJobs: () => [],
    taskProgress: () => [],
    startCommands: () => [],
    addTermToken: () => undefined,
    isLiveJob: () => true,
    resetAttempts: () => undefined,
    place: mock.fn(() => {
      advance(roundMs);
      return 0;
    }),
    placeOnMachine: mock.fn(() => 0),
  };
}

/** An owner that has authority over the shard and writes no records. */
function ownerOf(shard: ReturnType<typeof slowShard>, clock: SteadyClock): ShardOwner {
  const authority = { held: true, token: 1, leaseLeftMs: 1000, viewAgeMs: 0 } as const;
  const renewalTimings = { maxViewAgeMs: Infinity, minIntervalMs: 1000 };
  return new ShardOwner({
    shard: shard as unknown as Shard,
    timings: {
      roundBudgetMs: 50,
      minIntervalMs: 1000,
      minPreemptionIntervalMs: 1000,
      maxTicksWithoutHeartbeat: 8,
    },
    state: { maxTransactionWrites: 8 } as unknown as StateStoreClient,
    view: new FakeView(),
    fleet: new Fleet(silentLogger),
    clock,
    callbacks: {
      authority: () => authority,
      advanceToken: () => undefined,
      sendSummary: () => undefined,
      canPlaceTasks: () => true,
      canRemoveMachines: () => true,
    },
    renewalGuard: new RenewalGuard(0, renewalTimings, new DecisionMetrics(), clock, silentLogger),
    log: silentLogger,
  });
}

void describe("shards/round-throttle", () => {
  test("heartbeats spend a limited part of the time on full rounds, and otherwise place on their machine only", () => {
    let now = 0;
    const shard = slowShard((ms) => (now += ms));
    const owner = ownerOf(shard, () => now);
    const machine = { host: "i-1", addr: "a:1", breed: "small", bank: "north", loaners: false, tenure: 1 };
    for (let tick = 0; tick < HEARTBEATS; tick++) {
      now++;
      const parsed = parseHeartbeat({ ...machine, tick, baton: 1, recallS: null, pieces: [] });
      assert.ok(parsed.ok);
      owner.tell({ kind: "heartbeat", heartbeat: parsed.value, reply: () => undefined });
    }
    const rounds = shard.place.mock.callCount();
    assert.ok(rounds > 1, "full rounds take place");
    assert.ok(rounds * ROUND_MS < now / 4, `${rounds} rounds took ${rounds * ROUND_MS} of ${now} ms`);
    assert.equal(rounds + shard.placeOnMachine.mock.callCount(), HEARTBEATS);
  });

  // Guards against a process that stands still for seconds and leaves no trace of why.
  test("a round that takes many times its budget is logged", () => {
    const logged = (roundMs: number): unknown[] => {
      let now = 0;
      const shard = slowShard((ms) => (now += ms), roundMs) as unknown as Shard;
      const info = mock.fn((_fields: object, _message: string) => undefined);
      const timings = { roundBudgetMs: 50, minPreemptionIntervalMs: 1000 };
      const log = { info } as unknown as Logger;
      new RoundThrottle({ shard, timings, clock: () => now, log }).place(1);
      return info.mock.calls.map((call) => call.arguments);
    };
    assert.deepEqual(logged(100), []);
    assert.deepEqual(logged(600), [[{ shard: 0, tookMs: 600, starts: 0 }, "placement round was slow"]]);
  });
});
