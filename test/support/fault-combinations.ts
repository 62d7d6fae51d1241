/* eslint-disable max-lines -- a list of rows, each of them short and independent of the others */
/** The faultCombinations of faults that the operators have listed, each brought about on purpose. */
import assert from "node:assert/strict";
import type { SimulatedNode, Simulation, UserJob } from "./simulation.js";
import type { SettingsOptions } from "./settings.js";
import { faults } from "./faults.js";
import { TEAMS } from "./workload.js";

export interface FaultCombination {
  name: string;
  settings?: SettingsOptions;
  run: (simulation: Simulation) => Promise<void>;
}

const LONG_RUN_MS = 60_000;

/** A job all of whose tasks run. */
async function startJob(
  simulation: Simulation,
  id: string,
  over: Record<string, unknown> = {},
): Promise<UserJob> {
  const job = submitLongJob(simulation, id, over);
  const all = Number(job.body.pieces);
  assert.ok(await simulation.runUntil(() => simulation.runningTaskCount(job) === all, 120_000), `${id} runs`);
  return job;
}

function submitLongJob(simulation: Simulation, id: string, over: Record<string, unknown> = {}): UserJob {
  (simulation.workers.runOf ??= new Map()).set(id, LONG_RUN_MS);
  return simulation.submit(id, { pieces: 6, guessS: LONG_RUN_MS / 1000, ...over });
}

/** The owner of the shard that a team's jobs are in, and a node that is neither that nor the leader. */
function ownerAndOther(
  simulation: Simulation,
  shard: number,
): { owner: SimulatedNode; other: SimulatedNode } {
  const owner = simulation.ownerOf(shard)!;
  const other =
    simulation.nodes.find((n) => n !== owner && n !== simulation.leader()) ?? simulation.nodes[0]!;
  return { owner, other };
}

async function crashAndRestart(simulation: Simulation, node: SimulatedNode, backMs: number): Promise<void> {
  simulation.crash(node);
  await simulation.run(backMs);
  simulation.startNode(node);
}

/** The state service refuses the owner alone, another controller confirms, then it is out for all. */
function cancelBeforeOutage(refusedMs: number, outageMs: number, fromPeers: boolean): FaultCombination {
  return {
    name: `cancelled while the owner alone is refused for ${refusedMs} ms, then an outage of ${outageMs} ms${fromPeers ? ", no peers" : ""}`,
    async run(simulation) {
      const job = await startJob(simulation, "req-1");
      const { owner, other } = ownerAndOther(simulation, 0);
      simulation.store.refused.add(owner.index);
      owner.cut.peers = fromPeers;
      await simulation.run(refusedMs / 2);
      await Promise.race([simulation.cancel(job, other), simulation.run(refusedMs / 2)]);
      assert.ok(
        job.cancelledAt !== null && simulation.runningTaskCount(job) > 0,
        "confirmed while its tasks run",
      );
      simulation.store.down = true;
      await simulation.run(outageMs);
      simulation.store.refused.delete(owner.index);
      owner.cut.peers = false;
      simulation.store.down = false;
    },
  };
}

/** A node that is cut off from everything, as one that has gone silent seems to all others. */
function setIsolated(node: SimulatedNode, silent: boolean): void {
  node.cut.state = node.cut.peers = node.cut.workers = silent;
}

export const faultCombinations: FaultCombination[] = [
  {
    name: "an owner is silent for over a minute, and what comes meanwhile is served by others",
    async run(simulation) {
      const before = await startJob(simulation, "req-1", { pieces: 8 });
      const { owner, other } = ownerAndOther(simulation, 0);
      const silentSince = simulation.now;
      setIsolated(owner, true);
      assert.ok(
        await simulation.runUntil(() => simulation.ownerOf(0) !== owner, 30_000),
        "its shard has another owner",
      );
      const meanwhile = simulation.submit("req-2", { pieces: 4 });
      assert.ok(await simulation.runUntil(() => meanwhile.isDone, 60_000), "a job that came meanwhile is done");
      assert.equal(
        (await Promise.race([simulation.queryJob(before, other), simulation.run(2000)]))?.status,
        200,
      );
      await simulation.run(Math.max(30_000, silentSince + 70_000 - simulation.now));
      setIsolated(owner, false);
      await simulation.run(5000);
    },
  },
  {
    name: "users ask hundreds of times a second, and leases, submissions and the state service's limit hold",
    async run(simulation) {
      const job = await startJob(simulation, "req-1", { pieces: 12 });
      const begun = simulation.store.requests;
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
      assert.ok(answered > SECONDS * 100, `${answered} answered`);
      const perSecond = (simulation.store.requests - begun) / SECONDS;
      assert.ok(perSecond < simulation.settings.state.rps, `${perSecond} requests a second`);
      assert.equal(simulation.runningTaskCount(job), 12, "no task was lost to a lease");
    },
  },
  {
    name: "a guest's huge array and a swarm of one-task jobs take what is left, and urgent work begins at once",
    // The fourth team is in the first one's shard.
    settings: { teams: `${TEAMS}\n[[settings.teams]]\nname = "guest"` },
    async run(simulation) {
      simulation.cloud.capacity = 8;
      const runs = (simulation.workers.runOf ??= new Map());
      runs.set("req-1", 3000);
      simulation.submit("req-1", { crew: "guest", pieces: 3000, guessS: 3, rank: "best_effort" });
      await simulation.run(15_000);
      for (let i = 100; i < 160; i++) {
        runs.set(`req-${i}`, 3000);
        simulation.submit(`req-${i}`, { crew: "guest", pieces: 1, guessS: 3, rank: "best_effort" });
      }
      const urgent = simulation.submit("req-2", { rank: "urgent", pieces: 2, vcpus: 2 });
      assert.ok(
        await simulation.runUntil(() => simulation.runningTaskCount(urgent) === 2, 15_000),
        "urgent work begins",
      );
      const swarm = [...simulation.jobs.values()].filter(({ id }) => /^req-1\d\d$/.test(id));
      assert.ok(
        await simulation.runUntil(() => swarm.every((job) => job.isDone), 240_000),
        "the swarm is served",
      );
    },
  },
  {
    name: "half of the machines come up late or never while a queue waits, and all of it runs soon",
    async run(simulation) {
      simulation.workers.late = 0.5;
      for (let i = 0; i < 10; i++) submitLongJob(simulation, `req-${i}`, { pieces: 8 });
      const all = [...simulation.jobs.values()];
      const running = (): number => all.reduce((sum, job) => sum + simulation.runningTaskCount(job), 0);
      assert.ok(await simulation.runUntil(() => running() === 80, 45_000), `${running()} of 80 tasks run`);
      simulation.workers.late = 0;
    },
  },
  cancelBeforeOutage(2000, 45_000, false),
  cancelBeforeOutage(2000, 45_000, true),
  cancelBeforeOutage(500, 45_000, false),
  cancelBeforeOutage(8000, 45_000, true),
  {
    name: "a job is cancelled while the state service refuses its owner alone, who starts no more of it",
    async run(simulation) {
      simulation.cloud.capacity = 4;
      (simulation.workers.runOf ??= new Map()).set("req-1", 3000);
      const job = simulation.submit("req-1", { pieces: 400, guessS: 2 });
      assert.ok(await simulation.runUntil(() => job.completedTasks.size > 8, 60_000), "it runs");
      const { owner, other } = ownerAndOther(simulation, 0);
      simulation.store.refused.add(owner.index);
      await Promise.race([simulation.cancel(job, other), simulation.run(3000)]);
      assert.ok(job.cancelledAt !== null && job.completedTasks.size < 300, "confirmed while tasks wait");
      await simulation.run(12_000);
      assert.equal(simulation.invariants.startsAfterCancellation, 0);
      simulation.store.refused.delete(owner.index);
    },
  },
  {
    name: "a job is cancelled while its owner renews its hold and hears of no change",
    async run(simulation) {
      const job = await startJob(simulation, "req-1");
      const { owner, other } = ownerAndOther(simulation, 0);
      owner.cut.watches = true;
      await simulation.run(1000);
      await Promise.race([simulation.cancel(job, other), simulation.run(3000)]);
      assert.ok(
        job.cancelledAt !== null && simulation.runningTaskCount(job) > 0,
        "confirmed while its tasks run",
      );
      await simulation.run(45_000);
      owner.cut.watches = false;
    },
  },
  {
    name: "a leader ends while machines with long tasks cannot be reached, and others do not hear the next one",
    async run(simulation) {
      await startJob(simulation, "req-1", { pieces: 12 });
      const { owner } = ownerAndOther(simulation, 0);
      const machines = [...simulation.cloud.machines.values()];
      machines.forEach((m, i) => (i % 2 === 0 ? (m.reportsLost = true) : (m.responsesLost = true)));
      await crashAndRestart(simulation, owner, 3000);
      await simulation.run(8000);
      for (const m of machines) m.reportsLost = m.responsesLost = false;
    },
  },
  {
    name: "transactions without an answer are carried out late, after newer ones",
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
    name: "a team is at its limit when its owner ends, machines cannot be asked, and a job is cancelled meanwhile",
    // Long enough that the next owner decides while tasks of the last one still run.
    settings: { leaseS: 24, cancelS: 70 },
    async run(simulation) {
      const cancelled = await startJob(simulation, "req-1", { crew: "tight", pieces: 4, vcpus: 2 });
      const { owner, other } = ownerAndOther(simulation, 2);
      for (const m of simulation.cloud.machines.values()) m.reportsLost = true;
      simulation.crash(owner);
      await Promise.race([simulation.cancel(cancelled, other), simulation.run(5000)]);
      assert.ok(await simulation.runUntil(() => simulation.ownerOf(2) !== owner, 30_000));
      // Accepted in the new owner's term, so that it need not wait for machines that nobody has heard.
      submitLongJob(simulation, "req-2", { crew: "tight", pieces: 8, vcpus: 2 });
      await simulation.run(9000);
      assert.ok(simulation.runningTaskCount(cancelled) > 0, "what was cancelled still runs unseen");
      for (const m of simulation.cloud.machines.values()) m.reportsLost = false;
      simulation.startNode(owner);
    },
  },
  {
    name: "a zone with workers and a controller is cut off for longer than a lease",
    async run(simulation) {
      await startJob(simulation, "req-1", { spread: true, pieces: 12 });
      submitLongJob(simulation, "req-2", { crew: "capped", pieces: 8 });
      simulation.isolatedZone = "south";
      await simulation.run(25_000);
      simulation.isolatedZone = null;
    },
  },
  {
    name: "old reports arrive after newer ones, also at the next owner",
    async run(simulation) {
      simulation.workers.copies = 1;
      for (let i = 0; i < 4; i++) {
        submitLongJob(simulation, `req-${i}`, { pieces: 4 });
        await simulation.run(4000);
        await crashAndRestart(simulation, simulation.ownerOf(0)!, i % 2 ? 300 : 6000);
      }
      await simulation.run(15_000);
      simulation.workers.copies = 0;
    },
  },
  {
    name: "a report from before a machine's tasks is held back until the next owner has acted, and arrives there",
    settings: { leaseS: 24, cancelS: 70 },
    async run(simulation) {
      simulation.isRecordingHeartbeats = true;
      await startJob(simulation, "req-1");
      simulation.isRecordingHeartbeats = false;
      const { owner } = ownerAndOther(simulation, 0);
      const [full] = [...simulation.cloud.machines.values()].sort((a, b) => b.running.size - a.running.size);
      full!.reportsLost = true;
      simulation.crash(owner);
      assert.ok(await simulation.runUntil(() => simulation.ownerOf(0) !== owner, 30_000));
      await simulation.run(1000);
      simulation.replayEmptyHeartbeats();
      await simulation.run(8000);
      full!.reportsLost = false;
      simulation.startNode(owner);
    },
  },
  {
    name: "jobs of two or three tasks end far apart across a change of leader",
    async run(simulation) {
      const runs = (simulation.workers.runOf ??= new Map());
      for (let i = 0; i < 6; i++) {
        simulation.submit(`req-${i}`, { pieces: 2 + (i % 2), vcpus: 3 });
        runs.set(`req-${i}`, 2000);
        // What starts later runs much longer.
        simulation.onFirstStart(`req-${i}/1`, () => runs.set(`req-${i}`, 25_000));
      }
      await simulation.run(15_000);
      await crashAndRestart(simulation, simulation.leader()!, 400);
      await simulation.run(10_000);
      await crashAndRestart(simulation, simulation.ownerOf(0)!, 3000);
    },
  },
  {
    name: "a leader is cut from the state service and its peers, workers and users reach it, and jobs are cancelled elsewhere",
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
      // Whoever is asked, also the one that is cut off, tells nothing older.
      for (let i = 0; i < 5; i++) {
        for (const job of jobs) await Promise.race([simulation.queryJob(job, leader), simulation.run(2500)]);
        await simulation.run(4000);
      }
      leader.cut.state = leader.cut.peers = false;
    },
  },
  {
    name: "an owner is cut from the state service and its peers, and long tasks run on workers that still reach it",
    async run(simulation) {
      await startJob(simulation, "req-1", { pieces: 10 });
      const { owner } = ownerAndOther(simulation, 0);
      owner.cut.state = owner.cut.peers = true;
      await simulation.run(28_000);
      owner.cut.state = owner.cut.peers = false;
    },
  },
  {
    name: "controllers hand over and back, all end, and one returns within a fraction of a second",
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
    name: "answers are held up for seconds, machines hang, and then go on",
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
    name: "the state service is slow, refuses the leader alone and then everybody while users cancel and ask",
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
    name: "workers reach no controller, and a job of theirs is cancelled",
    async run(simulation) {
      const job = await startJob(simulation, "req-1", { pieces: 8 });
      await startJob(simulation, "req-2", { pieces: 8 });
      for (const m of simulation.cloud.machines.values()) m.reportsLost = true;
      void simulation.cancel(job);
      await simulation.run(22_000);
      for (const m of simulation.cloud.machines.values()) m.reportsLost = false;
    },
  },
  {
    name: "there is more work than room, urgent and not, over slow links",
    async run(simulation) {
      simulation.cloud.capacity = 4;
      simulation.maxResponseDelayMs = 1500;
      for (let i = 0; i < 24; i++) {
        const rank = ["best_effort", "normal", "urgent"][i % 3];
        const crew = ["free", "capped", "tight"][simulation.randomBelow(3)];
        const over = { rank, crew, pieces: 3, markEveryS: 5, markCostS: 1, vcpus: 1 + (i % 3) };
        simulation.submit(`req-${i}`, over);
        await simulation.run(1000);
      }
      await simulation.run(10_000);
      simulation.maxResponseDelayMs = 0;
    },
  },
  {
    name: "one shard holds every machine at the fleet's cap when another's first job comes",
    async run(simulation) {
      simulation.cloud.capacity = 4;
      for (let i = 0; i < 12; i++) simulation.submit(`req-${i}`, { pieces: 4, vcpus: 3 });
      assert.ok(await simulation.runUntil(() => simulation.cloud.machines.size === 4, 30_000));
      await simulation.run(30_000);
      const waiting = simulation.submit("req-20", { crew: "capped", pieces: 2 });
      assert.ok(
        await simulation.runUntil(() => simulation.runningTaskCount(waiting) > 0, 75_000),
        "it gets a machine",
      );
      assert.ok(simulation.unfinishedJobs().length > 2, "the first shard still has a queue");
    },
  },
  {
    name: "jobs bound to one zone, and arrays that are together or spread, lose machines",
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
    name: "cancellations, questions and repeats meet the end of a job's last task",
    async run(simulation) {
      const end = faults.cancelAtCompletion!(simulation, 60_000);
      for (let i = 0; i < 20; i++) {
        const job = simulation.submit(`req-${i}`, { pieces: 1 + (i % 3) });
        (simulation.workers.runOf ??= new Map()).set(job.id, 1000 + simulation.randomBelow(4000));
        await simulation.run(2500);
        for (const known of simulation.jobs.values()) if (known.isAccepted) void simulation.resubmit(known);
      }
      await Promise.race([end, simulation.run(60_000)]);
    },
  },
  {
    name: "all controllers are away for longer than a lease",
    async run(simulation) {
      await startJob(simulation, "req-1", { pieces: 10 });
      submitLongJob(simulation, "req-2", { crew: "tight", pieces: 10 });
      for (const node of simulation.nodes) simulation.crash(node);
      await simulation.run(25_000);
      for (const node of simulation.nodes) simulation.startNode(node);
    },
  },
  {
    name: "leaders change ten times in two minutes, also inside an outage",
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
    name: "jobs are cancelled at once while their machines hang",
    async run(simulation) {
      const jobs = [];
      for (let i = 0; i < 4; i++) jobs.push(await startJob(simulation, `req-${i}`, { pieces: 4 }));
      const hung = [...simulation.cloud.machines.values()].map((m, i) => m.hang(3000 * (1 + (i % 5))));
      for (const job of jobs) void simulation.cancel(job);
      await Promise.race([Promise.all(hung), simulation.run(20_000)]);
    },
  },
];
