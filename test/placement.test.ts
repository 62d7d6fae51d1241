/** Order, forecast, preemption and shardAssignment, on small cases whose answers a person can check. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { ShardAssignment } from "../src/jobs/shard-assignment.js";
import { forecastUnmetDemand } from "../src/placement/capacity-forecast.js";
import { buildQueue, orderByPriority } from "../src/placement/job-queue.js";
import { placeOnMachine, placeRound, type PlacementRound } from "../src/placement/placement-round.js";
import { choosePreemptions } from "../src/placement/preemption.js";
import { SpeedTracker } from "../src/shards/speed-tracker.js";
import type { PlacementInput } from "../src/placement/scheduling-context.js";
import type { JobSpec } from "../src/wire/index.js";
import { attach, type Placement } from "../src/workers/placement.js";
import { Job } from "../src/workers/job.js";
import { Machine } from "../src/workers/machine.js";
import { jobSpec, silent, smallType } from "./support/records.js";
import { testSettings } from "./support/settings.js";

const { teams } = testSettings();
const NOW = 1_000_000;

function job(id: string, over: Partial<JobSpec> = {}, acceptedAt = NOW): Job {
  return new Job(jobSpec(id, over), acceptedAt, 1);
}

function machine(host: string, spot = false, zone = "north"): Machine {
  const of = { groupKey: "g", shard: 0, type: "small", zone, spot, since: 0 };
  const record = { ...of, draining: false, hasReported: true };
  const made = new Machine(host, record, 0);
  made.followsTerm = true;
  return made;
}

function run(on: Machine, of: Job, index: number, since = NOW): Placement {
  const placement: Placement = {
    job: of,
    index,
    attempt: index + 1,
    machine: on,
    state: "running",
    stateSince: since,
    resumed: false,
    missedHeartbeats: 0,
    stop: null,
  };
  attach(placement);
  return placement;
}

function input(
  jobs: Job[],
  machines: Machine[],
  over: Partial<PlacementInput> = {},
): PlacementInput & { reportMs: number } {
  return {
    jobs,
    machines,
    types: new Map([[smallType.name, smallType]]),
    teams,
    objectives: [],
    runtimeRatio: () => 1,
    now: NOW,
    wallNow: NOW,
    recovered: true,
    termToken: 0,
    reservedQuota: new Map(),
    preemptionReservations: new Map(),
    resumeAt: null,
    starvationReservations: new Map(),
    reportMs: 2000,
    ...over,
  };
}

const wholeRound = (of: PlacementInput, clock = () => 0, deadline = 1): PlacementRound =>
  placeRound(of, buildQueue(of), clock, deadline);

test("urgent work comes first, then what can wait least for its aim", () => {
  const objectives = [{ kind: "finished", className: "nightly", withinS: 500 }];
  const nightly = job("req-1", { className: "nightly" });
  const soon = job("req-2", { deadlineS: 200 });
  const urgent = job("req-3", { priority: "urgent", deadlineS: 900 });
  const order = orderByPriority([nightly, soon, urgent], input([], [], { objectives }));
  assert.deepEqual(
    order.map((j) => j.spec.id),
    ["req-3", "req-2", "req-1"],
  );
});

test("where a team's limit cannot hold all in time, the largest job is left behind", () => {
  // Four processors: the large job alone takes 600 s, the small ones 60 s each.
  const large = job("req-1", { team: "capped", tasks: 40, deadlineS: 300 });
  const small = ["req-2", "req-3"].map((id) => job(id, { team: "capped", tasks: 4, deadlineS: 310 }));
  const order = orderByPriority([large, ...small], input([], []));
  assert.deepEqual(
    order.map((j) => j.spec.id),
    ["req-2", "req-3", "req-1"],
  );
});

// Fails without the order by `guest`: arrays of a guest team once went before the shard's own jobs as soon as they were late.
test("a guest from another team's shard goes behind the shard's own jobs of its rank, unless nothing of it has begun for long", () => {
  const guestOf = (acceptedAt: number, priority: JobSpec["priority"]): Job =>
    new Job(jobSpec("req-3", { priority, tasks: 300 }), acceptedAt, 1, Infinity, true);
  const own = job("req-1", { priority: "best_effort" });
  const urgent = job("req-2", { priority: "urgent" });
  const late = NOW - 100_000;
  const order = (guest: Job): string[] =>
    orderByPriority([guest, own, urgent], input([], [])).map((entry) => entry.spec.id);
  assert.deepEqual(order(guestOf(late, "normal")), ["req-2", "req-1", "req-3"]);
  assert.deepEqual(order(guestOf(late, "critical")), ["req-3", "req-2", "req-1"]);
  assert.deepEqual(order(guestOf(NOW - 130_000, "normal")), ["req-3", "req-2", "req-1"]);
  const begun = guestOf(NOW - 400_000, "normal");
  run(machine("i-1"), begun, 0);
  assert.deepEqual(order(begun), ["req-2", "req-1", "req-3"], "once begun it waits longer");
});

test("only tasks that running ones will not make room for in time are worth renting for", () => {
  const host = machine("i-1");
  const running = job("req-1", { tasks: 4, estimateS: 60 });
  // Two end in 10 s, two in 50 s; a rented machine would be there in 24 s.
  [50_000, 50_000, 10_000, 10_000].forEach((ago, i) => run(host, running, i, NOW - ago));
  const queued = job("req-2", { tasks: 5, deadlineS: 65, estimateS: 60 });
  const rest = forecastUnmetDemand({ ...input([running, queued], [host]), waiting: new Map([[queued, 5]]) });
  assert.deepEqual(rest, [{ job: queued, count: 3, zone: null }]);
});

test("what must be spread or together is rented for where it may run", () => {
  const waiting = (one: Job, hosts: Machine[]) => {
    const rest = forecastUnmetDemand({ ...input([one], hosts), waiting: new Map([[one, one.waiting]]) });
    return rest.map(({ count, zone }) => [count, zone]);
  };
  const spread = job("req-1", { tasks: 5, spread: true });
  assert.deepEqual(waiting(spread, []), [
    [3, "north"],
    [2, "south"],
  ]);
  assert.deepEqual(waiting(job("req-3", { spread: true, zone: "south" }), []), [[1, "south"]]);
  // Room in a zone where half of it already is counts for nothing.
  const north = machine("i-1");
  run(north, spread, 0);
  run(north, spread, 1);
  run(north, spread, 2);
  assert.deepEqual(waiting(spread, [north]), [[2, "south"]]);
  const together = job("req-2", { tasks: 6, oneZone: true });
  const south = machine("i-2", false, "south");
  run(south, together, 0);
  assert.deepEqual(waiting(together, [machine("i-3"), south]), [[2, "south"]]);
});

test("urgent work stops lower work that saves, and no more of it than it needs", () => {
  const host = machine("i-1");
  const low = job("req-1", { tasks: 4, priority: "best_effort", checkpointS: 20, saveS: 2, estimateS: 300 });
  for (let i = 0; i < 4; i++) run(host, low, i);
  const urgent = job("req-2", { tasks: 2, priority: "urgent" });
  const { victims } = choosePreemptions(input([low, urgent], [host]));
  assert.equal(victims.length, 2);
});

test("work that cannot be saved is not thrown away once it is well begun, and equals do not stop each other", () => {
  const host = machine("i-1");
  const low = job("req-1", { tasks: 4, priority: "best_effort", estimateS: 100 });
  for (let i = 0; i < 4; i++) run(host, low, i, NOW - 50_000);
  const urgent = job("req-2", { priority: "urgent" });
  assert.deepEqual(choosePreemptions(input([low, urgent], [host])).victims, []);
  const other = machine("i-2");
  const equal = job("req-3", { tasks: 4, priority: "urgent", checkpointS: 20, estimateS: 300 });
  for (let i = 0; i < 4; i++) run(other, equal, i);
  assert.deepEqual(choosePreemptions(input([equal, urgent], [other])).victims, []);
});

test("room that is made is kept, and tasks that outrun their estimates promise none", () => {
  const host = machine("i-1");
  const low = job("req-1", { tasks: 9, cpus: 2, priority: "normal", checkpointS: 20, estimateS: 20 });
  run(host, low, 0, NOW - 1000);
  run(host, low, 1, NOW - 60_000);
  const urgent = job("req-2", { cpus: 3, priority: "urgent" });
  const of = input([low, urgent], [host]);
  // The one that has long outrun its estimate may run for long: both must be stopped for three processors.
  const { victims, reserved } = choosePreemptions(of);
  assert.deepEqual([victims.length, reserved.get(host)], [2, urgent]);
  for (const victim of victims) {
    host.detach(victim);
    low.detach(victim);
  }
  // Less urgent work does not take the room before the job that it was made for has had its turn.
  const late = { ...of, jobs: [low], preemptionReservations: reserved };
  assert.equal(wholeRound(late).starts.length, 0);
  assert.equal(placeOnMachine(host, buildQueue(late), late, () => false).starts.length, 0);
  assert.deepEqual(
    wholeRound({ ...of, preemptionReservations: reserved }).starts.map((s) => s.job),
    [urgent],
  );
});

test("a task that was stopped once is not stopped again for work that is not urgent", () => {
  const host = machine("i-1");
  const low = job("req-1", { tasks: 4, priority: "best_effort", checkpointS: 20, saveS: 2, estimateS: 300 });
  for (let i = 0; i < 4; i++) run(host, low, i).resumed = true;
  const normal = job("req-2", { deadlineS: 85 });
  assert.deepEqual(choosePreemptions(input([low, normal], [host])).victims, []);
  for (const placement of host.placements) placement.resumed = false;
  assert.equal(choosePreemptions(input([low, normal], [host])).victims.length, 1);
});

test("a round that runs out of time says where the next one goes on", () => {
  const jobs = ["req-1", "req-2", "req-3"].map((id, i) => job(id, {}, NOW + i));
  const host = machine("i-1");
  // Each look at the clock takes all of the time there is: one job a round.
  const round = wholeRound(input(jobs, [host]), () => 10, 5);
  assert.deepEqual([round.starts.length, round.resumeAt], [1, "req-2"]);
  const next = wholeRound(input(jobs, [host], { resumeAt: "req-2" }), () => 0, 5);
  assert.deepEqual([next.starts.map((s) => s.job.spec.id), next.resumeAt], [["req-2", "req-3"], null]);
});

test("spot machines are filled before ordinary ones, and a fuller one before an empty one", () => {
  const [ordinary, empty, fuller] = [machine("i-1"), machine("i-2", true), machine("i-3", true)];
  run(fuller, job("req-1"), 0);
  const { starts } = wholeRound(input([job("req-2", { tasks: 8 })], [ordinary, empty, fuller]));
  assert.deepEqual(
    starts.map((s) => s.machine.host),
    ["i-3", "i-3", "i-3", "i-2", "i-2", "i-2", "i-2", "i-1"],
  );
});

test("teams keep to their shards; jobs of a single team go where there is room", () => {
  const several = new ShardAssignment(teams, 2);
  several.recordLoad(1, { capacity: 8, backlog: 100 });
  assert.equal(several.shardFor(jobSpec("req-1", { team: "capped" })), 1);
  const single = new ShardAssignment(teams.slice(0, 1), 2);
  single.recordLoad(0, { capacity: 8, backlog: 4 });
  single.recordLoad(1, { capacity: 8, backlog: -4 });
  const spec = jobSpec("req-1", { tasks: 10 });
  // The first one fills the room that the second then does not count on.
  assert.deepEqual([single.shardFor(spec), single.shardFor(spec)], [1, 0]);
  const limited = new ShardAssignment(teams.slice(1, 2), 2);
  assert.equal(limited.shardFor(jobSpec("req-1", { team: "capped" })), 0);
});

test("a report costs what it changes: its machine's room is offered, whatever the size of the shard", () => {
  const few = [machine("i-0"), machine("i-1")];
  const many = Array.from({ length: 400 }, (_, i) => machine(`i-${i}`));
  const jobs = ["req-1", "req-2", "req-3"].map((id) => job(id, { tasks: 50 }));
  const steps = (machines: Machine[]): number => {
    const of = input(jobs, machines);
    const round = placeOnMachine(machines[0]!, buildQueue(of), of, () => false);
    assert.ok(round.starts.length > 0 && round.starts.every((s) => s.machine === machines[0]));
    return round.steps;
  };
  assert.equal(steps(many), steps(few));
  assert.ok(steps(many) <= jobs.length);
});

test("an overdue job goes before urgent and smaller ones, and one machine is kept until its large task fits", () => {
  const host = machine("i-1");
  const small = job("req-1", { tasks: 100, priority: "urgent" });
  for (let i = 0; i < 3; i++) run(host, small, i);
  const large = job("req-2", { cpus: 4, priority: "best_effort" }, NOW - 150_000);
  const of = input([small, large], [host]);
  const round = wholeRound(of);
  // One processor is free, and the small tasks that keep coming do not get it.
  assert.deepEqual([round.starts.length, round.reservations.get(host)], [0, large]);
  assert.equal(
    placeOnMachine(host, buildQueue(of), { ...of, starvationReservations: round.reservations }, () => false)
      .starts.length,
    0,
  );
  for (const placement of [...host.placements]) {
    host.detach(placement);
    small.detach(placement);
  }
  const next = wholeRound({ ...of, starvationReservations: round.reservations });
  assert.deepEqual(
    next.starts.map((s) => s.job),
    [large],
  );
});

test("an overdue job at its team's limit lets no later job of its team pass, for a while at a time", () => {
  const host = machine("i-1");
  const other = machine("i-2");
  const running = job("req-1", { team: "capped", tasks: 8 });
  for (let i = 0; i < 3; i++) run(host, running, i);
  const large = job("req-2", { team: "capped", cpus: 2 }, NOW - 150_000);
  const free = job("req-3");
  const later = job("req-4", { team: "capped" });
  const of = input([running, large, later, free], [host, other]);
  const started = (round: PlacementRound): string[] => round.starts.map((s) => s.job.spec.id).sort();
  assert.deepEqual(started(wholeRound(of)), ["req-3"]);
  // Nobody waits beside room for a minute and a half: those behind it get their turn before that.
  assert.deepEqual(started(wholeRound({ ...of, wallNow: NOW + 40_000 })), ["req-3", "req-4"]);
});

test("of jobs that can wait alike the one whose image is on the machine goes first, if others have machines enough", () => {
  const host = machine("i-1");
  host.images.add("img-b");
  const first = job("req-1", { tasks: 4, image: "img-a", deadlineS: 300 });
  const near = job("req-2", { tasks: 4, image: "img-b", deadlineS: 310 });
  const served = (atHome: boolean, of = input([first, near], [host])) =>
    placeOnMachine(host, buildQueue(of), of, () => atHome).starts.map((s) => s.job.spec.id);
  assert.deepEqual([...new Set(served(true))], ["req-2"]);
  assert.deepEqual([...new Set(served(false))], ["req-1"]);
  const urgent = job("req-3", { tasks: 4, image: "img-c", priority: "urgent", deadlineS: 900 });
  assert.deepEqual([...new Set(served(true, input([urgent, near], [host])))], ["req-3"]);
});

test("urgent work goes where its image is rather than where machines are cheap", () => {
  const [cheap, near] = [machine("i-1", true), machine("i-2")];
  near.images.add("img-1");
  const where = (priority: JobSpec["priority"]) =>
    wholeRound(input([job("req-1", { priority })], [cheap, near])).starts.map((s) => s.machine.host);
  assert.deepEqual([where("urgent"), where("normal")], [["i-2"], ["i-1"]]);
});

test("a machine on which tasks take much longer than others of their jobs is filled last, until they do not", () => {
  const speeds = new SpeedTracker(silent);
  const [usual, slow] = [machine("i-1"), machine("i-2", true)];
  const complete = (on: Machine, of: Job, index: number, runMs: number): void => {
    const placement = run(on, of, index, NOW - runMs);
    speeds.finished(placement, NOW);
    on.detach(placement);
    of.detach(placement);
  };
  const waiting = job("req-9", { cpus: 4 });
  const chosen = (): string | undefined =>
    wholeRound(input([waiting], [usual, slow])).starts.map((start) => start.machine.host)[0];
  // Whatever the estimate: a job whose tasks all take twice as long says nothing of the machine.
  const underestimated = job("req-1", { tasks: 20, estimateS: 10 });
  for (let i = 0; i < 20; i++) complete(slow, underestimated, i, 20_000);
  assert.deepEqual([slow.slow, chosen()], [false, "i-2"]);
  const mixed = job("req-2", { tasks: 20, estimateS: 10 });
  for (let i = 0; i < 8; i++) complete(usual, mixed, i, 10_000);
  for (let i = 8; i < 16; i++) complete(slow, mixed, i, 40_000);
  assert.deepEqual([usual.slow, slow.slow, chosen()], [false, true, "i-1"]);
  const later = job("req-3", { tasks: 20, estimateS: 10 });
  for (let i = 0; i < 8; i++) complete(usual, later, i, 10_000);
  for (let i = 8; i < 16; i++) complete(slow, later, i, 10_000);
  assert.deepEqual([slow.slow, chosen()], [false, "i-2"]);
});
