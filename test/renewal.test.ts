/**
 * A response must not renew a worker's lease without authority over the shard, on a view of the records that may lack a
 * cancellation, or without stopping the tasks of jobs known to have ended. Each case must be refused, counted and logged.
 */
import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { pino, type Logger } from "pino";
import { decideShardAuthority, type ShardAuthority } from "../src/membership/shard-authority.js";
import { RenewalGuard } from "../src/shards/renewal-guard.js";
import { DecisionMetrics } from "../src/shards/decision-metrics.js";
import { keys } from "../src/state/keys.js";
import type { WorkerCommand, TaskStatus, Heartbeat } from "../src/wire/index.js";
import { decideRenewalPermission, LeaseRenewal, type RenewalEvidence } from "../src/workers/lease-renewal.js";
import { limitCommands } from "../src/workers/worker-commands.js";
import { FakeView, jobSpec, newHeartbeat } from "./support/records.js";
import { newShard } from "./support/shard.js";

const STALE_MS = 16_000;
const held = { held: true, token: 7, leaseLeftMs: 1000, viewAgeMs: 100 } as const;

const task = (job: string, state: TaskStatus["state"] = "running"): TaskStatus => ({
  job,
  index: 0,
  attempt: 5,
  state,
  cause: state === "exited" ? "done" : null,
  saved: false,
});
const heartbeat = (...tasks: TaskStatus[]): Heartbeat => newHeartbeat({ highestToken: 7, tasks });
const stop = (job: string, graceS = 0): WorkerCommand => ({ op: "stop", job, index: 0, attempt: 5, graceS });
const start = (job: string): WorkerCommand => ({ op: "start", job, index: 0, attempt: 6 });
interface LogLine {
  level: number;
  msg: string;
  reason?: string;
}

function collectedLog(): { lines: LogLine[]; log: Logger } {
  const lines: LogLine[] = [];
  const write = (line: string): void => void lines.push(JSON.parse(line) as LogLine);
  return { lines, log: pino({ level: "info" }, { write }) };
}

const isLive = (job: string): boolean => job === "live";

test("authority over a shard requires ownership, a valid lease, no hand-over, and a recent replica that shows the join", () => {
  const evidence = {
    token: 7,
    isHandingOver: false,
    leaseLeftMs: 1,
    viewAgeMs: STALE_MS - 1,
    hasViewReachedJoin: true,
    maxViewAgeMs: STALE_MS,
  };
  assert.equal(decideShardAuthority(evidence).held, true);
  const reasonOf = (overrides: Partial<typeof evidence> | { token: null }): string => {
    const authority = decideShardAuthority({ ...evidence, ...overrides });
    return authority.held ? "held" : authority.reason;
  };
  assert.equal(reasonOf({ token: null }), "not_owner");
  assert.equal(reasonOf({ isHandingOver: true }), "passing_on");
  assert.equal(reasonOf({ leaseLeftMs: 0 }), "lease_over");
  assert.equal(reasonOf({ hasViewReachedJoin: false }), "view_before_entry");
  assert.equal(reasonOf({ viewAgeMs: STALE_MS }), "view_too_old");
});

void describe("workers/lease-renewal", () => {
  test("a lease is renewed only with authority, by the owner with the worker's highest token, on a current view", () => {
    const evidence: RenewalEvidence = {
      authority: held,
      workerToken: 7,
      shardViewAgeMs: 100,
      maxViewAgeMs: STALE_MS,
    };
    assert.deepEqual(decideRenewalPermission(evidence), { allowed: true, token: 7, shardViewAgeMs: 100 });
    const reasonOf = (overrides: Partial<typeof evidence>): string => {
      const permission = decideRenewalPermission({ ...evidence, ...overrides });
      return permission.allowed ? "allowed" : permission.reason;
    };
    const lapsed: ShardAuthority = { held: false, reason: "lease_over", leaseLeftMs: 0, viewAgeMs: 0 };
    assert.equal(reasonOf({ authority: lapsed }), "lease_over");
    assert.equal(reasonOf({ workerToken: 8 }), "newer_token");
    assert.equal(reasonOf({ shardViewAgeMs: STALE_MS }), "shard_behind_view");
  });

  test("a renewal must stop all tasks of ended jobs without a grace period and must not start any", () => {
    const decide = (tasks: TaskStatus[], commands: WorkerCommand[]): string => {
      const renewal = LeaseRenewal.decide(7, heartbeat(...tasks), commands, isLive);
      return renewal instanceof LeaseRenewal ? "renewed" : `${renewal.reason} ${renewal.task}`;
    };
    assert.equal(decide([task("live")], [start("live")]), "renewed");
    assert.equal(decide([task("over")], [stop("over")]), "renewed");
    assert.equal(decide([task("over", "exited")], []), "renewed");
    assert.equal(decide([task("over")], []), "ended_task_kept over/0");
    assert.equal(decide([task("over", "saving")], []), "ended_task_kept over/0");
    assert.equal(decide([task("over")], [stop("over", 10)]), "ended_task_kept over/0");
    assert.equal(decide([task("over")], [stop("live")]), "ended_task_kept over/0");
    assert.equal(decide([], [start("over")]), "ended_task_started over/0");
  });
});

test("violations are refused and counted each time, and logged at most once per interval", () => {
  const { lines, log } = collectedLog();
  const metrics = new DecisionMetrics();
  let now = 0;
  const guard = new RenewalGuard(0, { maxViewAgeMs: STALE_MS, minIntervalMs: 1000 }, metrics, () => now, log);
  const answer = (commands: WorkerCommand[]): boolean => {
    const permission = guard.checkPermission(held, 7, 100);
    return (
      permission.allowed &&
      guard.decideRenewal(permission, heartbeat(task("over")), commands, isLive) !== null
    );
  };
  assert.equal(answer([stop("over")]), true);
  for (now = 0; now < 3000; now += 100) assert.equal(answer([]), false);
  const { answered, refused, violations, recordsAgeMs } = metrics.report("node-0");
  assert.deepEqual(
    { answered, refused, violations },
    { answered: 1, refused: { ended_task_kept: 30 }, violations: 30 },
  );
  assert.equal(recordsAgeMs.count, 1);
  const errors = lines.filter(({ level }) => level === pino.levels.values.error);
  assert.deepEqual(
    errors.map(({ reason }) => reason),
    ["ended_task_kept", "ended_task_kept", "ended_task_kept"],
  );
});

test("a shard logs once, with the reason, when it stops renewing leases, and once when it resumes", () => {
  const { lines, log } = collectedLog();
  const guard = new RenewalGuard(
    0,
    { maxViewAgeMs: STALE_MS, minIntervalMs: 1000 },
    new DecisionMetrics(),
    () => 0,
    log,
  );
  const lapsed: ShardAuthority = { held: false, reason: "view_too_old", leaseLeftMs: 0, viewAgeMs: STALE_MS };
  for (let i = 0; i < 100; i++) guard.checkPermission(lapsed, 7, STALE_MS);
  for (let i = 0; i < 100; i++) guard.checkPermission(held, 8, 100);
  for (let i = 0; i < 100; i++) guard.checkPermission(held, 7, 100);
  assert.deepEqual(
    lines.map(({ msg, reason }) => [msg, reason]),
    [
      ["heartbeats refused", "view_too_old"],
      ["heartbeats answered", undefined],
    ],
  );
});

// Guards against a shard that keeps using its state after a change that it could not apply: a cancellation in the same
// batch would be lost although the process's replica is up to date.
test("a shard that could not apply a change counts as behind until it has read all records again", () => {
  const view = new FakeView();
  view.put(keys.job("req-1"), { spec: jobSpec("req-1"), shard: 0, acceptedAt: 1 }, 1);
  const shard = newShard({ shard: 0, termToken: 2, view });
  assert.equal(shard.viewCompleteAsOf, 0);
  const removal = view.remove(keys.job("req-1"), 3);
  const unreadable = {
    key: keys.machineGroup("g-1"),
    version: 4,
    get value(): unknown {
      throw new Error("a change that cannot be applied");
    },
  };
  assert.throws(() => {
    shard.sync(view, [unreadable, removal], 1000, 1000);
  });
  assert.equal(shard.viewCompleteAsOf, -Infinity);
  assert.equal(shard.isLiveJob("req-1"), true, "the cancellation after it was not applied");
  shard.sync(view, [], 2000, 2000);
  assert.equal(shard.viewCompleteAsOf, 2000);
  assert.equal(shard.isLiveJob("req-1"), false, "all records have been read again");
});

void describe("workers/worker-commands", () => {
  test("stop commands come first in a response that cannot hold all commands", () => {
    const commands: WorkerCommand[] = [];
    for (let i = 0; i < 400; i++) commands.push(start("live"));
    commands.push(stop("over"));
    const sent = limitCommands(commands);
    assert.ok(sent.length < commands.length);
    assert.deepEqual(sent[0], stop("over"));
    assert.deepEqual(limitCommands([start("live"), stop("over")]), [start("live"), stop("over")]);
  });
});
