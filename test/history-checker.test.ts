/** The checker of histories finds what is wrong with wrong ones, and nothing in right ones. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { checkHistory, type CheckedJob, type HistoryEvent } from "./support/history-checker.js";

const JOB = "req-1";
const jobs = new Map<string, CheckedJob>([[JOB, { tasks: 1, stoppable: false }]]);

const recorded = (key: string, value: unknown = {}): HistoryEvent => ({ kind: "recorded", key, value });
const job = recorded(`fernpond/live/jobs/${JOB}`);
const ended = (stage: string): HistoryEvent => recorded(`fernpond/ended/${JOB}`, { stage });
const told = (stage: string): HistoryEvent => ({ kind: "told", job: JOB, stage, by: "node-0" });
const start = (host: string): HistoryEvent => ({ kind: "started", piece: `${JOB}/0`, host });
const end = (host: string, cause: "done" | "error" | "halted" | "lost"): HistoryEvent => ({
  kind: "ended",
  piece: `${JOB}/0`,
  host,
  cause,
});
const cancelAsked: HistoryEvent = { kind: "cancel_asked", job: JOB };
const machines = (stage: string): HistoryEvent =>
  recorded("fernpond/live/machines/g", { machines: { "i-1": stage } });

const rightHistory = [job, told("pending"), start("i-1"), end("i-1", "done"), ended("done"), told("done")];

test("right histories have no faults: done, lost and repeated, cancelled, rented and returned", () => {
  assert.deepEqual(checkHistory(rightHistory, jobs), []);
  const repeated = [job, start("i-1"), end("i-1", "lost"), start("i-2"), end("i-2", "done"), ended("done")];
  assert.deepEqual(checkHistory([...repeated, told("done"), told("done")], jobs), []);
  assert.deepEqual(
    checkHistory([job, told("pending"), cancelAsked, ended("cancelled"), told("aborted")], jobs),
    [],
  );
  const order = recorded("fernpond/live/orders/fp-1");
  const machine: HistoryEvent[] = [
    order,
    { kind: "rented", order: "fp-1" },
    machines("up"),
    machines("leaving"),
    { kind: "returned", host: "i-1" },
  ];
  assert.deepEqual(checkHistory(machine, jobs), []);
});

const wrongHistories: [string, HistoryEvent[], string][] = [
  ["no final answer", [job, told("pending")], "no final answer: req-1"],
  [
    "another answer after the final one",
    [...rightHistory, told("running")],
    "told running by node-0 after done: req-1",
  ],
  [
    "both final answers",
    [...rightHistory, cancelAsked, told("aborted")],
    "told aborted by node-0 after done: req-1",
  ],
  ["both final records", [...rightHistory, ended("cancelled")], "recorded as done and cancelled: req-1"],
  ["accepted, never recorded", [told("pending")], "accepted without a record: req-1"],
  [
    "done, not recorded as such",
    [job, start("i-1"), end("i-1", "done"), told("done")],
    "told done while recorded as unfinished: req-1",
  ],
  ["done before its task was", [job, ended("done"), told("done")], "told done before all tasks were: req-1"],
  ["cancelled by nobody", [job, ended("cancelled"), told("aborted")], "cancelled by nobody: req-1"],
  ["started, never recorded", [start("i-1")], "started without a record: req-1/0"],
  ["on two machines at a time", [job, start("i-1"), start("i-2")], "started on i-2 while on i-1: req-1/0"],
  [
    "started after its job was done",
    [...rightHistory, start("i-1")],
    "started after its job was done: req-1/0",
  ],
  [
    "stopped and repeated against its rank",
    [job, start("i-1"), end("i-1", "halted"), start("i-2")],
    "repeated after it was stopped: req-1/0",
  ],
  ["rented without an order on record", [{ kind: "rented", order: "fp-1" }], "rented without a record: fp-1"],
  [
    "returned without a mark",
    [machines("up"), { kind: "returned", host: "i-1" }],
    "returned without a record: i-1",
  ],
];

for (const [name, history, fault] of wrongHistories)
  test(`a wrong history is found: ${name}`, () => {
    assert.ok(checkHistory(history, jobs).includes(fault), checkHistory(history, jobs).join("; "));
  });
