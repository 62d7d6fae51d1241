/** Combinations of faults that the operators have listed, each produced deliberately rather than at random. */
import assert from "node:assert/strict";
import {
  type FaultCombination,
  crashAndRestart,
  ownerAndOther,
  startJob,
  submitLongJob,
} from "./scenario.js";
import type { SimulatedNode } from "./simulation.js";

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
];
