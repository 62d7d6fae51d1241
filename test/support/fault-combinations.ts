/* eslint-disable max-lines -- a list of short scenarios that are independent of each other */
/** Combinations of faults that the operators have listed, each produced deliberately rather than at random. */
import assert from "node:assert/strict";
import type { SimulatedNode, Simulation, UserJob } from "./simulation.js";
import type { SettingsOptions } from "./settings.js";
import { faults } from "./faults.js";
import { TEAMS } from "./workload.js";

/** A scenario that is run against a simulated deployment with jobs of its own. */
export interface FaultCombination {
  /** The condition, and the expected behavior where the scenario asserts more than the invariants. */
  name: string;
  settings?: SettingsOptions;
  /** Submits jobs and injects the faults; all faults have ended when it resolves. */
  run: (simulation: Simulation) => Promise<void>;
}

/** The run time of tasks that outlast the faults of most scenarios. */
const LONG_RUN_MS = 60_000;

/** Submits a job with long tasks, and waits until all of them run. */
async function startJob(
  simulation: Simulation,
  id: string,
  overrides: Record<string, unknown> = {},
): Promise<UserJob> {
  const job = submitLongJob(simulation, id, overrides);
  const taskCount = Number(job.body.pieces);
  assert.ok(
    await simulation.runUntil(() => simulation.runningTaskCount(job) === taskCount, 120_000),
    `all tasks of ${id} run`,
  );
  return job;
}

function submitLongJob(simulation: Simulation, id: string, overrides: Record<string, unknown> = {}): UserJob {
  (simulation.workers.runMsByJob ??= new Map()).set(id, LONG_RUN_MS);
  return simulation.submit(id, { pieces: 6, guessS: LONG_RUN_MS / 1000, ...overrides });
}

/** The owner of a shard, and another node, which is not the leader if possible. */
function ownerAndOther(
  simulation: Simulation,
  shard: number,
): { owner: SimulatedNode; other: SimulatedNode } {
  const owner = simulation.ownerOf(shard)!;
  const other =
    simulation.nodes.find((n) => n !== owner && n !== simulation.leader()) ?? simulation.nodes[0]!;
  return { owner, other };
}

async function crashAndRestart(
  simulation: Simulation,
  node: SimulatedNode,
  downtimeMs: number,
): Promise<void> {
  simulation.crash(node);
  await simulation.run(downtimeMs);
  simulation.startNode(node);
}

/**
 * Another controller confirms a cancellation that the owner cannot see, as the state service refuses its requests. Then
 * the state service is down for all, so that the owner does not learn of the cancellation from it either.
 */
function cancelBeforeOutage(refusedMs: number, outageMs: number, isCutFromPeers: boolean): FaultCombination {
  return {
    name: `a job is cancelled while the state service refuses its owner for ${refusedMs} ms before an outage of ${outageMs} ms${isCutFromPeers ? ", and the owner is cut off from its peers" : ""}`,
    async run(simulation) {
      const job = await startJob(simulation, "req-1");
      const { owner, other } = ownerAndOther(simulation, 0);
      simulation.store.refused.add(owner.index);
      owner.cut.peers = isCutFromPeers;
      await simulation.run(refusedMs / 2);
      await Promise.race([simulation.cancel(job, other), simulation.run(refusedMs / 2)]);
      assert.ok(
        job.cancelledAt !== null && simulation.runningTaskCount(job) > 0,
        "the cancellation is confirmed while tasks run",
      );
      simulation.store.down = true;
      await simulation.run(outageMs);
      simulation.store.refused.delete(owner.index);
      owner.cut.peers = false;
      simulation.store.down = false;
    },
  };
}

/** Cuts a node off from the state service, its peers and the workers, or restores these links. */
function setIsolated(node: SimulatedNode, isIsolated: boolean): void {
  node.cut.state = node.cut.peers = node.cut.workers = isIsolated;
}

export const faultCombinations: FaultCombination[] = [
  {
    name: "an owner is isolated for over a minute, and other controllers serve submissions and queries meanwhile",
    async run(simulation) {
      const before = await startJob(simulation, "req-1", { pieces: 8 });
      const { owner, other } = ownerAndOther(simulation, 0);
      const isolatedAt = simulation.now;
      setIsolated(owner, true);
      assert.ok(
        await simulation.runUntil(() => simulation.ownerOf(0) !== owner, 30_000),
        "the shard has another owner",
      );
      const meanwhile = simulation.submit("req-2", { pieces: 4 });
      assert.ok(
        await simulation.runUntil(() => meanwhile.isDone, 60_000),
        "a job submitted meanwhile is done",
      );
      assert.equal(
        (await Promise.race([simulation.queryJob(before, other), simulation.run(2000)]))?.status,
        200,
      );
      await simulation.run(Math.max(30_000, isolatedAt + 70_000 - simulation.now));
      setIsolated(owner, false);
      await simulation.run(5000);
    },
  },
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
  cancelBeforeOutage(2000, 45_000, false),
  cancelBeforeOutage(2000, 45_000, true),
  cancelBeforeOutage(500, 45_000, false),
  cancelBeforeOutage(8000, 45_000, true),
  {
    name: "a job is cancelled while the state service refuses its owner, and the owner starts none of its waiting tasks",
    async run(simulation) {
      simulation.cloud.capacity = 4;
      (simulation.workers.runMsByJob ??= new Map()).set("req-1", 3000);
      const job = simulation.submit("req-1", { pieces: 400, guessS: 2 });
      assert.ok(
        await simulation.runUntil(() => job.completedTasks.size > 8, 60_000),
        "the first tasks are completed",
      );
      const { owner, other } = ownerAndOther(simulation, 0);
      simulation.store.refused.add(owner.index);
      await Promise.race([simulation.cancel(job, other), simulation.run(3000)]);
      assert.ok(
        job.cancelledAt !== null && job.completedTasks.size < 300,
        "the cancellation is confirmed while tasks wait",
      );
      await simulation.run(12_000);
      assert.equal(simulation.invariants.startsAfterCancellation, 0);
      simulation.store.refused.delete(owner.index);
    },
  },
  {
    name: "a job is cancelled while its owner renews its lease and receives no changes from the state service",
    async run(simulation) {
      const job = await startJob(simulation, "req-1");
      const { owner, other } = ownerAndOther(simulation, 0);
      owner.cut.watches = true;
      await simulation.run(1000);
      await Promise.race([simulation.cancel(job, other), simulation.run(3000)]);
      assert.ok(
        job.cancelledAt !== null && simulation.runningTaskCount(job) > 0,
        "the cancellation is confirmed while tasks run",
      );
      await simulation.run(45_000);
      owner.cut.watches = false;
    },
  },
  {
    name: "an owner restarts while the heartbeats of half of the machines are lost, and the responses to the other half",
    async run(simulation) {
      await startJob(simulation, "req-1", { pieces: 12 });
      const { owner } = ownerAndOther(simulation, 0);
      const machines = [...simulation.cloud.machines.values()];
      machines.forEach((m, i) => (i % 2 === 0 ? (m.areHeartbeatsLost = true) : (m.areResponsesLost = true)));
      await crashAndRestart(simulation, owner, 3000);
      await simulation.run(8000);
      for (const m of machines) m.areHeartbeatsLost = m.areResponsesLost = false;
    },
  },
  {
    name: "transactions get no response and are applied late, after newer ones",
    async run(simulation) {
      simulation.delayedTransactionShare = 0.4;
      for (let i = 0; i < 8; i++) {
        submitLongJob(simulation, `req-${i}`, { pieces: 3, crew: i % 2 ? "tight" : "free" });
        await simulation.run(3000);
        if (i === 4) await crashAndRestart(simulation, simulation.leader()!, 300);
      }
      void simulation.cancel(simulation.jobs.get("req-3")!);
      await simulation.run(20_000);
      simulation.delayedTransactionShare = 0;
    },
  },
  {
    name: "a shard's owner crashes while a team is at its limit and heartbeats are lost, and a job is cancelled meanwhile",
    // The lease is so long that tasks of the previous owner still run when the next one decides.
    settings: { leaseS: 24, cancelS: 70 },
    async run(simulation) {
      const cancelled = await startJob(simulation, "req-1", { crew: "tight", pieces: 4, vcpus: 2 });
      const { owner, other } = ownerAndOther(simulation, 2);
      for (const m of simulation.cloud.machines.values()) m.areHeartbeatsLost = true;
      simulation.crash(owner);
      await Promise.race([simulation.cancel(cancelled, other), simulation.run(5000)]);
      assert.ok(await simulation.runUntil(() => simulation.ownerOf(2) !== owner, 30_000));
      // This job is accepted in the new owner's term, so it need not wait for machines that have not reported yet.
      submitLongJob(simulation, "req-2", { crew: "tight", pieces: 8, vcpus: 2 });
      await simulation.run(9000);
      assert.ok(
        simulation.runningTaskCount(cancelled) > 0,
        "tasks of the cancelled job still run without reporting",
      );
      for (const m of simulation.cloud.machines.values()) m.areHeartbeatsLost = false;
      simulation.startNode(owner);
    },
  },
  {
    name: "a zone with workers and a controller is isolated for longer than a lease",
    async run(simulation) {
      await startJob(simulation, "req-1", { spread: true, pieces: 12 });
      submitLongJob(simulation, "req-2", { crew: "capped", pieces: 8 });
      simulation.isolatedZone = "south";
      await simulation.run(25_000);
      simulation.isolatedZone = null;
    },
  },
  {
    name: "old heartbeats arrive after newer ones, at the next owner too",
    async run(simulation) {
      simulation.workers.duplicateShare = 1;
      for (let i = 0; i < 4; i++) {
        submitLongJob(simulation, `req-${i}`, { pieces: 4 });
        await simulation.run(4000);
        await crashAndRestart(simulation, simulation.ownerOf(0)!, i % 2 ? 300 : 6000);
      }
      await simulation.run(15_000);
      simulation.workers.duplicateShare = 0;
    },
  },
  {
    name: "heartbeats from before a machine's tasks started arrive once more at the next owner after it has taken over",
    settings: { leaseS: 24, cancelS: 70 },
    async run(simulation) {
      simulation.isRecordingHeartbeats = true;
      await startJob(simulation, "req-1");
      simulation.isRecordingHeartbeats = false;
      const { owner } = ownerAndOther(simulation, 0);
      const [fullest] = [...simulation.cloud.machines.values()].sort(
        (a, b) => b.running.size - a.running.size,
      );
      fullest!.areHeartbeatsLost = true;
      simulation.crash(owner);
      assert.ok(await simulation.runUntil(() => simulation.ownerOf(0) !== owner, 30_000));
      await simulation.run(1000);
      simulation.replayEmptyHeartbeats();
      await simulation.run(8000);
      fullest!.areHeartbeatsLost = false;
      simulation.startNode(owner);
    },
  },
  {
    name: "tasks of the same job end far apart while the leader and then an owner restart",
    async run(simulation) {
      const runMsByJob = (simulation.workers.runMsByJob ??= new Map());
      for (let i = 0; i < 6; i++) {
        simulation.submit(`req-${i}`, { pieces: 2 + (i % 2), vcpus: 3 });
        runMsByJob.set(`req-${i}`, 2000);
        // Tasks that start after the second one run much longer.
        simulation.onFirstStart(`req-${i}/1`, () => runMsByJob.set(`req-${i}`, 25_000));
      }
      await simulation.run(15_000);
      await crashAndRestart(simulation, simulation.leader()!, 400);
      await simulation.run(10_000);
      await crashAndRestart(simulation, simulation.ownerOf(0)!, 3000);
    },
  },
  {
    name: "a leader is cut off from the state service and its peers, and no user gets an outdated state from it of jobs cancelled elsewhere",
    async run(simulation) {
      const jobs = [
        await startJob(simulation, "req-1"),
        await startJob(simulation, "req-2", { crew: "capped" }),
      ];
      const leader = simulation.leader()!;
      const other = simulation.nodes.find((n) => n !== leader)!;
      leader.cut.state = leader.cut.peers = true;
      await simulation.run(4000);
      await Promise.race([
        Promise.all(jobs.map((job) => simulation.cancel(job, other))),
        simulation.run(8000),
      ]);
      assert.ok(jobs.every((job) => job.cancelledAt !== null));
      // The leader that is cut off must not report an older state either.
      for (let i = 0; i < 5; i++) {
        for (const job of jobs) await Promise.race([simulation.queryJob(job, leader), simulation.run(2500)]);
        await simulation.run(4000);
      }
      leader.cut.state = leader.cut.peers = false;
    },
  },
  {
    name: "an owner is cut off from the state service and its peers while workers with long tasks still reach it",
    async run(simulation) {
      await startJob(simulation, "req-1", { pieces: 10 });
      const { owner } = ownerAndOther(simulation, 0);
      owner.cut.state = owner.cut.peers = true;
      await simulation.run(28_000);
      owner.cut.state = owner.cut.peers = false;
    },
  },
  {
    name: "a shard is handed over repeatedly, then all controllers crash and one restarts after 0.3 s",
    async run(simulation) {
      await startJob(simulation, "req-1", { pieces: 10 });
      for (let i = 0; i < 3; i++) {
        const { owner, other } = ownerAndOther(simulation, 0);
        const request = { handOver: { shard: 0, targetNode: other.name } };
        void owner.instance?.controller.answerPeer(request);
        await simulation.run(1500);
      }
      for (const node of simulation.nodes) simulation.crash(node);
      await simulation.run(300);
      simulation.startNode(simulation.nodes[1]!);
      await simulation.run(12_000);
      simulation.startNode(simulation.nodes[0]!);
      simulation.startNode(simulation.nodes[2]!);
    },
  },
  {
    name: "responses to workers are delayed by seconds while machines hang and resume",
    async run(simulation) {
      const job = await startJob(simulation, "req-1", { pieces: 10 });
      submitLongJob(simulation, "req-2", { pieces: 20 });
      simulation.maxResponseDelayMs = 6000;
      const hung = [...simulation.cloud.machines.values()].slice(0, 3).map((m, i) => m.hang(4000 + 5000 * i));
      void simulation.cancel(job);
      await Promise.race([Promise.all(hung), simulation.run(20_000)]);
      simulation.maxResponseDelayMs = 0;
    },
  },
  {
    name: "the state service is slow, then refuses the leader, then everyone, while users cancel jobs",
    async run(simulation) {
      const job = await startJob(simulation, "req-1");
      simulation.stateLatencyMs = 600;
      await simulation.run(5000);
      const leader = simulation.leader()!;
      simulation.store.refused.add(leader.index);
      void simulation.cancel(job);
      await simulation.run(3000);
      simulation.store.down = true;
      void simulation.cancel(submitLongJob(simulation, "req-2"));
      await simulation.run(35_000);
      simulation.store.refused.delete(leader.index);
      simulation.store.down = false;
      await simulation.run(10_000);
      simulation.stateLatencyMs = 4;
    },
  },
  {
    name: "a job is cancelled while its workers reach no controller",
    async run(simulation) {
      const job = await startJob(simulation, "req-1", { pieces: 8 });
      await startJob(simulation, "req-2", { pieces: 8 });
      for (const m of simulation.cloud.machines.values()) m.areHeartbeatsLost = true;
      void simulation.cancel(job);
      await simulation.run(22_000);
      for (const m of simulation.cloud.machines.values()) m.areHeartbeatsLost = false;
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
    name: "jobs with placement constraints lose half of the machines before their owner restarts",
    async run(simulation) {
      await startJob(simulation, "req-1", { bank: "south" });
      await startJob(simulation, "req-2", { together: true });
      await startJob(simulation, "req-3", { spread: true });
      for (const { host } of [...simulation.cloud.machines.values()].filter((_, i) => i % 2 === 0))
        simulation.cloud.machines.get(host)?.stop();
      await simulation.run(5000);
      await crashAndRestart(simulation, simulation.ownerOf(0)!, 300);
    },
  },
  {
    name: "jobs are cancelled, queried and submitted again as their last task completes",
    async run(simulation) {
      const cancellations = faults.cancelAtCompletion!(simulation, 60_000);
      for (let i = 0; i < 20; i++) {
        const job = simulation.submit(`req-${i}`, { pieces: 1 + (i % 3) });
        (simulation.workers.runMsByJob ??= new Map()).set(job.id, 1000 + simulation.randomBelow(4000));
        await simulation.run(2500);
        for (const submitted of simulation.jobs.values())
          if (submitted.isAccepted) void simulation.resubmit(submitted);
      }
      await Promise.race([cancellations, simulation.run(60_000)]);
    },
  },
  {
    name: "all controllers are down for longer than a lease",
    async run(simulation) {
      await startJob(simulation, "req-1", { pieces: 10 });
      submitLongJob(simulation, "req-2", { crew: "tight", pieces: 10 });
      for (const node of simulation.nodes) simulation.crash(node);
      await simulation.run(25_000);
      for (const node of simulation.nodes) simulation.startNode(node);
    },
  },
  {
    name: "the leader crashes ten times in two minutes, also during an outage of the state service",
    async run(simulation) {
      await startJob(simulation, "req-1", { pieces: 10 });
      for (let i = 0; i < 10; i++) {
        if (i === 4) simulation.store.down = true;
        if (i === 6) simulation.store.down = false;
        submitLongJob(simulation, `req-1${i}`, { pieces: 2, crew: i % 2 ? "capped" : "free" });
        await crashAndRestart(
          simulation,
          simulation.leader() ?? simulation.nodes[0]!,
          i % 3 === 0 ? 300 : 4000,
        );
        await simulation.run(8000);
      }
    },
  },
  {
    name: "all jobs are cancelled at the same time while their machines hang",
    async run(simulation) {
      const jobs = [];
      for (let i = 0; i < 4; i++) jobs.push(await startJob(simulation, `req-${i}`, { pieces: 4 }));
      const hung = [...simulation.cloud.machines.values()].map((m, i) => m.hang(3000 * (1 + (i % 5))));
      for (const job of jobs) void simulation.cancel(job);
      await Promise.race([Promise.all(hung), simulation.run(20_000)]);
    },
  },
];
