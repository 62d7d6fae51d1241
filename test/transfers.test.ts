/** Job migration between shards: choice of the job, its terms, and the quota reserved in the source shard. */
import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { chooseJobMigration } from "../src/autoscaling/shard-balancing.js";
import { encodeJob, type JobRecord } from "../src/jobs/job-records.js";
import type { FreeCapacity, ShardSummary, MigrationCandidate } from "../src/peers/peer-messages.js";
import { QuotaReservations } from "../src/shards/quota-reservations.js";
import type { Shard } from "../src/shards/shard.js";
import { keys } from "../src/state/keys.js";
import type { JobSpec } from "../src/wire/index.js";
import { FakeView, jobSpec } from "./support/records.js";
import { testSettings } from "./support/settings.js";
import { newShard } from "./support/shard.js";

const TASK_EXPIRY_MS = 1000;

function summary(shard: number, overrides: Partial<ShardSummary>): ShardSummary {
  const load = { machinesUp: 0, emptyMachines: 0, cpus: 0, usedCpus: 0, waitingCpus: 0 };
  return {
    shard,
    token: 1,
    recovered: true,
    load,
    demand: [],
    machines: [],
    freeCapacity: [],
    migrationCandidates: [],
    ...overrides,
  };
}

function migrationCandidate(job: string, cpus: number, waitedMs: number): MigrationCandidate {
  const task = { cpus, gpus: 0, memoryGb: 1, types: [], zone: "north", spot: true, count: 1 };
  return { job, task: { ...task, priority: "normal" }, waitedMs };
}

const freeCapacity = (cpus: number, zone = "north"): FreeCapacity => ({
  type: "small",
  zone,
  spot: false,
  cpus,
  gpus: 0,
  memoryGb: 4,
});

test("of the jobs that fit the free capacity of another shard, the one that has waited longest is migrated", () => {
  const source = summary(0, {
    migrationCandidates: [
      migrationCandidate("req-1", 3, 60_000),
      migrationCandidate("req-2", 1, 50_000),
      migrationCandidate("req-3", 1, 55_000),
    ],
  });
  assert.deepEqual(chooseJobMigration([source, summary(1, { freeCapacity: [freeCapacity(2)] })]), {
    shard: 0,
    targetShard: 1,
    job: "req-3",
  });
});

test("no job is migrated to its own shard, to another zone, or to a shard that is unknown or not recovered", () => {
  const source = summary(0, {
    migrationCandidates: [migrationCandidate("req-1", 1, 60_000)],
    freeCapacity: [freeCapacity(4)],
  });
  assert.equal(chooseJobMigration([source, summary(1, { freeCapacity: [freeCapacity(4, "south")] })]), null);
  assert.equal(
    chooseJobMigration([source, summary(1, { freeCapacity: [freeCapacity(4)], recovered: false })]),
    null,
  );
  assert.equal(chooseJobMigration([source, undefined]), null);
});

void describe("shards/quota-reservations", () => {
  test("a reservation counts until the job's last task has certainly ended", () => {
    const reservations = new QuotaReservations(TASK_EXPIRY_MS);
    reservations.reserve("req-1", { team: "tight", cpus: 4, gpus: 0 });
    reservations.reserve("req-2", { team: "tight", cpus: 2, gpus: 0 });
    assert.deepEqual(reservations.usage.get("tight"), { cpus: 6, gpus: 0 });
    reservations.jobEnded("req-1", 100);
    reservations.jobEnded("req-1", 900);
    assert.deepEqual(reservations.expire(100 + TASK_EXPIRY_MS), []);
    assert.deepEqual(reservations.expire(101 + TASK_EXPIRY_MS), ["req-1"]);
    assert.deepEqual(reservations.usage.get("tight"), { cpus: 2, gpus: 0 });
  });
});

const SHARD = 1;
const TOKEN = 3;
const WAITED_MS = 60_000;

/** The record of a job that may run in one zone only, and whose team has a quota of four CPUs. */
function waitingJobRecord(overrides: Partial<JobSpec>, fields: Partial<JobRecord> = {}): { spec: JobSpec } {
  const spec = jobSpec("req-1", { team: "capped", tasks: 6, zone: "south", ...overrides });
  const acceptedAt = Date.now() - WAITED_MS;
  const record = { spec, shard: SHARD, acceptedAt, maxParallelTasks: null, migratedIn: false, ...fields };
  return { spec, ...encodeJob(record) };
}

/** A shard without machines, and its records, with one waiting job of six tasks. */
function cappedShard(): { shard: Shard; view: FakeView } {
  const view = new FakeView();
  view.put(keys.job("req-1"), waitingJobRecord({}), 5);
  return { shard: newShard({ shard: SHARD, termToken: TOKEN, view }), view };
}

void describe("shards/shard: job migration", () => {
  test("a job migrates with as many parallel tasks as its team's quota leaves, and its shard reserves them", () => {
    const { shard } = cappedShard();
    assert.equal(shard.summary(TOKEN, 0).migrationCandidates[0]?.job, "req-1");
    const prepared = shard.beginMigration("req-1", 0);
    assert.ok(prepared !== null, "the job may be migrated");
    assert.equal(prepared.terms.maxParallelTasks, 4);
    assert.deepEqual(prepared.terms.reservation, { team: "capped", cpus: 4, gpus: 0 });
    assert.equal(prepared.terms.migratedIn, true, "it is migrated to a shard of other teams");
    assert.equal(
      shard.beginMigration("req-1", 0),
      null,
      "a job that is being migrated is not migrated again",
    );
    assert.deepEqual(shard.summary(TOKEN, 0).migrationCandidates, []);
    shard.cancelMigration(prepared.job);
    assert.equal(shard.summary(TOKEN, 0).migrationCandidates[0]?.job, "req-1", "it may be migrated later");
  });

  test("a new owner keeps the reservation of a migrated job, even if the job has ended in the meantime", () => {
    const { view } = cappedShard();
    view.put(keys.quotaReservation(SHARD, "req-9"), { team: "capped", cpus: 3, gpus: 0 }, 6);
    const { cancelMs } = testSettings().workers;
    const shard = newShard({ shard: SHARD, termToken: 7, view });
    assert.equal(shard.beginMigration("req-1", 0), null, "the quota leaves less than the job could use");
    shard.expire(cancelMs);
    assert.deepEqual(shard.taskProgress(4), [], "tasks of the ended job may still be running");
    shard.expire(cancelMs + 1);
    assert.equal(shard.beginMigration("req-1", 0)?.terms.maxParallelTasks, 4);
    assert.deepEqual(shard.taskProgress(4)[0]?.writes, [{ remove: keys.quotaReservation(SHARD, "req-9") }]);
  });

  test("the reservation of a done job is dropped at once, that of a cancelled job after its tasks have ended", () => {
    const { view, shard } = cappedShard();
    for (const [id, stage] of [
      ["req-8", "done"],
      ["req-9", "cancelled"],
    ] as const) {
      const reservation = { team: "capped", cpus: 1, gpus: 0 };
      shard.sync(view, [view.put(keys.quotaReservation(SHARD, id), reservation, 6)], 0);
      shard.sync(view, [view.put(keys.endedJob(id), { stage, done: 1 }, 7)], 0);
    }
    assert.deepEqual(shard.taskProgress(4)[0]?.writes, [{ remove: keys.quotaReservation(SHARD, "req-8") }]);
    assert.equal(shard.beginMigration("req-1", 0), null, "the cancelled job's reservation still counts");
    shard.expire(testSettings().workers.cancelMs + 1);
    assert.equal(shard.beginMigration("req-1", 0)?.terms.maxParallelTasks, 4);
  });
});

void describe("shards/shard: migrated jobs", () => {
  test("a shard drops a job whose record names another shard, which runs it on the terms of the record", () => {
    const { shard, view } = cappedShard();
    const target = newShard({ shard: 0, termToken: 4, view });
    const spec = jobSpec("req-1", { team: "capped", tasks: 6 });
    const record = { spec, shard: 0, acceptedAt: Date.now(), mostAtOnce: 2, guest: true };
    const change = view.put(keys.job("req-1"), record, 9);
    shard.sync(view, [change], 0);
    target.sync(view, [change], 0);
    assert.equal(shard.jobs.get("req-1"), undefined);
    assert.equal(target.jobs.get("req-1")?.startableTasks, 2);
    assert.deepEqual(target.summary(4, 0).migrationCandidates, [], "a migrated job does not migrate again");
  });

  test("a migrated job of a team without a quota does not migrate again either", () => {
    const view = new FakeView();
    for (const migratedIn of [false, true]) {
      view.put(keys.job("req-1"), waitingJobRecord({ team: "free" }, { migratedIn }), migratedIn ? 6 : 5);
      const shard = newShard({ shard: SHARD, termToken: TOKEN, view });
      assert.equal(shard.summary(TOKEN, 0).migrationCandidates.length, migratedIn ? 0 : 1);
    }
  });

  test("migration candidates are found in a fixed number of passes over the jobs, however many jobs wait", () => {
    const view = new FakeView();
    for (let i = 0; i < 200; i++) {
      const record = waitingJobRecord({ id: `req-${i}`, cpus: 0.5 + i / 1000 });
      view.put(keys.job(record.spec.id), record, 5);
    }
    view.put(keys.quotaReservation(SHARD, "req-999"), { team: "capped", cpus: 4, gpus: 0 }, 6);
    const shard = newShard({ shard: SHARD, termToken: TOKEN, view });
    let activeReads = 0;
    const [first] = shard.jobs.values();
    const { activeAttempts } = first!;
    Object.defineProperty(first, "activeAttempts", { get: () => (activeReads++, activeAttempts) });
    assert.deepEqual(shard.summary(TOKEN, 0).migrationCandidates, [], "the team has used up its quota");
    assert.ok(activeReads < 20, `${activeReads} reads of one job's attempts`);
  });
});
