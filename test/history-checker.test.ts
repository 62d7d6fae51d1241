/** The history checker reports each kind of fault, and none in a valid history. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { checkHistory, type CheckedJob, type HistoryEvent } from "./support/history-checker.js";

const JOB = "req-1";
const jobs = new Map<string, CheckedJob>([[JOB, { tasks: 1, isPreemptible: false }]]);

const recorded = (key: string, value: unknown = {}): HistoryEvent => ({ kind: "recorded", key, value });
const job = recorded(`fernpond/live/jobs/${JOB}`);
const ended = (stage: string): HistoryEvent => recorded(`fernpond/ended/${JOB}`, { stage });
const told = (stage: string): HistoryEvent => ({ kind: "told", job: JOB, stage, by: "node-0" });
const start = (host: string): HistoryEvent => ({ kind: "started", task: `${JOB}/0`, host });
const end = (host: string, cause: "done" | "error" | "halted" | "lost"): HistoryEvent => ({
  kind: "ended",
  task: `${JOB}/0`,
  host,
  cause,
});
const cancelAsked: HistoryEvent = { kind: "cancel_asked", job: JOB };
const machines = (stage: string): HistoryEvent =>
  recorded("fernpond/live/machines/g", { machines: { "i-1": stage } });

const validHistory = [job, told("pending"), start("i-1"), end("i-1", "done"), ended("done"), told("done")];

test("a valid history has no faults: done, lost and restarted, cancelled, rented and returned", () => {
  assert.deepEqual(checkHistory(validHistory, jobs), []);
  const restarted = [job, start("i-1"), end("i-1", "lost"), start("i-2"), end("i-2", "done"), ended("done")];
  assert.deepEqual(checkHistory([...restarted, told("done"), told("done")], jobs), []);
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

const invalidHistories: [string, HistoryEvent[], string][] = [
  ["no final response", [job, told("pending")], "no final response: req-1"],
  [
    "another response after the final one",
    [...validHistory, told("running")],
    "response running from node-0 after final response done: req-1",
  ],
  [
    "both final responses",
    [...validHistory, cancelAsked, told("aborted")],
    "response aborted from node-0 after final response done: req-1",
  ],
  ["both final records", [...validHistory, ended("cancelled")], "recorded as done and cancelled: req-1"],
  ["accepted but never recorded", [told("pending")], "accepted without a recorded job: req-1"],
  [
    "response done without such a record",
    [job, start("i-1"), end("i-1", "done"), told("done")],
    "response done while recorded as unfinished: req-1",
  ],
  [
    "done before its task completed",
    [job, ended("done"), told("done")],
    "response done before all tasks completed: req-1",
  ],
  [
    "cancelled without a request",
    [job, ended("cancelled"), told("aborted")],
    "cancelled without a request: req-1",
  ],
  ["started but never recorded", [start("i-1")], "started without a recorded job: req-1/0"],
  [
    "on two machines at the same time",
    [job, start("i-1"), start("i-2")],
    "started on i-2 while running on i-1: req-1/0",
  ],
  [
    "started after its job was done",
    [...validHistory, start("i-1")],
    "started after its job was done: req-1/0",
  ],
  [
    "preempted and restarted although its rank rules it out",
    [job, start("i-1"), end("i-1", "halted"), start("i-2")],
    "restarted after preemption that its rank rules out: req-1/0",
  ],
  [
    "rented without a recorded order",
    [{ kind: "rented", order: "fp-1" }],
    "rented without a recorded order: fp-1",
  ],
  [
    "returned without being recorded as leaving",
    [machines("up"), { kind: "returned", host: "i-1" }],
    "returned without being recorded as leaving: i-1",
  ],
];

for (const [name, history, fault] of invalidHistories)
  test(`a fault in a history is reported: ${name}`, () => {
    assert.ok(checkHistory(history, jobs).includes(fault), checkHistory(history, jobs).join("; "));
  });
