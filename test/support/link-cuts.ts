/** Schedules of link cuts, refusals, outages and restarts for a simulated deployment. */
import { sleep } from "../../src/runtime/sleep.js";
import type { Cut, Cuts, Simulation } from "./simulation.js";

/** A link that a schedule can cut. */
export type ScheduledLink = Exclude<keyof Cuts, "feed">;

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
export async function runSchedule(world: Simulation, schedule: ScheduledFault[]): Promise<void> {
  await Promise.all(schedule.map((fault) => runFault(world, fault)));
  for (const node of world.nodes)
    for (const link of ["state", "peers", "workers", "cloud", "users"] as const) node.cut[link] = false;
}

async function runFault(world: Simulation, fault: ScheduledFault): Promise<void> {
  await sleep(fault.at);
  switch (fault.kind) {
    case "cut": {
      const { cut } = world.nodes[fault.node]!;
      cut[fault.link] = fault.cut;
      await sleep(fault.forMs);
      cut[fault.link] = false;
      return;
    }
    case "restart": {
      const node = world.nodes[fault.node]!;
      world.crash(node);
      await sleep(fault.awayMs);
      if (node.life === null) world.launch(node);
      return;
    }
    case "refused":
      world.store.refused.add(fault.node);
      await sleep(fault.forMs);
      world.store.refused.delete(fault.node);
      return;
    case "outage":
      world.store.down = true;
      await sleep(fault.forMs);
      world.store.down = false;
      return;
  }
}
