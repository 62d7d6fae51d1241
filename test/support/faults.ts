/** Faults that meet by chance: each begins at some moment and is over after a while. */
import { sleep } from "../../src/runtime/sleep.js";
import { submission } from "./cluster.js";
import type { Cuts, Simulation, SimulatedNode, UserJob } from "./simulation.js";

type Fault = (simulation: Simulation, forMs: number) => Promise<void>;

const randomNode = (simulation: Simulation): SimulatedNode =>
  simulation.nodes[simulation.randomBelow(simulation.nodes.length)]!;

/** The node that leads, or owns the first shard, or any: where it hurts most. */
const randomFaultTarget = (simulation: Simulation): SimulatedNode =>
  [simulation.leader(), simulation.ownerOf(0), randomNode(simulation)][simulation.randomBelow(3)] ??
  randomNode(simulation);

async function cutLinks(simulation: Simulation, forMs: number, what: (keyof Cuts)[]): Promise<void> {
  const node = randomFaultTarget(simulation);
  for (const from of what) node.cut[from] = true;
  await sleep(forMs);
  for (const from of what) node.cut[from] = false;
}

async function crash(simulation: Simulation, node: SimulatedNode, backMs: number): Promise<void> {
  simulation.crash(node);
  await sleep(backMs);
  // Another fault may have brought it back meanwhile.
  if (node.instance === null) simulation.startNode(node);
}

/** A return within a fraction of a second is as likely as one after some seconds. */
const randomDowntimeMs = (simulation: Simulation): number =>
  (simulation.randomFraction() < 0.5 ? 300 : 3000) * (0.5 + simulation.randomFraction());

const randomMachines = (simulation: Simulation) =>
  [...simulation.cloud.machines.values()].filter(() => simulation.randomFraction() < 0.4);

async function impairMachines(
  simulation: Simulation,
  forMs: number,
  how: "responsesLost" | "reportsLost" | "sick",
): Promise<void> {
  const machines = randomMachines(simulation);
  for (const machine of machines) machine[how] = true;
  await sleep(forMs);
  for (const machine of machines) machine[how] = false;
}

const cancellableJobs = (simulation: Simulation): UserJob[] =>
  [...simulation.jobs.values()].filter((job) => job.isAccepted && !job.hasEnded && !job.isCancelRequested);

export const faults: Record<string, Fault> = {
  crash: (simulation) => crash(simulation, randomFaultTarget(simulation), randomDowntimeMs(simulation)),
  async crashAllNodes(simulation) {
    await Promise.all(simulation.nodes.map((node) => crash(simulation, node, randomDowntimeMs(simulation))));
  },
  async allNodesDown(simulation, forMs) {
    await Promise.all(simulation.nodes.map((node) => crash(simulation, node, forMs)));
  },
  async repeatedLeaderCrashes(simulation) {
    for (let i = 0; i < 5; i++) {
      const leader = simulation.leader();
      if (leader) await crash(simulation, leader, randomDowntimeMs(simulation));
      await sleep(5000 * simulation.randomFraction());
    }
  },
  cutFromState: (simulation, forMs) => cutLinks(simulation, forMs, ["state"]),
  cutFromStateAndPeers: (simulation, forMs) => cutLinks(simulation, forMs, ["state", "peers"]),
  cutFromWorkers: (simulation, forMs) => cutLinks(simulation, forMs, ["workers"]),
  cutFromAll: (simulation, forMs) => cutLinks(simulation, forMs, ["state", "peers", "workers"]),
  async zoneIsolated(simulation, forMs) {
    simulation.isolatedZone = simulation.randomFraction() < 0.5 ? "north" : "south";
    await sleep(forMs);
    simulation.isolatedZone = null;
  },
  async responsesDelayed(simulation, forMs) {
    simulation.maxResponseDelayMs = 6000;
    await sleep(forMs);
    simulation.maxResponseDelayMs = 0;
  },
  async stateServiceRefusesOneNode(simulation, forMs) {
    const { index } = randomFaultTarget(simulation);
    simulation.store.refused.add(index);
    await sleep(forMs);
    simulation.store.refused.delete(index);
  },
  async stateServiceOutage(simulation, forMs) {
    simulation.store.down = true;
    await sleep(forMs);
    simulation.store.down = false;
  },
  async stateServiceSlow(simulation, forMs) {
    simulation.stateLatencyMs = 400;
    await sleep(forMs);
    simulation.stateLatencyMs = 4;
  },
  async transactionsDelayed(simulation, forMs) {
    simulation.delayedTransactionShare = 0.3;
    await sleep(forMs);
    simulation.delayedTransactionShare = 0;
  },
  async heartbeatsDuplicated(simulation, forMs) {
    simulation.workers.copies = 0.3;
    await sleep(forMs);
    simulation.workers.copies = 0;
  },
  async machinesHang(simulation, forMs) {
    await Promise.all(randomMachines(simulation).map((machine) => machine.hang(forMs / 2)));
  },
  machineResponsesLost: (simulation, forMs) => impairMachines(simulation, forMs, "responsesLost"),
  machineHeartbeatsLost: (simulation, forMs) => impairMachines(simulation, forMs, "reportsLost"),
  machinesFailTasks: (simulation, forMs) => impairMachines(simulation, forMs, "sick"),
  machinesTerminated(simulation) {
    for (const { host } of randomMachines(simulation)) simulation.cloud.machines.get(host)?.stop();
    return Promise.resolve();
  },
  async cancelDuringHangs(simulation) {
    const jobs = cancellableJobs(simulation).slice(0, 4);
    const hung = randomMachines(simulation).map((machine) => machine.hang(8000));
    await Promise.all([...jobs.map((job) => simulation.cancel(job)), ...hung]);
  },
  /** Users call jobs off at the very end of their last task. */
  async cancelAtCompletion(simulation, forMs) {
    const until = simulation.now + forMs;
    while (simulation.now < until) {
      for (const job of cancellableJobs(simulation))
        if (job.completedTasks.size === Number(job.body.pieces)) void simulation.cancel(job);
      await sleep(50);
    }
  },
  /** Repeats of what is known already, and what can't run or lacks a field. */
  async invalidRequests(simulation, forMs) {
    const until = simulation.now + forMs;
    while (simulation.now < until) {
      const jobs = [...simulation.jobs.values()].filter((job) => job.isAccepted);
      const job = jobs[simulation.randomBelow(jobs.length)];
      if (job) void simulation.resubmit(job);
      void simulation.submitInvalid(submission(`req-9${simulation.randomBelow(1e6)}`, { vcpus: 99 }), 422);
      void simulation.submitInvalid(
        submission(`req-9${simulation.randomBelow(1e6)}`, { guessS: undefined }),
        400,
      );
      await sleep(1000);
    }
  },
};

/** So many faults, which begin within a spell of simulated time and may overlap; resolves when all are over. */
export async function injectRandomFaults(
  simulation: Simulation,
  count: number,
  spellMs: number,
): Promise<string[]> {
  const names = Object.keys(faults);
  const chosen = Array.from({ length: count }, () => names[simulation.randomBelow(names.length)]!);
  await Promise.all(
    chosen.map(async (name) => {
      await sleep(simulation.randomFraction() * spellMs);
      await faults[name]!(
        simulation,
        1000 + simulation.randomFraction() * simulation.randomFraction() * 60_000,
      );
    }),
  );
  return chosen;
}
