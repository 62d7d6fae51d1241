/** The JSON bodies and paths exchanged with workers, users, the cloud and the state service match the fixture. */
import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { JobRequestHandler } from "../src/http/user-requests.js";
import type { JobService, JobLookup, SubmitResult } from "../src/jobs/job-service.js";
import {
  acceptedToWire,
  cloudReturnToWire,
  commandsToWire,
  leaseToWire,
  parseHeartbeat,
  paths,
  redirectToWire,
  rentalToWire,
  statusToWire,
  transactionToWire,
  type JobStage,
  type TaskStatus,
  type Heartbeat,
} from "../src/wire/index.js";
import { submission } from "./support/cluster.js";
import { assertSameJson, readFixture } from "./support/fixtures.js";

interface WireFixtures {
  sent: Record<string, unknown>;
  paths: Record<string, string>;
  userAnswers: Record<string, unknown>;
  report: unknown;
}

const fixture = readFixture("wire-messages") as WireFixtures;

const STAGES: JobStage[] = ["pending", "running", "done", "cancelled"];
const task = { job: "req-000412", index: 7, attempt: 3 };
const rental = { name: "fp-1", type: "large", zone: "north", spot: true, count: 20 };

/** The messages that the program sends, by their names in the fixture. */
const sentMessages: Record<string, object> = {
  "worker: commands": commandsToWire(41, [
    { op: "start", ...task },
    { op: "stop", ...task, graceS: 2.5 },
    { op: "forget", ...task },
  ]),
  "worker: no commands": commandsToWire(41, []),
  "worker: redirect to the owner": redirectToWire("node-1"),
  "worker: redirect to an unknown owner": redirectToWire(null),
  "user: status": STAGES.map((stage) => statusToWire({ id: "req-000412", stage, done: 5, running: 2 })),
  "user: accepted": STAGES.map((stage) => acceptedToWire("req-000412", stage)),
  "cloud: rental": rentalToWire(rental),
  "cloud: rental of a record with more fields": rentalToWire({ ...rental, ...{ parts: [], since: 1 } }),
  "cloud: return": cloudReturnToWire(["i-000001", "i-000002"]),
  "state: transaction": transactionToWire(
    [
      { key: "fernpond/live/leader", version: 12 },
      { key: "fernpond/live/jobs/req-1", version: 0 },
    ],
    [
      { put: "fernpond/live/members/node-0", value: { node: "node-0" }, lease: 9 },
      { put: "fernpond/live/jobs/req-1", value: null },
      { remove: "fernpond/live/orders/fp-1" },
    ],
  ),
  "state: empty transaction": transactionToWire([], []),
  "state: lease": leaseToWire(5000),
};

const key = "fernpond/live/jobs/";
const actualPaths: Record<string, string> = {
  "users: health": paths.health,
  "users: submit": paths.submit,
  "users: job": paths.job.source,
  "users: cancel": paths.cancel.source,
  "workers: report": paths.heartbeat,
  "cloud: types": paths.cloud.types,
  "cloud: rent": paths.cloud.rent,
  "cloud: return": paths.cloud.returnMachines,
  "cloud: first page of the list": paths.cloud.list(undefined, 500),
  "cloud: next page of the list": paths.cloud.list("i-000 1", 500),
  "state: value": paths.state.value(`${key}req-1`),
  "state: first page": paths.state.page(key, undefined, 500),
  "state: next page": paths.state.page(key, `${key}req-1`, 500),
  "state: transaction": paths.state.transaction,
  "state: leases": paths.state.leases,
  "state: renew": paths.state.renew(9),
  "state: lease": paths.state.lease(9),
  "state: changes": paths.state.changes("fernpond/", 41, 10_000),
};

/** The parsed form of the fixture's heartbeat, which has a task for each exit cause and for each other state. */
function expectedHeartbeat(): Heartbeat {
  const ended = { job: "req-000412", attempt: 3, state: "exited", saved: false } as const;
  const causes = ["done", "stopped", "error", "no_room", "busy", "unknown", "error", "error"] as const;
  const live = ["fetching", "running", "saving"] as const;
  const tasks: TaskStatus[] = [
    ...causes.map((cause, index) => ({ ...ended, index, cause, saved: cause === "stopped" })),
    ...live.map((state, index) => ({ ...ended, index: causes.length + index, state, cause: null })),
  ];
  const machine = { host: "i-000001", address: "10.0.0.9:9000", type: "large", zone: "north", spot: true };
  return { ...machine, epoch: 2, sequence: 40, highestToken: 41, interruptionNoticeS: 90, tasks };
}

/** Handles a user's request with a job service that returns the given results. */
const respondWith = (
  submitted: SubmitResult,
  found: JobLookup,
  path: string,
  method: string,
  body: unknown,
) => {
  const service = { submit: () => submitted, lookUp: () => found, cancel: () => found };
  return new JobRequestHandler(service as unknown as JobService).handle({ method, path, body });
};

async function userResponses(): Promise<Record<string, unknown>> {
  const status = { id: "req-1", stage: "running", done: 1, running: 2 } as const;
  const submitted: Record<string, SubmitResult> = {
    accepted: { kind: "accepted", stage: "pending", isNew: true },
    known: { kind: "accepted", stage: "done", isNew: false },
    malformed: { kind: "malformed", reason: "bank: no such zone" },
    impossible: { kind: "impossible", reason: "unknown team" },
    unavailable: { kind: "unavailable" },
  };
  const found: Record<string, JobLookup> = {
    found: { kind: "found", status },
    unknown: { kind: "unknown" },
    unavailable: { kind: "unavailable" },
  };
  const responses: Record<string, unknown> = {};
  const notFound: JobLookup = { kind: "unknown" };
  const unavailable: SubmitResult = { kind: "unavailable" };
  for (const [name, result] of Object.entries(submitted))
    responses[`submit: ${name}`] = await respondWith(result, notFound, "/work", "POST", submission("req-1"));
  for (const [name, result] of Object.entries(found)) {
    responses[`look: ${name}`] = await respondWith(unavailable, result, "/work/req-1", "GET", undefined);
    responses[`cancel: ${name}`] = await respondWith(
      unavailable,
      result,
      "/work/req-1/withdraw",
      "POST",
      undefined,
    );
  }
  responses["submit: unreadable"] = await respondWith(unavailable, notFound, "/work", "POST", {
    nameId: "req-1",
  });
  responses["wrong method"] = await respondWith(unavailable, notFound, "/work/req-1", "PUT", undefined);
  responses["wrong path"] = await respondWith(unavailable, notFound, "/works", "GET", undefined);
  return responses;
}

void describe("wire", () => {
  test("every message has a fixture, and every fixture is checked", () => {
    assert.deepEqual(Object.keys(sentMessages), Object.keys(fixture.sent));
  });

  for (const [name, message] of Object.entries(sentMessages))
    test(`${name}: the body matches the fixture`, () => {
      assertSameJson(message, fixture.sent[name]);
    });

  test("all request paths match the fixture", () => {
    assertSameJson(actualPaths, fixture.paths);
  });

  test("a heartbeat with every task state and exit cause is parsed", () => {
    assert.deepEqual(parseHeartbeat(fixture.report), { ok: true, value: expectedHeartbeat() });
  });
});

void describe("http/users", () => {
  test("status, body and Allow header of every kind of response match the fixture", async () => {
    assertSameJson(await userResponses(), fixture.userAnswers);
  });
});
