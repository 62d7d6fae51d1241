/** Placement rounds, shard assignment and machine speed, on cases small enough to verify by hand. */
import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { ShardAssignment } from "../src/jobs/shard-assignment.js";
import { buildQueue } from "../src/placement/job-queue.js";
import { placeOnMachine, placeRound, type PlacementRound } from "../src/placement/placement-round.js";
import type { PlacementInput } from "../src/placement/scheduling-context.js";
import { SpeedTracker } from "../src/shards/speed-tracker.js";
import type { JobSpec } from "../src/wire/index.js";
import type { Job } from "../src/workers/job.js";
import type { Machine } from "../src/workers/machine.js";
import { jobSpec, silentLogger } from "./support/records.js";
import { testSettings } from "./support/settings.js";
import {
  endTask,
  newJob,
  newMachine,
  newMachines,
  NOW,
  placementInput,
  startTask,
} from "./support/shard-state.js";

const { teams } = testSettings();

const fullRound = (input: PlacementInput, clock = () => 0, deadlineAt = 1): PlacementRound =>
  placeRound(input, buildQueue(input), clock, deadlineAt);

void describe("placement/placement-round", () => {
  test("a round that reaches its deadline returns the job at which the next round resumes", () => {
    const jobs = ["req-1", "req-2", "req-3"].map((id, i) => newJob(id, {}, NOW + i));
    const machine = newMachine("i-1");
    // Every reading of the clock is past the deadline: the round places only one job.
    const round = fullRound(placementInput(jobs, [machine]), () => 10, 5);
    assert.deepEqual([round.starts.length, round.resumeAtJobId], [1, "req-2"]);
    const next = fullRound(placementInput(jobs, [machine], { resumeAtJobId: "req-2" }), () => 0, 5);
    assert.deepEqual(
      [next.starts.map((start) => start.job.spec.id), next.resumeAtJobId],
      [["req-2", "req-3"], null],
    );
  });

  test("a round for one machine's heartbeat costs the same whatever the number of machines in the shard", () => {
    const few = [newMachine("i-0"), newMachine("i-1")];
    const many = newMachines(400);
    const jobs = ["req-1", "req-2", "req-3"].map((id) => newJob(id, { tasks: 50 }));
    const pairsWith = (machines: Machine[]): number => {
      const input = placementInput(jobs, machines);
      const round = placeOnMachine(machines[0]!, buildQueue(input), input, () => false);
      assert.ok(round.starts.length > 0 && round.starts.every((start) => start.machine === machines[0]));
      return round.pairsConsidered;
    };
    assert.equal(pairsWith(many), pairsWith(few));
    assert.ok(pairsWith(many) <= jobs.length);
  });
});

void describe("placement/placement-score", () => {
  test("spot machines are filled before on-demand ones, and a fuller one before an empty one", () => {
    const [onDemand, empty, fuller] = [
      newMachine("i-1"),
      newMachine("i-2", { spot: true }),
      newMachine("i-3", { spot: true }),
    ];
    startTask(fuller, newJob("req-1"), 0);
    const { starts } = fullRound(placementInput([newJob("req-2", { tasks: 8 })], [onDemand, empty, fuller]));
    assert.deepEqual(
      starts.map((start) => start.machine.host),
      ["i-3", "i-3", "i-3", "i-2", "i-2", "i-2", "i-2", "i-1"],
    );
  });

  test("an urgent job prefers a machine with its image to a spot machine, a normal job does not", () => {
    const [spot, withImage] = [newMachine("i-1", { spot: true }), newMachine("i-2")];
    withImage.images.add("img-1");
    const hostsFor = (priority: JobSpec["priority"]) =>
      fullRound(placementInput([newJob("req-1", { priority })], [spot, withImage])).starts.map(
        (start) => start.machine.host,
      );
    assert.deepEqual([hostsFor("urgent"), hostsFor("normal")], [["i-2"], ["i-1"]]);
  });
});

void describe("placement/starvation", () => {
  test("a starving job goes before urgent and smaller jobs, and a machine is reserved until its task fits", () => {
    const machine = newMachine("i-1");
    const small = newJob("req-1", { tasks: 100, priority: "urgent" });
    for (let i = 0; i < 3; i++) startTask(machine, small, i);
    const large = newJob("req-2", { cpus: 4, priority: "best_effort" }, NOW - 150_000);
    const input = placementInput([small, large], [machine]);
    const round = fullRound(input);
    // One CPU is free, but the machine is reserved: no small task is placed on it.
    assert.deepEqual([round.starts.length, round.reservations.get(machine)], [0, large]);
    assert.equal(
      placeOnMachine(
        machine,
        buildQueue(input),
        { ...input, starvationReservations: round.reservations },
        () => false,
      ).starts.length,
      0,
    );
    for (const placement of [...machine.placements]) endTask(placement);
    const next = fullRound({ ...input, starvationReservations: round.reservations });
    assert.deepEqual(
      next.starts.map((start) => start.job),
      [large],
    );
  });

  test("a starving job at its team's limit blocks the team's later jobs, with breaks for them to start", () => {
    const machine = newMachine("i-1");
    const other = newMachine("i-2");
    const running = newJob("req-1", { team: "capped", tasks: 8 });
    for (let i = 0; i < 3; i++) startTask(machine, running, i);
    const large = newJob("req-2", { team: "capped", cpus: 2 }, NOW - 150_000);
    const free = newJob("req-3");
    const later = newJob("req-4", { team: "capped" });
    const input = placementInput([running, large, later, free], [machine, other]);
    const startedJobs = (round: PlacementRound): string[] =>
      round.starts.map((start) => start.job.spec.id).sort();
    assert.deepEqual(startedJobs(fullRound(input)), ["req-3"]);
    // The block pauses after 60 s: no job may wait for 90 s while capacity is free.
    assert.deepEqual(startedJobs(fullRound({ ...input, wallNow: NOW + 40_000 })), ["req-3", "req-4"]);
  });
});

void describe("placement/image-locality", () => {
  test("with similar slack a job with a local image goes first, if enough machines have the other's image", () => {
    const machine = newMachine("i-1");
    machine.images.add("img-b");
    const first = newJob("req-1", { tasks: 4, image: "img-a", deadlineS: 300 });
    const local = newJob("req-2", { tasks: 4, image: "img-b", deadlineS: 310 });
    const servedJobs = (hasEnoughImageHolders: boolean, input = placementInput([first, local], [machine])) =>
      placeOnMachine(machine, buildQueue(input), input, () => hasEnoughImageHolders).starts.map(
        (start) => start.job.spec.id,
      );
    assert.deepEqual([...new Set(servedJobs(true))], ["req-2"]);
    assert.deepEqual([...new Set(servedJobs(false))], ["req-1"]);
    const urgent = newJob("req-3", { tasks: 4, image: "img-c", priority: "urgent", deadlineS: 900 });
    assert.deepEqual([...new Set(servedJobs(true, placementInput([urgent, local], [machine])))], ["req-3"]);
  });
});

void describe("jobs/shard-assignment", () => {
  test("jobs go to their team's shard, or with a single unlimited team to the shard with free capacity", () => {
    const several = new ShardAssignment(teams, 2);
    several.recordLoad(1, { capacity: 8, backlog: 100 });
    assert.equal(several.shardFor(jobSpec("req-1", { team: "capped" })), 1);
    const single = new ShardAssignment(teams.slice(0, 1), 2);
    single.recordLoad(0, { capacity: 8, backlog: 4 });
    single.recordLoad(1, { capacity: 8, backlog: -4 });
    const spec = jobSpec("req-1", { tasks: 10 });
    // The first job's demand is subtracted from the free capacity before the second job is assigned.
    assert.deepEqual([single.shardFor(spec), single.shardFor(spec)], [1, 0]);
    const limited = new ShardAssignment(teams.slice(1, 2), 2);
    assert.equal(limited.shardFor(jobSpec("req-1", { team: "capped" })), 0);
  });
});

void describe("shards/speed-tracker", () => {
  test("a machine that runs tasks much slower than others do is filled last, until it no longer does", () => {
    const speeds = new SpeedTracker(silentLogger);
    const [usual, slow] = [newMachine("i-1"), newMachine("i-2", { spot: true })];
    const complete = (machine: Machine, job: Job, index: number, runMs: number): void => {
      const placement = startTask(machine, job, index, NOW - runMs);
      speeds.recordFinished(placement, NOW);
      endTask(placement);
    };
    const waiting = newJob("req-9", { cpus: 4 });
    const chosenHost = (): string | undefined =>
      fullRound(placementInput([waiting], [usual, slow])).starts.map((start) => start.machine.host)[0];
    // Machines are compared within a job: tasks that all exceed the estimate say nothing about the machine.
    const underestimated = newJob("req-1", { tasks: 20, estimateS: 10 });
    for (let i = 0; i < 20; i++) complete(slow, underestimated, i, 20_000);
    assert.deepEqual([slow.isSlow, chosenHost()], [false, "i-2"]);
    const mixed = newJob("req-2", { tasks: 20, estimateS: 10 });
    for (let i = 0; i < 8; i++) complete(usual, mixed, i, 10_000);
    for (let i = 8; i < 16; i++) complete(slow, mixed, i, 40_000);
    assert.deepEqual([usual.isSlow, slow.isSlow, chosenHost()], [false, true, "i-1"]);
    const later = newJob("req-3", { tasks: 20, estimateS: 10 });
    for (let i = 0; i < 8; i++) complete(usual, later, i, 10_000);
    for (let i = 8; i < 16; i++) complete(slow, later, i, 10_000);
    assert.deepEqual([slow.isSlow, chosenHost()], [false, "i-2"]);
  });
});
