/** What scenarios of simulated deployments have in common: their shape, and steps that many of them take. */
import assert from "node:assert/strict";
import type { SimulatedNode, Simulation, UserJob } from "./simulation.js";
import type { SettingsOptions } from "./settings.js";

/** A scenario that is run against a simulated deployment with jobs of its own. */
export interface FaultCombination {
  /** The condition, and the expected behavior where the scenario asserts more than the invariants. */
  name: string;
  settings?: SettingsOptions;
  /** Submits jobs and injects the faults; all faults have ended when it resolves. */
  run: (simulation: Simulation) => Promise<void>;
}

/** The run time of tasks that outlast the faults of most scenarios. */
export const LONG_RUN_MS = 60_000;

/** Submits a job with long tasks, and waits until all of them run. */
export async function startJob(
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

export function submitLongJob(
  simulation: Simulation,
  id: string,
  overrides: Record<string, unknown> = {},
): UserJob {
  (simulation.workers.runMsByJob ??= new Map()).set(id, LONG_RUN_MS);
  return simulation.submit(id, { pieces: 6, guessS: LONG_RUN_MS / 1000, ...overrides });
}

/** The owner of a shard, and another node, which is not the leader if possible. */
export function ownerAndOther(
  simulation: Simulation,
  shard: number,
): { owner: SimulatedNode; other: SimulatedNode } {
  const owner = simulation.ownerOf(shard)!;
  const other =
    simulation.nodes.find((n) => n !== owner && n !== simulation.leader()) ?? simulation.nodes[0]!;
  return { owner, other };
}

export async function crashAndRestart(
  simulation: Simulation,
  node: SimulatedNode,
  downtimeMs: number,
): Promise<void> {
  simulation.crash(node);
  await simulation.run(downtimeMs);
  simulation.startNode(node);
}
