/** Scenarios of jobs that were submitted by mistake and are cancelled soon after. */
import assert from "node:assert/strict";
import { MAX_TASKS_PER_MACHINE } from "../../src/wire/index.js";
import type { FaultCombination } from "./fault-combinations.js";

/** Longer than the scenario, so that no task ends by itself. */
const LONG_RUN_MS = 300_000;
const MACHINES = 3;
/** They leave CPUs free on every machine. */
const ORDINARY_TASKS = 3;

export const mistakenJobs: FaultCombination[] = [
  {
    // Guards against machines with more tasks than their heartbeats can list: their leases ended, with all their tasks.
    name: "a job of thousands of tasks that need next to nothing fills all machines and is cancelled, and no other task is lost",
    async run(simulation) {
      simulation.cloud.capacity = MACHINES;
      const runMsByJob = (simulation.workers.runMsByJob ??= new Map());
      runMsByJob.set("req-1", LONG_RUN_MS).set("req-2", LONG_RUN_MS);
      const ordinary = simulation.submit("req-1", { pieces: ORDINARY_TASKS, guessS: LONG_RUN_MS / 1000 });
      assert.ok(
        await simulation.runUntil(() => simulation.runningTaskCount(ordinary) === ORDINARY_TASKS, 60_000),
        "the ordinary tasks run",
      );
      const size = { pieces: 5000, vcpus: 0.0001, memGb: 0.0001 };
      const mistaken = simulation.submit("req-2", { ...size, guessS: LONG_RUN_MS / 1000 });
      const mostTasks = MACHINES * MAX_TASKS_PER_MACHINE - ORDINARY_TASKS;
      assert.ok(
        await simulation.runUntil(() => simulation.runningTaskCount(mistaken) === mostTasks, 60_000),
        `${simulation.runningTaskCount(mistaken)} of ${mostTasks} tasks run`,
      );
      await simulation.run(20_000);
      assert.equal(simulation.runningTaskCount(mistaken), mostTasks);
      void simulation.cancel(mistaken);
      assert.ok(
        await simulation.runUntil(() => simulation.runningTaskCount(mistaken) === 0, 15_000),
        "the tasks of the cancelled job are gone",
      );
      assert.equal(simulation.runningTaskCount(ordinary), ORDINARY_TASKS, "no ordinary task was lost");
    },
  },
];
