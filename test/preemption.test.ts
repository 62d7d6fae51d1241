/** Which running tasks are stopped for more urgent work, on small cases whose answers a person can check. */
import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { buildQueue } from "../src/placement/job-queue.js";
import { placeOnMachine, placeRound } from "../src/placement/placement-round.js";
import { choosePreemptions } from "../src/placement/preemption.js";
import type { JobSpec } from "../src/wire/index.js";
import { endTask, newJob, newMachine, NOW, placementInput, startTask } from "./support/shard-state.js";

/** What can be stopped without much loss. */
const checkpointed: Partial<JobSpec> = {
  tasks: 4,
  priority: "best_effort",
  checkpointS: 20,
  saveS: 2,
  estimateS: 300,
};

void describe("placement/preemption", () => {
  test("urgent work stops lower work with checkpoints, and no more of it than it needs", () => {
    const machine = newMachine("i-1");
    const low = newJob("req-1", checkpointed);
    for (let i = 0; i < 4; i++) startTask(machine, low, i);
    const urgent = newJob("req-2", { tasks: 2, priority: "urgent" });
    const { victims } = choosePreemptions(placementInput([low, urgent], [machine]));
    assert.equal(victims.length, 2);
  });

  test("work without checkpoints is not discarded once it is well begun, and equals do not stop each other", () => {
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

  test("a machine stays reserved for the job tasks were stopped for, and the end of overrunning tasks is not counted on", () => {
    const machine = newMachine("i-1");
    const low = newJob("req-1", { tasks: 9, cpus: 2, priority: "normal", checkpointS: 20, estimateS: 20 });
    startTask(machine, low, 0, NOW - 1000);
    startTask(machine, low, 1, NOW - 60_000);
    const urgent = newJob("req-2", { cpus: 3, priority: "urgent" });
    const input = placementInput([low, urgent], [machine]);
    // The one that has long outrun its estimate may run for long: both must be stopped for three processors.
    const { victims, reserved } = choosePreemptions(input);
    assert.deepEqual([victims.length, reserved.get(machine)], [2, urgent]);
    for (const victim of victims) endTask(victim);
    // Less urgent work does not use the capacity before the job that it was released for has had its turn.
    const withoutUrgent = { ...input, jobs: [low], preemptionReservations: reserved };
    const lowQueue = buildQueue(withoutUrgent);
    assert.equal(placeRound(withoutUrgent, lowQueue, () => 0, 1).starts.length, 0);
    assert.equal(
      placeOnMachine(machine, buildQueue(withoutUrgent), withoutUrgent, () => false).starts.length,
      0,
    );
    const withUrgent = { ...input, preemptionReservations: reserved };
    assert.deepEqual(
      placeRound(withUrgent, buildQueue(withUrgent), () => 0, 1).starts.map((start) => start.job),
      [urgent],
    );
  });

  test("a task that was stopped once is not stopped again for work that is not urgent", () => {
    const machine = newMachine("i-1");
    const low = newJob("req-1", checkpointed);
    for (let i = 0; i < 4; i++) startTask(machine, low, i).isResumed = true;
    const normal = newJob("req-2", { deadlineS: 85 });
    assert.deepEqual(choosePreemptions(placementInput([low, normal], [machine])).victims, []);
    for (const placement of machine.placements) placement.isResumed = false;
    assert.equal(choosePreemptions(placementInput([low, normal], [machine])).victims.length, 1);
  });
});
