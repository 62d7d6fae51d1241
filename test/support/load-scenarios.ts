/** Scenarios of much work: many requests, large jobs, more tasks than capacity, and machines that come up late. */
import assert from "node:assert/strict";
import { MAX_TASKS_PER_MACHINE } from "../../src/wire/index.js";
import { type FaultCombination, startJob, submitLongJob } from "./scenario.js";
import { TEAMS } from "./workload.js";

export const loadScenarios: FaultCombination[] = [
  {
    name: "users send 400 queries per second; submissions are accepted, no lease expires, and the state service's rate limit holds",
    async run(simulation) {
      const job = await startJob(simulation, "req-1", { pieces: 12 });
      const requestsBefore = simulation.store.requests;
      const SECONDS = 20;
      let answered = 0;
      for (let i = 0; i < SECONDS * 10; i++) {
        for (let k = 0; k < 40; k++)
          void simulation
            .queryJob(job, simulation.nodes[k % 3])
            .then(({ status }) => (answered += status === 200 ? 1 : 0));
        if (i === 100) simulation.submit("req-2", { pieces: 2 });
        await simulation.run(100);
        if (i === 110)
          assert.ok(simulation.jobs.get("req-2")?.isAccepted, "a submission is accepted within a second");
      }
      assert.ok(answered > SECONDS * 100, `${answered} queries are answered`);
      const perSecond = (simulation.store.requests - requestsBefore) / SECONDS;
      assert.ok(
        perSecond < simulation.settings.state.rps,
        `${perSecond} requests per second to the state service`,
      );
      assert.equal(simulation.runningTaskCount(job), 12, "no task was lost to an expired lease");
    },
  },
  {
    name: "one team's large array and many one-task jobs share spare capacity at low priority, and urgent tasks start at once",
    // The fourth team is in the same shard as the first.
    settings: { teams: `${TEAMS}\n[[settings.teams]]\nname = "guest"` },
    async run(simulation) {
      simulation.cloud.capacity = 8;
      const runMsByJob = (simulation.workers.runMsByJob ??= new Map());
      runMsByJob.set("req-1", 3000);
      simulation.submit("req-1", { crew: "guest", pieces: 3000, guessS: 3, rank: "best_effort" });
      await simulation.run(15_000);
      for (let i = 100; i < 160; i++) {
        runMsByJob.set(`req-${i}`, 3000);
        simulation.submit(`req-${i}`, { crew: "guest", pieces: 1, guessS: 3, rank: "best_effort" });
      }
      const urgent = simulation.submit("req-2", { rank: "urgent", pieces: 2, vcpus: 2 });
      assert.ok(
        await simulation.runUntil(() => simulation.runningTaskCount(urgent) === 2, 15_000),
        "the urgent tasks run",
      );
      const smallJobs = [...simulation.jobs.values()].filter(({ id }) => /^req-1\d\d$/.test(id));
      assert.ok(
        await simulation.runUntil(() => smallJobs.every((job) => job.isDone), 240_000),
        "the one-task jobs are done",
      );
    },
  },
  {
    name: "half of the machines boot late or never, and all queued tasks still start within 45 s",
    async run(simulation) {
      simulation.workers.lateBootShare = 0.5;
      for (let i = 0; i < 10; i++) submitLongJob(simulation, `req-${i}`, { pieces: 8 });
      const jobs = [...simulation.jobs.values()];
      const runningCount = (): number => jobs.reduce((sum, job) => sum + simulation.runningTaskCount(job), 0);
      assert.ok(
        await simulation.runUntil(() => runningCount() === 80, 45_000),
        `${runningCount()} of 80 tasks run`,
      );
      simulation.workers.lateBootShare = 0;
    },
  },
  {
    name: "jobs of all priorities exceed the capacity while responses to workers are slow",
    async run(simulation) {
      simulation.cloud.capacity = 4;
      simulation.maxResponseDelayMs = 1500;
      for (let i = 0; i < 24; i++) {
        const rank = ["best_effort", "normal", "urgent"][i % 3];
        const crew = ["free", "capped", "tight"][simulation.randomBelow(3)];
        const overrides = { rank, crew, pieces: 3, markEveryS: 5, markCostS: 1, vcpus: 1 + (i % 3) };
        simulation.submit(`req-${i}`, overrides);
        await simulation.run(1000);
      }
      await simulation.run(10_000);
      simulation.maxResponseDelayMs = 0;
    },
  },
  {
    name: "one shard holds all machines at the cloud's capacity, and the first job of another shard still gets one",
    async run(simulation) {
      simulation.cloud.capacity = 4;
      for (let i = 0; i < 12; i++) simulation.submit(`req-${i}`, { pieces: 4, vcpus: 3 });
      assert.ok(await simulation.runUntil(() => simulation.cloud.machines.size === 4, 30_000));
      await simulation.run(30_000);
      const waiting = simulation.submit("req-20", { crew: "capped", pieces: 2 });
      assert.ok(
        await simulation.runUntil(() => simulation.runningTaskCount(waiting) > 0, 75_000),
        "the other shard's job runs",
      );
      assert.ok(simulation.unfinishedJobs().length > 2, "the first shard still has a queue");
    },
  },
  {
    // Guards against machines with more tasks than their heartbeats can list: their leases ended, with all their tasks.
    name: "a job of thousands of tasks that need next to nothing fills all machines and is cancelled, and no other task is lost",
    async run(simulation) {
      const machines = 3;
      // Longer than the scenario, so that no task ends by itself.
      const runMs = 300_000;
      const runMsByJob = (simulation.workers.runMsByJob ??= new Map());
      runMsByJob.set("req-1", runMs).set("req-2", runMs);
      const ordinary = simulation.submit("req-1", { pieces: machines, vcpus: 3, guessS: runMs / 1000 });
      assert.ok(
        await simulation.runUntil(() => simulation.runningTaskCount(ordinary) === machines, 60_000),
        "the ordinary tasks run",
      );
      const size = { pieces: 5000, vcpus: 0.0001, memGb: 0.0001 };
      const mistaken = simulation.submit("req-2", { ...size, guessS: runMs / 1000 });
      const mostTasks = machines * (MAX_TASKS_PER_MACHINE - 1);
      assert.ok(
        await simulation.runUntil(() => simulation.runningTaskCount(mistaken) === mostTasks, 60_000),
        `${simulation.runningTaskCount(mistaken)} of ${mostTasks} tasks run`,
      );
      await simulation.run(20_000);
      assert.equal(simulation.runningTaskCount(mistaken), mostTasks);
      assert.equal(simulation.cloud.machines.size, machines, "no machine was rented for tiny tasks");
      void simulation.cancel(mistaken);
      assert.ok(
        await simulation.runUntil(() => simulation.runningTaskCount(mistaken) === 0, 15_000),
        "the tasks of the cancelled job are gone",
      );
      assert.equal(simulation.runningTaskCount(ordinary), machines, "no ordinary task was lost");
    },
  },
];
