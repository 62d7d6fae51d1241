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
  play: (world: Simulation) => Promise<void>;
}

const LONG_MS = 60_000;

/** A job all of whose tasks run. */
async function running(world: Simulation, id: string, over: Record<string, unknown> = {}): Promise<UserJob> {
  const job = submitLong(world, id, over);
  const all = Number(job.body.pieces);
  assert.ok(await world.runUntil(() => world.runningOf(job) === all, 120_000), `${id} runs`);
  return job;
}

function submitLong(world: Simulation, id: string, over: Record<string, unknown> = {}): UserJob {
  (world.workers.runMsByJob ??= new Map()).set(id, LONG_MS);
  return world.submit(id, { pieces: 6, guessS: LONG_MS / 1000, ...over });
}

/** The owner of the shard that a team's jobs are in, and a node that is neither that nor the leader. */
function ownerAndOther(world: Simulation, shard: number): { owner: SimulatedNode; other: SimulatedNode } {
  const owner = world.ownerOf(shard)!;
  const other = world.nodes.find((n) => n !== owner && n !== world.leader()) ?? world.nodes[0]!;
  return { owner, other };
}

async function crash(world: Simulation, node: SimulatedNode, backMs: number): Promise<void> {
  world.crash(node);
  await world.run(backMs);
  world.launch(node);
}

/** The state service refuses the owner alone, another controller confirms, then it is out for all. */
function gap(refusedMs: number, outageMs: number, fromPeers: boolean): FaultCombination {
  return {
    name: `cancelled while the owner alone is refused for ${refusedMs} ms, then an outage of ${outageMs} ms${fromPeers ? ", no peers" : ""}`,
    async play(world) {
      const job = await running(world, "req-1");
      const { owner, other } = ownerAndOther(world, 0);
      world.store.refused.add(owner.index);
      owner.cut.peers = fromPeers;
      await world.run(refusedMs / 2);
      await Promise.race([world.cancel(job, other), world.run(refusedMs / 2)]);
      assert.ok(job.cancelledAt !== null && world.runningOf(job) > 0, "confirmed while its tasks run");
      world.store.down = true;
      await world.run(outageMs);
      world.store.refused.delete(owner.index);
      owner.cut.peers = false;
      world.store.down = false;
    },
  };
}

/** A node that is cut off from everything, as one that has gone silent seems to all others. */
function silence(node: SimulatedNode, silent: boolean): void {
  node.cut.state = node.cut.peers = node.cut.workers = silent;
}

export const faultCombinations: FaultCombination[] = [
  {
    name: "an owner is silent for over a minute, and what comes meanwhile is served by others",
    async play(world) {
      const before = await running(world, "req-1", { pieces: 8 });
      const { owner, other } = ownerAndOther(world, 0);
      const silentSince = world.now;
      silence(owner, true);
      assert.ok(
        await world.runUntil(() => world.ownerOf(0) !== owner, 30_000),
        "its shard has another owner",
      );
      const meanwhile = world.submit("req-2", { pieces: 4 });
      assert.ok(await world.runUntil(() => meanwhile.done, 60_000), "a job that came meanwhile is done");
      assert.equal((await Promise.race([world.look(before, other), world.run(2000)]))?.status, 200);
      await world.run(Math.max(30_000, silentSince + 70_000 - world.now));
      silence(owner, false);
      await world.run(5000);
    },
  },
  {
    name: "users ask hundreds of times a second, and leases, submissions and the state service's limit hold",
    async play(world) {
      const job = await running(world, "req-1", { pieces: 12 });
      const begun = world.store.requests;
      const SECONDS = 20;
      let answered = 0;
      for (let i = 0; i < SECONDS * 10; i++) {
        for (let k = 0; k < 40; k++)
          void world.look(job, world.nodes[k % 3]).then(({ status }) => (answered += status === 200 ? 1 : 0));
        if (i === 100) world.submit("req-2", { pieces: 2 });
        await world.run(100);
        if (i === 110)
          assert.ok(world.jobs.get("req-2")?.accepted, "a submission is accepted within a second");
      }
      assert.ok(answered > SECONDS * 100, `${answered} answered`);
      const perSecond = (world.store.requests - begun) / SECONDS;
      assert.ok(perSecond < world.settings.state.rps, `${perSecond} requests a second`);
      assert.equal(world.runningOf(job), 12, "no task was lost to a lease");
    },
  },
  {
    name: "a guest's huge array and a swarm of one-task jobs take what is left, and urgent work begins at once",
    // The fourth team is in the first one's shard.
    settings: { teams: `${TEAMS}\n[[settings.teams]]\nname = "guest"` },
    async play(world) {
      world.cloud.capacity = 8;
      const runs = (world.workers.runMsByJob ??= new Map());
      runs.set("req-1", 3000);
      world.submit("req-1", { crew: "guest", pieces: 3000, guessS: 3, rank: "best_effort" });
      await world.run(15_000);
      for (let i = 100; i < 160; i++) {
        runs.set(`req-${i}`, 3000);
        world.submit(`req-${i}`, { crew: "guest", pieces: 1, guessS: 3, rank: "best_effort" });
      }
      const urgent = world.submit("req-2", { rank: "urgent", pieces: 2, vcpus: 2 });
      assert.ok(await world.runUntil(() => world.runningOf(urgent) === 2, 15_000), "urgent work begins");
      const swarm = [...world.jobs.values()].filter(({ id }) => /^req-1\d\d$/.test(id));
      assert.ok(await world.runUntil(() => swarm.every((job) => job.done), 240_000), "the swarm is served");
    },
  },
  {
    name: "half of the machines come up late or never while a queue waits, and all of it runs soon",
    async play(world) {
      world.workers.lateBootShare = 0.5;
      for (let i = 0; i < 10; i++) submitLong(world, `req-${i}`, { pieces: 8 });
      const all = [...world.jobs.values()];
      const running = (): number => all.reduce((sum, job) => sum + world.runningOf(job), 0);
      assert.ok(await world.runUntil(() => running() === 80, 45_000), `${running()} of 80 tasks run`);
      world.workers.lateBootShare = 0;
    },
  },
  gap(2000, 45_000, false),
  gap(2000, 45_000, true),
  gap(500, 45_000, false),
  gap(8000, 45_000, true),
  {
    name: "a job is cancelled while the state service refuses its owner alone, who starts no more of it",
    async play(world) {
      world.cloud.capacity = 4;
      (world.workers.runMsByJob ??= new Map()).set("req-1", 3000);
      const job = world.submit("req-1", { pieces: 400, guessS: 2 });
      assert.ok(await world.runUntil(() => job.completed.size > 8, 60_000), "it runs");
      const { owner, other } = ownerAndOther(world, 0);
      world.store.refused.add(owner.index);
      await Promise.race([world.cancel(job, other), world.run(3000)]);
      assert.ok(job.cancelledAt !== null && job.completed.size < 300, "confirmed while tasks wait");
      await world.run(12_000);
      assert.equal(world.rules.startsAfterCancellation, 0);
      world.store.refused.delete(owner.index);
    },
  },
  {
    name: "a job is cancelled while its owner renews its hold and hears of no change",
    async play(world) {
      const job = await running(world, "req-1");
      const { owner, other } = ownerAndOther(world, 0);
      owner.cut.feed = true;
      await world.run(1000);
      await Promise.race([world.cancel(job, other), world.run(3000)]);
      assert.ok(job.cancelledAt !== null && world.runningOf(job) > 0, "confirmed while its tasks run");
      await world.run(45_000);
      owner.cut.feed = false;
    },
  },
  {
    name: "a leader ends while machines with long tasks cannot be reached, and others do not hear the next one",
    async play(world) {
      await running(world, "req-1", { pieces: 12 });
      const { owner } = ownerAndOther(world, 0);
      const machines = [...world.cloud.machines.values()];
      machines.forEach((m, i) => (i % 2 === 0 ? (m.areHeartbeatsLost = true) : (m.areResponsesLost = true)));
      await crash(world, owner, 3000);
      await world.run(8000);
      for (const m of machines) m.areHeartbeatsLost = m.areResponsesLost = false;
    },
  },
  {
    name: "transactions without an answer are carried out late, after newer ones",
    async play(world) {
      world.lateWrites = 0.4;
      for (let i = 0; i < 8; i++) {
        submitLong(world, `req-${i}`, { pieces: 3, crew: i % 2 ? "tight" : "free" });
        await world.run(3000);
        if (i === 4) await crash(world, world.leader()!, 300);
      }
      void world.cancel(world.jobs.get("req-3")!);
      await world.run(20_000);
      world.lateWrites = 0;
    },
  },
  {
    name: "a team is at its limit when its owner ends, machines cannot be asked, and a job is cancelled meanwhile",
    // Long enough that the next owner decides while tasks of the last one still run.
    settings: { leaseS: 24, cancelS: 70 },
    async play(world) {
      const cancelled = await running(world, "req-1", { crew: "tight", pieces: 4, vcpus: 2 });
      const { owner, other } = ownerAndOther(world, 2);
      for (const m of world.cloud.machines.values()) m.areHeartbeatsLost = true;
      world.crash(owner);
      await Promise.race([world.cancel(cancelled, other), world.run(5000)]);
      assert.ok(await world.runUntil(() => world.ownerOf(2) !== owner, 30_000));
      // Accepted in the new owner's term, so that it need not wait for machines that nobody has heard.
      submitLong(world, "req-2", { crew: "tight", pieces: 8, vcpus: 2 });
      await world.run(9000);
      assert.ok(world.runningOf(cancelled) > 0, "what was cancelled still runs unseen");
      for (const m of world.cloud.machines.values()) m.areHeartbeatsLost = false;
      world.launch(owner);
    },
  },
  {
    name: "a zone with workers and a controller is cut off for longer than a lease",
    async play(world) {
      await running(world, "req-1", { spread: true, pieces: 12 });
      submitLong(world, "req-2", { crew: "capped", pieces: 8 });
      world.cutZone = "south";
      await world.run(25_000);
      world.cutZone = null;
    },
  },
  {
    name: "old reports arrive after newer ones, also at the next owner",
    async play(world) {
      world.workers.duplicateShare = 1;
      for (let i = 0; i < 4; i++) {
        submitLong(world, `req-${i}`, { pieces: 4 });
        await world.run(4000);
        await crash(world, world.ownerOf(0)!, i % 2 ? 300 : 6000);
      }
      await world.run(15_000);
      world.workers.duplicateShare = 0;
    },
  },
  {
    name: "a report from before a machine's tasks is held back until the next owner has acted, and arrives there",
    settings: { leaseS: 24, cancelS: 70 },
    async play(world) {
      world.keepsReports = true;
      await running(world, "req-1");
      world.keepsReports = false;
      const { owner } = ownerAndOther(world, 0);
      const [full] = [...world.cloud.machines.values()].sort((a, b) => b.running.size - a.running.size);
      full!.areHeartbeatsLost = true;
      world.crash(owner);
      assert.ok(await world.runUntil(() => world.ownerOf(0) !== owner, 30_000));
      await world.run(1000);
      world.releaseReports();
      await world.run(8000);
      full!.areHeartbeatsLost = false;
      world.launch(owner);
    },
  },
  {
    name: "jobs of two or three tasks end far apart across a change of leader",
    async play(world) {
      const runs = (world.workers.runMsByJob ??= new Map());
      for (let i = 0; i < 6; i++) {
        world.submit(`req-${i}`, { pieces: 2 + (i % 2), vcpus: 3 });
        runs.set(`req-${i}`, 2000);
        // What starts later runs much longer.
        world.atStart(`req-${i}/1`, () => runs.set(`req-${i}`, 25_000));
      }
      await world.run(15_000);
      await crash(world, world.leader()!, 400);
      await world.run(10_000);
      await crash(world, world.ownerOf(0)!, 3000);
    },
  },
  {
    name: "a leader is cut from the state service and its peers, workers and users reach it, and jobs are cancelled elsewhere",
    async play(world) {
      const jobs = [await running(world, "req-1"), await running(world, "req-2", { crew: "capped" })];
      const leader = world.leader()!;
      const other = world.nodes.find((n) => n !== leader)!;
      leader.cut.state = leader.cut.peers = true;
      await world.run(4000);
      await Promise.race([Promise.all(jobs.map((job) => world.cancel(job, other))), world.run(8000)]);
      assert.ok(jobs.every((job) => job.cancelledAt !== null));
      // Whoever is asked, also the one that is cut off, tells nothing older.
      for (let i = 0; i < 5; i++) {
        for (const job of jobs) await Promise.race([world.look(job, leader), world.run(2500)]);
        await world.run(4000);
      }
      leader.cut.state = leader.cut.peers = false;
    },
  },
  {
    name: "an owner is cut from the state service and its peers, and long tasks run on workers that still reach it",
    async play(world) {
      await running(world, "req-1", { pieces: 10 });
      const { owner } = ownerAndOther(world, 0);
      owner.cut.state = owner.cut.peers = true;
      await world.run(28_000);
      owner.cut.state = owner.cut.peers = false;
    },
  },
  {
    name: "controllers hand over and back, all end, and one returns within a fraction of a second",
    async play(world) {
      await running(world, "req-1", { pieces: 10 });
      for (let i = 0; i < 3; i++) {
        const { owner, other } = ownerAndOther(world, 0);
        const request = { handOver: { shard: 0, targetNode: other.name } };
        void owner.life?.controller.answerPeer(request);
        await world.run(1500);
      }
      for (const node of world.nodes) world.crash(node);
      await world.run(300);
      world.launch(world.nodes[1]!);
      await world.run(12_000);
      world.launch(world.nodes[0]!);
      world.launch(world.nodes[2]!);
    },
  },
  {
    name: "answers are held up for seconds, machines hang, and then go on",
    async play(world) {
      const job = await running(world, "req-1", { pieces: 10 });
      submitLong(world, "req-2", { pieces: 20 });
      world.answersHeldMs = 6000;
      const hung = [...world.cloud.machines.values()].slice(0, 3).map((m, i) => m.hang(4000 + 5000 * i));
      void world.cancel(job);
      await Promise.race([Promise.all(hung), world.run(20_000)]);
      world.answersHeldMs = 0;
    },
  },
  {
    name: "the state service is slow, refuses the leader alone and then everybody while users cancel and ask",
    async play(world) {
      const job = await running(world, "req-1");
      world.stateLatencyMs = 600;
      await world.run(5000);
      const leader = world.leader()!;
      world.store.refused.add(leader.index);
      void world.cancel(job);
      await world.run(3000);
      world.store.down = true;
      void world.cancel(submitLong(world, "req-2"));
      await world.run(35_000);
      world.store.refused.delete(leader.index);
      world.store.down = false;
      await world.run(10_000);
      world.stateLatencyMs = 4;
    },
  },
  {
    name: "workers reach no controller, and a job of theirs is cancelled",
    async play(world) {
      const job = await running(world, "req-1", { pieces: 8 });
      await running(world, "req-2", { pieces: 8 });
      for (const m of world.cloud.machines.values()) m.areHeartbeatsLost = true;
      void world.cancel(job);
      await world.run(22_000);
      for (const m of world.cloud.machines.values()) m.areHeartbeatsLost = false;
    },
  },
  {
    name: "there is more work than room, urgent and not, over slow links",
    async play(world) {
      world.cloud.capacity = 4;
      world.answersHeldMs = 1500;
      for (let i = 0; i < 24; i++) {
        const rank = ["best_effort", "normal", "urgent"][i % 3];
        const crew = ["free", "capped", "tight"][world.pick(3)];
        const over = { rank, crew, pieces: 3, markEveryS: 5, markCostS: 1, vcpus: 1 + (i % 3) };
        world.submit(`req-${i}`, over);
        await world.run(1000);
      }
      await world.run(10_000);
      world.answersHeldMs = 0;
    },
  },
  {
    name: "one shard holds every machine at the fleet's cap when another's first job comes",
    async play(world) {
      world.cloud.capacity = 4;
      for (let i = 0; i < 12; i++) world.submit(`req-${i}`, { pieces: 4, vcpus: 3 });
      assert.ok(await world.runUntil(() => world.cloud.machines.size === 4, 30_000));
      await world.run(30_000);
      const waiting = world.submit("req-20", { crew: "capped", pieces: 2 });
      assert.ok(await world.runUntil(() => world.runningOf(waiting) > 0, 75_000), "it gets a machine");
      assert.ok(world.open().length > 2, "the first shard still has a queue");
    },
  },
  {
    name: "jobs bound to one zone, and arrays that are together or spread, lose machines",
    async play(world) {
      await running(world, "req-1", { bank: "south" });
      await running(world, "req-2", { together: true });
      await running(world, "req-3", { spread: true });
      for (const { host } of [...world.cloud.machines.values()].filter((_, i) => i % 2 === 0))
        world.cloud.machines.get(host)?.stop();
      await world.run(5000);
      await crash(world, world.ownerOf(0)!, 300);
    },
  },
  {
    name: "cancellations, questions and repeats meet the end of a job's last task",
    async play(world) {
      const end = faults.cancelAtEnd!(world, 60_000);
      for (let i = 0; i < 20; i++) {
        const job = world.submit(`req-${i}`, { pieces: 1 + (i % 3) });
        (world.workers.runMsByJob ??= new Map()).set(job.id, 1000 + world.pick(4000));
        await world.run(2500);
        for (const known of world.jobs.values()) if (known.accepted) void world.repeat(known);
      }
      await Promise.race([end, world.run(60_000)]);
    },
  },
  {
    name: "all controllers are away for longer than a lease",
    async play(world) {
      await running(world, "req-1", { pieces: 10 });
      submitLong(world, "req-2", { crew: "tight", pieces: 10 });
      for (const node of world.nodes) world.crash(node);
      await world.run(25_000);
      for (const node of world.nodes) world.launch(node);
    },
  },
  {
    name: "leaders change ten times in two minutes, also inside an outage",
    async play(world) {
      await running(world, "req-1", { pieces: 10 });
      for (let i = 0; i < 10; i++) {
        if (i === 4) world.store.down = true;
        if (i === 6) world.store.down = false;
        submitLong(world, `req-1${i}`, { pieces: 2, crew: i % 2 ? "capped" : "free" });
        await crash(world, world.leader() ?? world.nodes[0]!, i % 3 === 0 ? 300 : 4000);
        await world.run(8000);
      }
    },
  },
  {
    name: "jobs are cancelled at once while their machines hang",
    async play(world) {
      const jobs = [];
      for (let i = 0; i < 4; i++) jobs.push(await running(world, `req-${i}`, { pieces: 4 }));
      const hung = [...world.cloud.machines.values()].map((m, i) => m.hang(3000 * (1 + (i % 5))));
      for (const job of jobs) void world.cancel(job);
      await Promise.race([Promise.all(hung), world.run(20_000)]);
    },
  },
];
