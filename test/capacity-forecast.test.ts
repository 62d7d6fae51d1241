/** The forecast of tasks that need rented machines, on cases small enough to verify by hand. */
import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { forecastUnmetDemand } from "../src/placement/capacity-forecast.js";
import type { Job } from "../src/workers/job.js";
import type { Machine } from "../src/workers/machine.js";
import { newJob, newMachine, NOW, placementInput, startTask } from "./support/shard-state.js";

void describe("placement/capacity-forecast", () => {
  test("demand is unmet only for waiting tasks that get no capacity in time as running tasks end", () => {
    const machine = newMachine("i-1");
    const running = newJob("req-1", { tasks: 4, estimateS: 60 });
    // Two running tasks end in 10 s and two in 50 s; a rented machine is ready in 24 s.
    [50_000, 50_000, 10_000, 10_000].forEach((agoMs, i) => startTask(machine, running, i, NOW - agoMs));
    const queued = newJob("req-2", { tasks: 5, deadlineS: 65, estimateS: 60 });
    const input = placementInput([running, queued], [machine]);
    const unmet = forecastUnmetDemand({ ...input, waiting: new Map([[queued, 5]]) });
    assert.deepEqual(unmet, [{ job: queued, count: 3, zone: null }]);
  });

  test("unmet demand of jobs with zone constraints names the zones where their tasks may run", () => {
    const unmetByZone = (job: Job, machines: Machine[]) => {
      const waiting = new Map([[job, job.waitingCount]]);
      const unmet = forecastUnmetDemand({ ...placementInput([job], machines), waiting });
      return unmet.map(({ count, zone }) => [count, zone]);
    };
    const spread = newJob("req-1", { tasks: 5, spread: true });
    assert.deepEqual(unmetByZone(spread, []), [
      [3, "north"],
      [2, "south"],
    ]);
    assert.deepEqual(unmetByZone(newJob("req-3", { spread: true, zone: "south" }), []), [[1, "south"]]);
    // A zone that holds half of the job takes no more of its tasks, even with free capacity.
    const north = newMachine("i-1");
    startTask(north, spread, 0);
    startTask(north, spread, 1);
    startTask(north, spread, 2);
    assert.deepEqual(unmetByZone(spread, [north]), [[2, "south"]]);
    const inOneZone = newJob("req-2", { tasks: 6, oneZone: true });
    const south = newMachine("i-2", { zone: "south" });
    startTask(south, inOneZone, 0);
    assert.deepEqual(unmetByZone(inOneZone, [newMachine("i-3"), south]), [[2, "south"]]);
  });
});
