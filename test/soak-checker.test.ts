/** The soak's checker finds what is wrong with wrong runs, one for each rule, and nothing in right ones; plans follow from seeds. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { checkSoak, type SoakEvent, type SoakJob } from "./support/soak/checker.js";
import { planOf } from "./support/soak/plan.js";

const JOB = "req-1";
const TASK = `${JOB}/0`;
const CANCEL_MS = 1000;
const END = 10_000;

const started = (at: number, host = "i-1", over: { task?: string; zone?: string } = {}): SoakEvent => ({
  at,
  kind: "started",
  task: TASK,
  host,
  zone: "north",
  ...over,
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
type Told = Extract<SoakEvent, { kind: "told" }>;
const told = (at: number, stage: string, over: Partial<Told> = {}): SoakEvent => ({
  at,
  kind: "told",
  job: JOB,
  by: "node-0",
  request: "look",
  status: 200,
  stage,
  askedAt: at - 1,
  ...over,
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

function findingsOf(events: SoakEvent[], over: Partial<SoakJob> = {}): string[] {
  const jobs = new Map([[JOB, { tasks: 1, team: "capped", cpus: 2, zone: null, ...over }]]);
  const rules = { cancelMs: CANCEL_MS, limits: new Map([["capped", 3]]) };
  return checkSoak(events, jobs, rules, END).broken;
}

test("right runs have no faults: done, lost and repeated, cancelled in time, told late what was asked early", () => {
  assert.deepEqual(findingsOf(doneRun), []);
  assert.deepEqual(findingsOf(cancelledRun), []);
  const repeated = [accepted, started(5), ended(9, "lost"), started(10, "i-2"), completed(20)];
  assert.deepEqual(findingsOf([...repeated, ended(20, "done", "i-2"), told(25, "done")]), []);
  const askedBefore = told(30, "pending", { askedAt: 24 });
  assert.deepEqual(findingsOf([...doneRun, askedBefore]), []);
});

const WRONG_RUNS: [string, SoakEvent[], Partial<SoakJob>?][] = [
  [
    "ran_cancelled: req-1/0 went on for 1001 ms",
    [accepted, started(5), cancelAsked(6), told(20, "aborted"), ended(1021)],
  ],
  ["ran_cancelled: req-1/0 went on for 9980 ms", [accepted, started(5), cancelAsked(6), told(20, "aborted")]],
  [
    "ran_cancelled: req-1/0 started 1480 ms after",
    [accepted, cancelAsked(6), told(20, "aborted"), started(1500), ended(1501)],
  ],
  ["went_back: req-1 aborted, then pending by node-0", [...cancelledRun, told(700, "pending")]],
  ["went_back: req-1 aborted, then done by node-0", [...cancelledRun, told(700, "done", { askedAt: 15 })]],
  ["went_back: req-1 done, then aborted by node-0", [...doneRun, cancelAsked(30), told(40, "aborted")]],
  ["went_back: req-1 cancelled by nobody", [accepted, told(20, "aborted")]],
  [
    "ran_twice: req-1/0 on i-2 while on i-1",
    [...doneRun.slice(0, 2), started(6, "i-2"), completed(20), told(25, "done")],
  ],
  ["quota: capped uses 4 of 3", doneRun, { cpus: 4 }],
  ["wrong_place: req-1/0 in north", doneRun, { zone: "south" }],
  ["forgotten: req-1 gets 404 from node-0", [...doneRun, told(30, "", { status: 404 })]],
  ["forgotten: req-1 gets 422 from node-0", [...doneRun, told(30, "", { status: 422, request: "submit" })]],
  ["forgotten: req-1 has no final answer", doneRun.slice(0, 4)],
  ["not_done: req-1 without req-1/0", [accepted, started(5), ended(9, "lost"), told(25, "done")]],
  ["invented: req-2", [...doneRun, told(30, "pending", { job: "req-2" })]],
  ["invented: req-2/0", [...doneRun, started(30, "i-1", { task: "req-2/0" })]],
  ["nothing_ran: no task was started", [accepted, cancelAsked(10), told(20, "aborted")]],
];

for (const [fault, events, over] of WRONG_RUNS)
  test(`a wrong run is found: ${fault}`, () => {
    assert.ok(findingsOf(events, over).includes(fault), JSON.stringify(findingsOf(events, over)));
  });

test("an end that was due while the stand-ins stood still counts from when it was due", () => {
  const noticedLate = [
    accepted,
    started(5),
    cancelAsked(6),
    told(20, "aborted"),
    started(950, "i-2"),
    ended(900, "lost"),
  ];
  assert.ok(
    !findingsOf([...noticedLate, ended(960, "halted", "i-2")]).some((line) => line.startsWith("ran_")),
  );
});

test("a plan follows from its seed alone, and seeds differ", () => {
  assert.deepEqual(planOf(7), planOf(7));
  assert.notDeepEqual(planOf(7), planOf(8));
  const kinds = new Set(
    Array.from({ length: 50 }, (_, i) => planOf(i + 1)).flatMap(({ faults }) => faults.map((f) => f.kind)),
  );
  assert.equal(kinds.size, 16, `all kinds of faults are drawn: ${[...kinds].join(" ")}`);
});
