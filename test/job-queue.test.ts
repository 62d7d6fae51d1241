/** The scheduling order of waiting jobs, on cases small enough to verify by hand. */
import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { orderByPriority } from "../src/placement/job-queue.js";
import type { JobSpec } from "../src/wire/index.js";
import { Job } from "../src/workers/job.js";
import { jobSpec } from "./support/records.js";
import { newJob, newMachine, NOW, placementInput, startTask } from "./support/shard-state.js";

const idsOf = (jobs: Job[]): string[] => jobs.map((job) => job.spec.id);

void describe("placement/job-queue", () => {
  test("urgent jobs come first, then those with the least slack for their objective", () => {
    const objectives = [{ kind: "finished", className: "nightly", withinS: 500 }];
    const nightly = newJob("req-1", { className: "nightly" });
    const soon = newJob("req-2", { deadlineS: 200 });
    const urgent = newJob("req-3", { priority: "urgent", deadlineS: 900 });
    const order = orderByPriority([nightly, soon, urgent], placementInput([], [], { objectives }));
    assert.deepEqual(idsOf(order), ["req-3", "req-2", "req-1"]);
  });

  test("the longest job is deferred if a team's limit is too small for all of its jobs to be in time", () => {
    // The team's limit is four CPUs: the large job takes 600 s, the small ones 60 s each.
    const large = newJob("req-1", { team: "capped", tasks: 40, deadlineS: 300 });
    const small = ["req-2", "req-3"].map((id) => newJob(id, { team: "capped", tasks: 4, deadlineS: 310 }));
    const order = orderByPriority([large, ...small], placementInput([], []));
    assert.deepEqual(idsOf(order), ["req-2", "req-3", "req-1"]);
  });

  // Without the sort key `migratedIn`, array jobs migrated from another shard went before the shard's own jobs as soon
  // as they were late.
  test("a migrated job goes after the shard's own jobs of the same rank, unless it is starving", () => {
    const migratedJob = (acceptedAt: number, priority: JobSpec["priority"]): Job =>
      new Job(jobSpec("req-3", { priority, tasks: 300 }), acceptedAt, 1, Infinity, true);
    const own = newJob("req-1", { priority: "best_effort" });
    const urgent = newJob("req-2", { priority: "urgent" });
    const late = NOW - 100_000;
    const orderWith = (migrated: Job): string[] =>
      idsOf(orderByPriority([migrated, own, urgent], placementInput([], [])));
    assert.deepEqual(orderWith(migratedJob(late, "normal")), ["req-2", "req-1", "req-3"]);
    assert.deepEqual(orderWith(migratedJob(late, "critical")), ["req-3", "req-2", "req-1"]);
    assert.deepEqual(orderWith(migratedJob(NOW - 130_000, "normal")), ["req-3", "req-2", "req-1"]);
    const started = migratedJob(NOW - 400_000, "normal");
    startTask(newMachine("i-1"), started, 0);
    assert.deepEqual(orderWith(started), ["req-2", "req-1", "req-3"], "a started job becomes starving later");
  });
});
