/** Guards against decisions whose cost grows faster than the number of tasks of one job. Costs are counted, not timed. */
import assert from "node:assert/strict";
import { describe, mock, test } from "node:test";
import { slotsPerMachine } from "../src/placement/capacity.js";
import { buildQueue } from "../src/placement/job-queue.js";
import { largestFreeCapacity } from "../src/placement/migration-policy.js";
import { placeOnMachine, placeRound } from "../src/placement/placement-round.js";
import { choosePreemptions } from "../src/placement/preemption.js";
import { computeDemand } from "../src/placement/shard-summary.js";
import {
  commandsToWire,
  MAX_BODY_BYTES,
  MAX_TASKS,
  MAX_TASKS_PER_MACHINE,
  parseHeartbeat,
  type TaskStatus,
  type WorkerCommand,
} from "../src/wire/index.js";
import type { Job } from "../src/workers/job.js";
import { LeaseRenewal } from "../src/workers/lease-renewal.js";
import type { Machine } from "../src/workers/machine.js";
import { limitCommands } from "../src/workers/worker-commands.js";
import { newHeartbeat, smallType } from "./support/records.js";
import { newJob, newMachine, newMachines, NOW, placementInput, startTask } from "./support/shard-state.js";

/** The needs of a task of which thousands fit on one machine. */
const TINY = { cpus: 0.0001, memoryGb: 0.0001 };

/** Counts how often it is looked up whether a task of the job has an active attempt. */
const countLookUps = (job: Job) => mock.method(job.activeAttempts, "has").mock;

/** A clock that advances by a millisecond whenever it is read. */
function tickingClock(): () => number {
  let now = 0;
  return () => now++;
}

/** A number of tasks of one job on a machine, as its worker reports them. */
const reportedTasks = (job: string, count: number, fields: Partial<TaskStatus>): TaskStatus[] =>
  Array.from({ length: count }, (_, index) => ({ ...RUNNING, job, index, attempt: index + 1, ...fields }));

const RUNNING: Omit<TaskStatus, "job" | "index" | "attempt"> = {
  state: "running",
  cause: null,
  saved: false,
};

// Guards against a machine with so many tasks that its heartbeats are too long to be accepted, so that its lease ends.
void describe("tasks on one machine", () => {
  test("the longest heartbeat of a machine with the most tasks, and its longest response, keep the size limit", () => {
    const longest = "9".repeat(32);
    const attempt = Number.MAX_SAFE_INTEGER;
    const pieces = Array.from({ length: MAX_TASKS_PER_MACHINE }, () => ({
      piece: `req-${longest}/${MAX_TASKS - 1}`,
      try: attempt,
      stage: "exited",
      cause: "no_room",
      kept: true,
    }));
    const name = "x".repeat(100);
    const counts = { tenure: attempt, tick: attempt, baton: attempt, recallS: Number.MIN_VALUE };
    const pool = { breed: name + name, bank: name + name, loaners: false };
    const heartbeat = { host: name, addr: name, ...pool, ...counts, pieces };
    assert.ok(parseHeartbeat(heartbeat).ok);
    assert.ok(Buffer.byteLength(JSON.stringify(heartbeat)) <= MAX_BODY_BYTES);
    // Some languages write a space after each colon and comma.
    assert.ok(Buffer.byteLength(JSON.stringify(heartbeat, null, 1).replace(/\n */g, " ")) <= MAX_BODY_BYTES);
    const stop = { job: `req-${longest}`, index: MAX_TASKS - 1, attempt, graceS: Number.MAX_VALUE };
    const commands = pieces.map((): WorkerCommand => ({ op: "stop", ...stop }));
    assert.equal(limitCommands(commands).length, commands.length);
    const response = JSON.stringify(commandsToWire(attempt, commands));
    assert.ok(Buffer.byteLength(response) <= MAX_BODY_BYTES);
  });

  test("a round places no more tasks on a machine than its heartbeats can list, exited ones included", () => {
    const job = newJob("req-1", { tasks: 2000, ...TINY });
    const machine = newMachine("i-1");
    const input = placementInput([job], [machine]);
    const startsOnMachine = (): number[] => [
      placeRound(input, buildQueue(input), () => 0, 1).starts.length,
      placeOnMachine(machine, buildQueue(input), input, () => false).starts.length,
    ];
    assert.deepEqual(startsOnMachine(), [MAX_TASKS_PER_MACHINE, MAX_TASKS_PER_MACHINE]);
    machine.recordReportedTasks(reportedTasks("req-9", 84, { state: "exited", cause: "done" }));
    assert.deepEqual(startsOnMachine(), [MAX_TASKS_PER_MACHINE - 84, MAX_TASKS_PER_MACHINE - 84]);
    for (let index = 0; index < MAX_TASKS_PER_MACHINE - 84; index++) startTask(machine, job, index);
    assert.deepEqual(startsOnMachine(), [0, 0]);
    assert.deepEqual(largestFreeCapacity(input), []);
  });

  test("preemption makes room for one task more on a machine that may have no more tasks", () => {
    const low = newJob("req-1", { tasks: 2000, priority: "best_effort", checkpointS: 9, ...TINY });
    const machine = newMachine("i-1");
    for (let index = 0; index < MAX_TASKS_PER_MACHINE; index++) startTask(machine, low, index, NOW - 1000);
    const urgent = newJob("req-2", { priority: "urgent" });
    const { victims } = choosePreemptions(placementInput([low, urgent], [machine]));
    assert.equal(victims.length, 1);
  });
});

void describe("placement/shard-summary", () => {
  test("a job without a running task is rented a machine if all slots are taken, however little it needs", () => {
    const machine = newMachine("i-1");
    const running = newJob("req-1", { tasks: 2000, ...TINY });
    for (let index = 0; index < MAX_TASKS_PER_MACHINE; index++) startTask(machine, running, index);
    const jobs = Array.from({ length: 1000 }, (_, i) => newJob(`req-${i + 2}`, TINY));
    const [demand] = computeDemand(placementInput([running, ...jobs], [machine]));
    assert.equal(demand?.count, jobs.length);
    assert.equal(slotsPerMachine(demand, smallType), MAX_TASKS_PER_MACHINE);
  });

  test("machines are rented for what a job's tasks need, not for a slot for each of its tasks", () => {
    const demandOf = (needs: object, machines: Machine[] = []): number | undefined =>
      computeDemand(placementInput([newJob("req-1", { tasks: 100_000, ...needs })], machines))[0]?.count;
    assert.ok((demandOf(TINY) ?? 0) <= 10 * MAX_TASKS_PER_MACHINE, "ten of 4 CPUs for 10 CPUs");
    assert.equal(demandOf({ cpus: 0, memoryGb: 0 }), 1);
    assert.equal(demandOf({ cpus: 1 }), 100_000);
    const job = newJob("req-1", { tasks: 20_000, ...TINY });
    const machine = newMachine("i-1");
    for (let index = 0; index < MAX_TASKS_PER_MACHINE; index++) startTask(machine, job, index);
    assert.deepEqual(computeDemand(placementInput([job], [machine])), []);
  });
});

void describe("workers/lease-renewal", () => {
  // Guards against a search through all commands for each task of a cancelled job, at each heartbeat.
  test("the check of a response reads each command once, however many tasks are to be stopped", () => {
    let reads = 0;
    const tasks = reportedTasks("req-1", MAX_TASKS_PER_MACHINE, {});
    const commands = tasks.map(({ job, index, attempt }): WorkerCommand => ({
      get op(): "stop" {
        reads++;
        return "stop";
      },
      ...{ job, index, attempt, graceS: 0 },
    }));
    const renewal = LeaseRenewal.decide(1, newHeartbeat({ tasks }), commands, () => false);
    assert.ok(renewal instanceof LeaseRenewal);
    assert.ok(reads <= 3 * commands.length, `${reads} reads`);
    const [first, ...others] = commands;
    const rejected = LeaseRenewal.decide(1, newHeartbeat({ tasks }), others, () => false);
    assert.deepEqual(rejected, { reason: "ended_task_kept", task: `req-1/${first?.index}` });
  });
});

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

  test("placing a zone-constrained job after a heartbeat does not look at its running tasks", () => {
    const job = newJob("req-1", { tasks: 500, oneZone: true });
    const [busy, idle] = newMachines(2) as [Machine, Machine];
    for (let index = 0; index < 400; index++) startTask(busy, job, index);
    const input = placementInput([job], [busy, idle]);
    const values = mock.method(job.activeAttempts, "values").mock;
    const { starts } = placeOnMachine(idle, buildQueue(input), input, () => false);
    assert.equal(starts.length, 4);
    assert.equal(values.callCount(), 0);
  });
});

void describe("workers/job", () => {
  test("a job's tasks are counted in the zone of their machines until they are released", () => {
    const job = newJob("req-1", { tasks: 4 });
    const [north, south] = [newMachine("i-1"), newMachine("i-2", { zone: "south" })];
    const first = startTask(north, job, 0);
    startTask(north, job, 1);
    const moved = startTask(south, job, 1);
    assert.deepEqual(
      [...job.tasksByZone],
      [
        ["north", 1],
        ["south", 1],
      ],
    );
    job.detach(moved);
    job.detach(first);
    job.detach(first);
    assert.deepEqual([...job.tasksByZone], []);
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
