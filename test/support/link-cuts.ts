/** Schedules of link cuts, refusals, outages and restarts for a simulated deployment. */
import { sleep } from "../../src/runtime/sleep.js";
import type { Cut, Cuts, Simulation } from "./simulation.js";

/** A link that a schedule can cut. */
export type ScheduledLink = Exclude<keyof Cuts, "watches">;

/** A fault with its start time and duration, in milliseconds of simulated time. */
export type ScheduledFault =
  | { kind: "cut"; at: number; node: number; link: ScheduledLink; cut: Cut; forMs: number }
  | { kind: "restart"; at: number; node: number; awayMs: number }
  | { kind: "refused"; at: number; node: number; forMs: number }
  | { kind: "outage"; at: number; forMs: number };

/**
 * Injects all faults of a schedule, and resolves when the last has ended and all links are restored. If cuts of one
 * link overlap, the end of the first restores the link.
 */
export async function runSchedule(simulation: Simulation, schedule: ScheduledFault[]): Promise<void> {
  await Promise.all(schedule.map((fault) => runFault(simulation, fault)));
  for (const node of simulation.nodes)
    for (const link of ["state", "peers", "workers", "cloud", "users"] as const) node.cut[link] = false;
}

async function runFault(simulation: Simulation, fault: ScheduledFault): Promise<void> {
  await sleep(fault.at);
  switch (fault.kind) {
    case "cut": {
      const { cut } = simulation.nodes[fault.node]!;
      cut[fault.link] = fault.cut;
      await sleep(fault.forMs);
      cut[fault.link] = false;
      return;
    }
    case "restart": {
      const node = simulation.nodes[fault.node]!;
      simulation.crash(node);
      await sleep(fault.awayMs);
      if (node.instance === null) simulation.startNode(node);
      return;
    }
    case "refused":
      simulation.store.refused.add(fault.node);
      await sleep(fault.forMs);
      simulation.store.refused.delete(fault.node);
      return;
    case "outage":
      simulation.store.down = true;
      await sleep(fault.forMs);
      simulation.store.down = false;
      return;
  }
}
