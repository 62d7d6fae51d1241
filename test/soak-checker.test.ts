/** The soak checker reports violations of each rule and none in a valid run; plans are determined by their seeds. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { checkSoak, type SoakEvent, type SoakJob } from "./support/soak/checker.js";
import { planOf } from "./support/soak/plan.js";

const JOB = "req-1";
const TASK = `${JOB}/0`;
const CANCEL_MS = 1000;
const ENDED_AT = 10_000;

const started = (at: number, host = "i-1", overrides: { task?: string; zone?: string } = {}): SoakEvent => ({
  at,
  kind: "started",
  task: TASK,
  host,
  zone: "north",
  ...overrides,
});
const ended = (at: number, cause = "halted", host = "i-1"): SoakEvent => ({
  at,
  kind: "ended",
  task: TASK,
  host,
  cause,
});
const completed = (at: number): SoakEvent => ({ at, kind: "completed", task: TASK });
const cancelAsked = (at: number): SoakEvent => ({ at, kind: "cancel_asked", job: JOB });
type ResponseEvent = Extract<SoakEvent, { kind: "told" }>;
const told = (at: number, stage: string, overrides: Partial<ResponseEvent> = {}): SoakEvent => ({
  at,
  kind: "told",
  job: JOB,
  by: "node-0",
  request: "look",
  status: 200,
  stage,
  askedAt: at - 1,
  ...overrides,
});
const accepted = told(2, "pending", { request: "submit", status: 201 });
const doneRun = [accepted, started(5), completed(20), ended(20, "done"), told(25, "done")];
const cancelledRun = [
  accepted,
  started(5),
  cancelAsked(10),
  told(20, "aborted"),
  ended(500),
  told(600, "aborted"),
];

function violationsOf(events: SoakEvent[], overrides: Partial<SoakJob> = {}): string[] {
  const jobs = new Map([[JOB, { tasks: 1, team: "capped", cpus: 2, zone: null, ...overrides }]]);
  const rules = { cancelMs: CANCEL_MS, cpuLimits: new Map([["capped", 3]]) };
  return checkSoak(events, jobs, rules, ENDED_AT).broken;
}

test("a valid run has no violations: done, restarted after a loss, cancelled in time, late response", () => {
  assert.deepEqual(violationsOf(doneRun), []);
  assert.deepEqual(violationsOf(cancelledRun), []);
  const restarted = [accepted, started(5), ended(9, "lost"), started(10, "i-2"), completed(20)];
  assert.deepEqual(violationsOf([...restarted, ended(20, "done", "i-2"), told(25, "done")]), []);
  const lateResponse = told(30, "pending", { askedAt: 24 });
  assert.deepEqual(violationsOf([...doneRun, lateResponse]), []);
});

const INVALID_RUNS: [string, SoakEvent[], Partial<SoakJob>?][] = [
  [
    "ran_cancelled: req-1/0 ran for another 1001 ms",
    [accepted, started(5), cancelAsked(6), told(20, "aborted"), ended(1021)],
  ],
  [
    "ran_cancelled: req-1/0 ran for another 9980 ms",
    [accepted, started(5), cancelAsked(6), told(20, "aborted")],
  ],
  [
    "ran_cancelled: req-1/0 started 1480 ms after the cancellation",
    [accepted, cancelAsked(6), told(20, "aborted"), started(1500), ended(1501)],
  ],
  ["went_back: req-1 aborted, then pending by node-0", [...cancelledRun, told(700, "pending")]],
  ["went_back: req-1 aborted, then done by node-0", [...cancelledRun, told(700, "done", { askedAt: 15 })]],
  ["went_back: req-1 done, then aborted by node-0", [...doneRun, cancelAsked(30), told(40, "aborted")]],
  ["went_back: req-1 cancelled without a request", [accepted, told(20, "aborted")]],
  [
    "ran_twice: req-1/0 on i-2 while on i-1",
    [...doneRun.slice(0, 2), started(6, "i-2"), completed(20), told(25, "done")],
  ],
  ["quota: capped uses 4 of 3", doneRun, { cpus: 4 }],
  ["wrong_place: req-1/0 in north", doneRun, { zone: "south" }],
  ["forgotten: req-1 gets 404 from node-0", [...doneRun, told(30, "", { status: 404 })]],
  ["forgotten: req-1 gets 422 from node-0", [...doneRun, told(30, "", { status: 422, request: "submit" })]],
  ["forgotten: req-1 has no final response", doneRun.slice(0, 4)],
  ["not_done: req-1 done without req-1/0", [accepted, started(5), ended(9, "lost"), told(25, "done")]],
  ["invented: req-2", [...doneRun, told(30, "pending", { job: "req-2" })]],
  ["invented: req-2/0", [...doneRun, started(30, "i-1", { task: "req-2/0" })]],
  ["nothing_ran: no task was started", [accepted, cancelAsked(10), told(20, "aborted")]],
];

for (const [violation, events, overrides] of INVALID_RUNS)
  test(`a violation is reported: ${violation}`, () => {
    assert.ok(
      violationsOf(events, overrides).includes(violation),
      JSON.stringify(violationsOf(events, overrides)),
    );
  });

test("an end that was due while the fakes were suspended counts from the time when it was due", () => {
  const detectedLate = [
    accepted,
    started(5),
    cancelAsked(6),
    told(20, "aborted"),
    started(950, "i-2"),
    ended(900, "lost"),
  ];
  assert.ok(
    !violationsOf([...detectedLate, ended(960, "halted", "i-2")]).some((line) => line.startsWith("ran_")),
  );
});

test("a plan is determined by its seed alone, and the plans of different seeds differ", () => {
  assert.deepEqual(planOf(7), planOf(7));
  assert.notDeepEqual(planOf(7), planOf(8));
  const kinds = new Set(
    Array.from({ length: 50 }, (_, i) => planOf(i + 1)).flatMap(({ faults }) => faults.map((f) => f.kind)),
  );
  assert.equal(kinds.size, 16, `all kinds of faults are generated: ${[...kinds].join(" ")}`);
});
