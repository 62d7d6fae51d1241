/** Guards against decisions whose cost grows faster than the number of tasks of one job. Costs are counted, not timed. */
import assert from "node:assert/strict";
import { describe, mock, test } from "node:test";
import { buildQueue } from "../src/placement/job-queue.js";
import { placeOnMachine, placeRound } from "../src/placement/placement-round.js";
import type { Job } from "../src/workers/job.js";
import type { Machine } from "../src/workers/machine.js";
import { newJob, newMachine, NOW, placementInput, startTask } from "./support/shard-state.js";

/** The needs of a task of which thousands fit on one machine. */
const TINY = { cpus: 0.0001, memoryGb: 0.0001 };

const newMachines = (count: number): Machine[] =>
  Array.from({ length: count }, (_, i) => newMachine(`i-${i}`));

/** Counts how often it is looked up whether a task of the job has an active attempt. */
const countLookUps = (job: Job) => mock.method(job.activeAttempts, "has").mock;

/** A clock that advances by a millisecond whenever it is read. */
function tickingClock(): () => number {
  let now = 0;
  return () => now++;
}

void describe("placement/placement-round", () => {
  // Guards against a round that places one large job as a whole, whatever its time budget: nothing else runs meanwhile.
  test("a round that reaches its deadline within a job stops there, and the next one goes on with the job", () => {
    const large = newJob("req-1", { tasks: 4000 });
    const small = newJob("req-2", {}, NOW + 1);
    const machines = newMachines(1001);
    const startsByRound: number[] = [];
    const order: string[] = [];
    for (let resumeAtJobId: string | null = null; ;) {
      const input = placementInput([large, small], machines, { resumeAtJobId });
      const round = placeRound(input, buildQueue(input), tickingClock(), 5);
      startsByRound.push(round.starts.length);
      order.push(...new Set(round.starts.map(({ job }) => job.spec.id)));
      for (const { job, index, machine } of round.starts) startTask(machine, job, index);
      resumeAtJobId = round.resumeAtJobId;
      if (resumeAtJobId === null) break;
      assert.ok(round.starts.length > 0, "every round places something");
    }
    assert.ok(startsByRound.length > 4, `rounds with ${startsByRound.join(", ")} starts`);
    assert.ok(Math.max(...startsByRound) < 1000, `rounds with ${startsByRound.join(", ")} starts`);
    assert.deepEqual([large.waitingCount, small.waitingCount], [0, 0]);
    assert.equal(order.at(-1), "req-2");
  });
});

void describe("placement/job-placement", () => {
  // Guards against a search for each task that begins at the job's first one: all controllers hung one after the other.
  test("a round looks at each waiting task of a job once, however many of them fit on a machine", () => {
    const tasks = 2000;
    const job = newJob("req-1", { tasks, ...TINY });
    const input = placementInput([job], newMachines(8));
    const lookUps = countLookUps(job);
    const round = placeRound(input, buildQueue(input), () => 0, 1);
    assert.equal(new Set(round.starts.map(({ index }) => index)).size, tasks);
    assert.ok(lookUps.callCount() <= 2 * tasks, `${lookUps.callCount()} look-ups`);
  });

  test("placing after a heartbeat does not look at the job's placed tasks again", () => {
    const tasks = 2000;
    const job = newJob("req-1", { tasks, cpus: 4 });
    const [first, second] = newMachines(2) as [Machine, Machine];
    const busy = newMachine("i-busy");
    for (let index = 0; index < tasks - 2; index++) startTask(busy, job, index);
    const input = placementInput([job], [first, second]);
    const place = (machine: Machine) =>
      placeOnMachine(machine, buildQueue(input), input, () => false).starts.map(({ index }) => index);
    assert.deepEqual(place(first), [tasks - 2]);
    startTask(first, job, tasks - 2);
    const lookUps = countLookUps(job);
    assert.deepEqual(place(second), [tasks - 1]);
    assert.ok(lookUps.callCount() <= 4, `${lookUps.callCount()} look-ups`);
  });

  test("a task that becomes free again is the next one to be placed", () => {
    const job = newJob("req-1", { tasks: 4, cpus: 4 });
    const machines = newMachines(4);
    const placements = machines.slice(0, 3).map((machine, index) => startTask(machine, job, index));
    assert.deepEqual([...job.waitingTasks()], [3]);
    job.detach(placements[1]!);
    assert.deepEqual([...job.waitingTasks()], [1, 3]);
    job.markDone(1);
    assert.deepEqual([...job.waitingTasks()], [3]);
  });
});
