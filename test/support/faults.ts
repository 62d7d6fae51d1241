/** Faults that meet by chance: each begins at some moment and is over after a while. */
import { sleep } from "../../src/runtime/sleep.js";
import { submission } from "./cluster.js";
import type { Cuts, Simulation, SimulatedNode, UserJob } from "./simulation.js";

type Fault = (world: Simulation, forMs: number) => Promise<void>;

const anyNode = (world: Simulation): SimulatedNode => world.nodes[world.pick(world.nodes.length)]!;

/** The node that leads, or owns the first shard, or any: where it hurts most. */
const busiest = (world: Simulation): SimulatedNode =>
  [world.leader(), world.ownerOf(0), anyNode(world)][world.pick(3)] ?? anyNode(world);

async function cut(world: Simulation, forMs: number, what: (keyof Cuts)[]): Promise<void> {
  const node = busiest(world);
  for (const from of what) node.cut[from] = true;
  await sleep(forMs);
  for (const from of what) node.cut[from] = false;
}

async function crash(world: Simulation, node: SimulatedNode, backMs: number): Promise<void> {
  world.crash(node);
  await sleep(backMs);
  // Another fault may have brought it back meanwhile.
  if (node.life === null) world.launch(node);
}

/** A return within a fraction of a second is as likely as one after some seconds. */
const backAfter = (world: Simulation): number => (world.chance() < 0.5 ? 300 : 3000) * (0.5 + world.chance());

const someMachines = (world: Simulation) =>
  [...world.cloud.machines.values()].filter(() => world.chance() < 0.4);

async function ail(
  world: Simulation,
  forMs: number,
  how: "areResponsesLost" | "areHeartbeatsLost" | "isFaulty",
): Promise<void> {
  const machines = someMachines(world);
  for (const machine of machines) machine[how] = true;
  await sleep(forMs);
  for (const machine of machines) machine[how] = false;
}

const openJobs = (world: Simulation): UserJob[] =>
  [...world.jobs.values()].filter((job) => job.accepted && !job.hasEnded && !job.cancelRequested);

export const faults: Record<string, Fault> = {
  crash: (world) => crash(world, busiest(world), backAfter(world)),
  async crashOfAll(world) {
    await Promise.all(world.nodes.map((node) => crash(world, node, backAfter(world))));
  },
  async allAway(world, forMs) {
    await Promise.all(world.nodes.map((node) => crash(world, node, forMs)));
  },
  async leadersChange(world) {
    for (let i = 0; i < 5; i++) {
      const leader = world.leader();
      if (leader) await crash(world, leader, backAfter(world));
      await sleep(5000 * world.chance());
    }
  },
  cutFromState: (world, forMs) => cut(world, forMs, ["state"]),
  cutFromStateAndPeers: (world, forMs) => cut(world, forMs, ["state", "peers"]),
  cutFromWorkers: (world, forMs) => cut(world, forMs, ["workers"]),
  cutFromAll: (world, forMs) => cut(world, forMs, ["state", "peers", "workers"]),
  async zoneCut(world, forMs) {
    world.cutZone = world.chance() < 0.5 ? "north" : "south";
    await sleep(forMs);
    world.cutZone = null;
  },
  async answersHeld(world, forMs) {
    world.answersHeldMs = 6000;
    await sleep(forMs);
    world.answersHeldMs = 0;
  },
  async refusedAlone(world, forMs) {
    const { index } = busiest(world);
    world.store.refused.add(index);
    await sleep(forMs);
    world.store.refused.delete(index);
  },
  async outage(world, forMs) {
    world.store.down = true;
    await sleep(forMs);
    world.store.down = false;
  },
  async slowState(world, forMs) {
    world.stateLatencyMs = 400;
    await sleep(forMs);
    world.stateLatencyMs = 4;
  },
  async lateWrites(world, forMs) {
    world.lateWrites = 0.3;
    await sleep(forMs);
    world.lateWrites = 0;
  },
  async lateReports(world, forMs) {
    world.workers.duplicateShare = 0.3;
    await sleep(forMs);
    world.workers.duplicateShare = 0;
  },
  async machinesHang(world, forMs) {
    await Promise.all(someMachines(world).map((machine) => machine.hang(forMs / 2)));
  },
  machineResponsesLost: (world, forMs) => ail(world, forMs, "areResponsesLost"),
  machineReportsLost: (world, forMs) => ail(world, forMs, "areHeartbeatsLost"),
  machinesSick: (world, forMs) => ail(world, forMs, "isFaulty"),
  machinesDie(world) {
    for (const { host } of someMachines(world)) world.cloud.machines.get(host)?.stop();
    return Promise.resolve();
  },
  async cancelNow(world) {
    const jobs = openJobs(world).slice(0, 4);
    const hung = someMachines(world).map((machine) => machine.hang(8000));
    await Promise.all([...jobs.map((job) => world.cancel(job)), ...hung]);
  },
  /** Users call jobs off at the very end of their last task. */
  async cancelAtEnd(world, forMs) {
    const until = world.now + forMs;
    while (world.now < until) {
      for (const job of openJobs(world))
        if (job.completed.size === Number(job.body.pieces)) void world.cancel(job);
      await sleep(50);
    }
  },
  /** Repeats of what is known already, and what can't run or lacks a field. */
  async oddRequests(world, forMs) {
    const until = world.now + forMs;
    while (world.now < until) {
      const jobs = [...world.jobs.values()].filter((job) => job.accepted);
      const job = jobs[world.pick(jobs.length)];
      if (job) void world.repeat(job);
      void world.odd(submission(`req-9${world.pick(1e6)}`, { vcpus: 99 }), 422);
      void world.odd(submission(`req-9${world.pick(1e6)}`, { guessS: undefined }), 400);
      await sleep(1000);
    }
  },
};

/** So many faults, which begin within a spell of simulated time and may overlap; resolves when all are over. */
export async function combineAtRandom(world: Simulation, count: number, spellMs: number): Promise<string[]> {
  const names = Object.keys(faults);
  const chosen = Array.from({ length: count }, () => names[world.pick(names.length)]!);
  await Promise.all(
    chosen.map(async (name) => {
      await sleep(world.chance() * spellMs);
      await faults[name]!(world, 1000 + world.chance() * world.chance() * 60_000);
    }),
  );
  return chosen;
}
