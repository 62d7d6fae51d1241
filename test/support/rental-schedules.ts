/**
 * Random schedules around rental orders: responses that are held or lost, machines that report before them, state
 * service transactions that are applied late, and controllers that crash and restart meanwhile.
 */
import { sleep } from "../../src/runtime/sleep.js";
import { crash } from "./faults.js";
import type { Simulation } from "./simulation.js";

/** Held responses come within this time: some before, most after the leader has given the call up. */
const MAX_HELD_RESPONSE_MS = 8000;
/** How long jobs are submitted and controllers crash. */
const TROUBLE_MS = 30_000;

const chance = (simulation: Simulation, share: number): boolean => simulation.randomFraction() < share;

/** Draws how the cloud, its machines and the state service behave for a whole run. */
function drawEnvironment(simulation: Simulation): void {
  simulation.cloudLatencyMs = chance(simulation, 0.7) ? 2 : 250;
  simulation.stateLatencyMs = chance(simulation, 0.5) ? 4 : 60;
  simulation.workers.bootMs = 300 + simulation.randomBelow(1500);
  simulation.workers.runMs = 5000 + simulation.randomBelow(30_000);
  simulation.delayedTransactionShare = chance(simulation, 0.3) ? 0.1 : 0;
  const heldShare = 0.5 + 0.5 * simulation.randomFraction();
  simulation.rentalResponseDelayMs = () => {
    if (chance(simulation, 0.2)) simulation.cloud.rentalResponsesToFail = 1;
    return chance(simulation, heldShare) ? simulation.randomBelow(MAX_HELD_RESPONSE_MS) : 0;
  };
}

const randomDowntimeMs = (simulation: Simulation): number =>
  100 + simulation.randomBelow(chance(simulation, 0.5) ? 500 : 4000);

/** Crashes the leader, the owner of a shard or all controllers from time to time. */
async function crashControllers(simulation: Simulation): Promise<void> {
  const until = simulation.now + TROUBLE_MS;
  while (simulation.now < until) {
    await sleep(1000 + simulation.randomBelow(19_000));
    const { nodes } = simulation;
    const target = [simulation.leader(), simulation.ownerOf(simulation.randomBelow(nodes.length))][
      simulation.randomBelow(3)
    ];
    const crashing = target === undefined ? nodes : [target];
    await Promise.all(crashing.map((node) => crash(simulation, node, randomDowntimeMs(simulation))));
  }
}

/** Submits jobs that need a machine each, and tiny ones, while controllers crash; calls `check` all the while. */
export async function runRentalSchedule(simulation: Simulation, check: () => void): Promise<void> {
  drawEnvironment(simulation);
  const crashes = { areOver: false };
  void crashControllers(simulation).then(() => (crashes.areOver = true));
  const hasTinyJobs = chance(simulation, 0.7);
  const submitUntil = simulation.now + TROUBLE_MS;
  for (let i = 0; !crashes.areOver; i++) {
    if (simulation.now < submitUntil) {
      const isTiny = hasTinyJobs && i % 16 !== 0;
      simulation.submit(`req-${i}`, isTiny ? { vcpus: 0.1, memGb: 0.1 } : { pieces: 2 + (i % 3) });
    }
    await simulation.run(hasTinyJobs ? 100 : 1500);
    check();
  }
  simulation.delayedTransactionShare = 0;
  simulation.rentalResponseDelayMs = () => 0;
  simulation.faultsEndedAt = simulation.now;
}
