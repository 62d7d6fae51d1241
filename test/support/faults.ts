/** Faults for random injection into a simulation, each with its start and end. */
import { sleep } from "../../src/runtime/sleep.js";
import { submission } from "./cluster.js";
import type { Cuts, Simulation, SimulatedNode, UserJob } from "./simulation.js";

/** Injects a fault, and resolves when it has ended. Faults with a natural end of their own ignore the duration. */
type Fault = (simulation: Simulation, durationMs: number) => Promise<void>;

const randomNode = (simulation: Simulation): SimulatedNode =>
  simulation.nodes[simulation.randomBelow(simulation.nodes.length)]!;

/** The leader, the owner of the first shard or any node: faults of the first two have the most effects. */
const randomFaultTarget = (simulation: Simulation): SimulatedNode =>
  [simulation.leader(), simulation.ownerOf(0), randomNode(simulation)][simulation.randomBelow(3)] ??
  randomNode(simulation);

async function cutLinks(simulation: Simulation, durationMs: number, links: (keyof Cuts)[]): Promise<void> {
  const node = randomFaultTarget(simulation);
  for (const link of links) node.cut[link] = true;
  await sleep(durationMs);
  for (const link of links) node.cut[link] = false;
}

/** Crashes a node and starts it again while the simulation runs; `crashAndRestart` advances the simulation itself. */
export async function crash(simulation: Simulation, node: SimulatedNode, downtimeMs: number): Promise<void> {
  simulation.crash(node);
  await sleep(downtimeMs);
  // Another fault may have restarted the node meanwhile.
  if (node.instance === null) simulation.startNode(node);
}

/** A restart after 0.15 to 0.45 s is as likely as one after 1.5 to 4.5 s. */
const randomDowntimeMs = (simulation: Simulation): number =>
  (simulation.randomFraction() < 0.5 ? 300 : 3000) * (0.5 + simulation.randomFraction());

/** Selects each machine with a probability of 0.4. */
const randomMachines = (simulation: Simulation) =>
  [...simulation.cloud.machines.values()].filter(() => simulation.randomFraction() < 0.4);

async function impairMachines(
  simulation: Simulation,
  durationMs: number,
  flag: "areResponsesLost" | "areHeartbeatsLost" | "isFaulty",
): Promise<void> {
  const machines = randomMachines(simulation);
  for (const machine of machines) machine[flag] = true;
  await sleep(durationMs);
  for (const machine of machines) machine[flag] = false;
}

const cancellableJobs = (simulation: Simulation): UserJob[] =>
  [...simulation.jobs.values()].filter((job) => job.isAccepted && !job.hasEnded && !job.isCancelRequested);

/** All faults by name. The order of the entries decides which faults a seed draws. */
export const faults: Record<string, Fault> = {
  crash: (simulation) => crash(simulation, randomFaultTarget(simulation), randomDowntimeMs(simulation)),
  async crashAllNodes(simulation) {
    await Promise.all(simulation.nodes.map((node) => crash(simulation, node, randomDowntimeMs(simulation))));
  },
  async allNodesDown(simulation, durationMs) {
    await Promise.all(simulation.nodes.map((node) => crash(simulation, node, durationMs)));
  },
  async repeatedLeaderCrashes(simulation) {
    for (let i = 0; i < 5; i++) {
      const leader = simulation.leader();
      if (leader) await crash(simulation, leader, randomDowntimeMs(simulation));
      await sleep(5000 * simulation.randomFraction());
    }
  },
  cutFromState: (simulation, durationMs) => cutLinks(simulation, durationMs, ["state"]),
  cutFromStateAndPeers: (simulation, durationMs) => cutLinks(simulation, durationMs, ["state", "peers"]),
  cutFromWorkers: (simulation, durationMs) => cutLinks(simulation, durationMs, ["workers"]),
  cutFromAll: (simulation, durationMs) => cutLinks(simulation, durationMs, ["state", "peers", "workers"]),
  async zoneIsolated(simulation, durationMs) {
    simulation.isolatedZone = simulation.randomFraction() < 0.5 ? "north" : "south";
    await sleep(durationMs);
    simulation.isolatedZone = null;
  },
  async responsesDelayed(simulation, durationMs) {
    simulation.maxResponseDelayMs = 6000;
    await sleep(durationMs);
    simulation.maxResponseDelayMs = 0;
  },
  async stateServiceRefusesOneNode(simulation, durationMs) {
    const { index } = randomFaultTarget(simulation);
    simulation.store.refused.add(index);
    await sleep(durationMs);
    simulation.store.refused.delete(index);
  },
  async stateServiceOutage(simulation, durationMs) {
    simulation.store.down = true;
    await sleep(durationMs);
    simulation.store.down = false;
  },
  async stateServiceSlow(simulation, durationMs) {
    simulation.stateLatencyMs = 400;
    await sleep(durationMs);
    simulation.stateLatencyMs = 4;
  },
  async transactionsDelayed(simulation, durationMs) {
    simulation.delayedTransactionShare = 0.3;
    await sleep(durationMs);
    simulation.delayedTransactionShare = 0;
  },
  async heartbeatsDuplicated(simulation, durationMs) {
    simulation.workers.duplicateShare = 0.3;
    await sleep(durationMs);
    simulation.workers.duplicateShare = 0;
  },
  async machinesHang(simulation, durationMs) {
    await Promise.all(randomMachines(simulation).map((machine) => machine.hang(durationMs / 2)));
  },
  machineResponsesLost: (simulation, durationMs) =>
    impairMachines(simulation, durationMs, "areResponsesLost"),
  machineHeartbeatsLost: (simulation, durationMs) =>
    impairMachines(simulation, durationMs, "areHeartbeatsLost"),
  machinesFailTasks: (simulation, durationMs) => impairMachines(simulation, durationMs, "isFaulty"),
  machinesTerminated(simulation) {
    for (const { host } of randomMachines(simulation)) simulation.cloud.machines.get(host)?.stop();
    return Promise.resolve();
  },
  async cancelDuringHangs(simulation) {
    const jobs = cancellableJobs(simulation).slice(0, 4);
    const hung = randomMachines(simulation).map((machine) => machine.hang(8000));
    await Promise.all([...jobs.map((job) => simulation.cancel(job)), ...hung]);
  },
  /** Users cancel jobs whose last task has just completed, before the jobs are reported as done. */
  async cancelAtCompletion(simulation, durationMs) {
    const until = simulation.now + durationMs;
    while (simulation.now < until) {
      for (const job of cancellableJobs(simulation))
        if (job.completedTasks.size === Number(job.body.pieces)) void simulation.cancel(job);
      await sleep(50);
    }
  },
  /** Users submit accepted jobs once more, jobs that fit no machine, and jobs without a required field. */
  async invalidRequests(simulation, durationMs) {
    const until = simulation.now + durationMs;
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

/**
 * Injects random faults, which start within a window of simulated time and may overlap. Returns their names once all
 * have ended.
 */
export async function injectRandomFaults(
  simulation: Simulation,
  count: number,
  windowMs: number,
): Promise<string[]> {
  const names = Object.keys(faults);
  const chosen = Array.from({ length: count }, () => names[simulation.randomBelow(names.length)]!);
  await Promise.all(
    chosen.map(async (name) => {
      await sleep(simulation.randomFraction() * windowMs);
      await faults[name]!(
        simulation,
        1000 + simulation.randomFraction() * simulation.randomFraction() * 60_000,
      );
    }),
  );
  return chosen;
}
