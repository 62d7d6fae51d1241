/** Preemption of running tasks for more urgent jobs, on cases small enough to verify by hand. */
import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { buildQueue } from "../src/placement/job-queue.js";
import { placeOnMachine, placeRound } from "../src/placement/placement-round.js";
import { choosePreemptions } from "../src/placement/preemption.js";
import type { JobSpec } from "../src/wire/index.js";
import { endTask, newJob, newMachine, NOW, placementInput, startTask } from "./support/shard-state.js";

/** The spec of a low-priority job with checkpoints, whose tasks lose little work when preempted. */
const checkpointed: Partial<JobSpec> = {
  tasks: 4,
  priority: "best_effort",
  checkpointS: 20,
  saveS: 2,
  estimateS: 300,
};

void describe("placement/preemption", () => {
  test("an urgent job preempts only as many lower-priority tasks with checkpoints as it needs", () => {
    const machine = newMachine("i-1");
    const low = newJob("req-1", checkpointed);
    for (let i = 0; i < 4; i++) startTask(machine, low, i);
    const urgent = newJob("req-2", { tasks: 2, priority: "urgent" });
    const { victims } = choosePreemptions(placementInput([low, urgent], [machine]));
    assert.equal(victims.length, 2);
  });

  test("tasks without checkpoints that have run for long, and tasks of equal priority, are not preempted", () => {
    const machine = newMachine("i-1");
    const low = newJob("req-1", { tasks: 4, priority: "best_effort", estimateS: 100 });
    for (let i = 0; i < 4; i++) startTask(machine, low, i, NOW - 50_000);
    const urgent = newJob("req-2", { priority: "urgent" });
    assert.deepEqual(choosePreemptions(placementInput([low, urgent], [machine])).victims, []);
    const other = newMachine("i-2");
    const equal = newJob("req-3", { tasks: 4, priority: "urgent", checkpointS: 20, estimateS: 300 });
    for (let i = 0; i < 4; i++) startTask(other, equal, i);
    assert.deepEqual(choosePreemptions(placementInput([equal, urgent], [other])).victims, []);
  });

  test("a machine stays reserved for the preempting job; tasks past their estimate count as not ending soon", () => {
    const machine = newMachine("i-1");
    const low = newJob("req-1", { tasks: 9, cpus: 2, priority: "normal", checkpointS: 20, estimateS: 20 });
    startTask(machine, low, 0, NOW - 1000);
    startTask(machine, low, 1, NOW - 60_000);
    const urgent = newJob("req-2", { cpus: 3, priority: "urgent" });
    const input = placementInput([low, urgent], [machine]);
    // The task that has exceeded its estimate may run much longer: both must be preempted to free three CPUs.
    const { victims, reservations } = choosePreemptions(input);
    assert.deepEqual([victims.length, reservations.get(machine)], [2, urgent]);
    for (const victim of victims) endTask(victim);
    // A lower-priority job must not take the released capacity before the job that it is reserved for.
    const withoutUrgent = { ...input, jobs: [low], preemptionReservations: reservations };
    const lowQueue = buildQueue(withoutUrgent);
    assert.equal(placeRound(withoutUrgent, lowQueue, () => 0, 1).starts.length, 0);
    assert.equal(
      placeOnMachine(machine, buildQueue(withoutUrgent), withoutUrgent, () => false).starts.length,
      0,
    );
    const withUrgent = { ...input, preemptionReservations: reservations };
    assert.deepEqual(
      placeRound(withUrgent, buildQueue(withUrgent), () => 0, 1).starts.map((start) => start.job),
      [urgent],
    );
  });

  test("a task that was stopped once is not preempted again for a job below urgent priority", () => {
    const machine = newMachine("i-1");
    const low = newJob("req-1", checkpointed);
    for (let i = 0; i < 4; i++) startTask(machine, low, i).isResumed = true;
    const normal = newJob("req-2", { deadlineS: 85 });
    assert.deepEqual(choosePreemptions(placementInput([low, normal], [machine])).victims, []);
    for (const placement of machine.placements) placement.isResumed = false;
    assert.equal(choosePreemptions(placementInput([low, normal], [machine])).victims.length, 1);
  });
});
