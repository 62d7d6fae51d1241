/**
 * Measures the link monitor in simulated time: the time to detect a cut and to react to it, false alarms, cost, and the
 * progress of tasks during cuts with and without the policy. Not part of CI: `npm run measure:links -- FOLDER [SEEDS]`
 * writes results.json and an HTML report with plots.
 */
import { mkdirSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import type { Direction, LinkState } from "../../src/links/model.js";
import type { MonitorMode } from "../../src/links/settings.js";
import { runSchedule, type ScheduledFault, type ScheduledLink } from "../support/link-cuts.js";
import { Simulation, type SimulatedNode } from "../support/simulation.js";
import { testSettings } from "../support/settings.js";
import { TEAMS, submitRandomJobs } from "../support/workload.js";
import { reportPage } from "./links-report.js";

const CONTROLLERS = 3;
const GIVE_UP_MS = 60_000;
const WARM_UP_MS = 30_000;

/** Reaction times to a cut in heartbeat intervals, one per seed; null for what did not happen within `GIVE_UP_MS`. */
export interface Reaction {
  link: ScheduledLink;
  direction: Direction;
  /** From the cut until the link is reported as down. */
  shown: (number | null)[];
  /** From the cut until another controller has taken over; empty if the link calls for no take-over. */
  handled: (number | null)[];
  /** From the end of the cut until the link is up again. */
  recovered: (number | null)[];
}

/** Transitions to down while no link was cut. */
export interface FalseAlarms {
  schedule: string;
  minutes: number;
  /** Number of transitions to down, by link and direction. */
  downs: Record<string, number>;
}

/** The cost of a deployment per simulated minute. */
export interface Cost {
  mode: MonitorMode;
  peerQuestions: number;
  stateRequests: number;
  cpuMs: number;
}

/** The progress of tasks while links were cut. */
export interface Progress {
  mode: MonitorMode;
  tasksDone: number;
  starts: number;
  shardMoves: number;
  /** Number of invariant violations. */
  broken: number;
}

/** The results of all measurements. */
export interface Measurements {
  seeds: number;
  reportMs: number;
  leaseMs: number;
  reactions: Reaction[];
  falseAlarms: FalseAlarms[];
  costs: Cost[];
  progress: Progress[];
}

function startSimulation(seed: number, mode: MonitorMode): Simulation {
  return Simulation.start(CONTROLLERS, seed, { teams: TEAMS, operator: { links: { mode } } });
}

/** Runs a function with a deployment of its own. */
async function withSimulation<T>(
  seed: number,
  mode: MonitorMode,
  run: (simulation: Simulation) => Promise<T>,
): Promise<T> {
  const simulation = startSimulation(seed, mode);
  try {
    return await run(simulation);
  } finally {
    simulation.close();
  }
}

function hasLinkInState(state: LinkState, node: SimulatedNode, link: string, direction: Direction): boolean {
  const links = node.instance?.controller.httpDependencies.linkStatus().links ?? [];
  return links.some((of) => of.link.startsWith(link) && of.direction === direction && of.state === state);
}

/** Returns the heartbeat intervals until a condition holds; null if it does not within `GIVE_UP_MS`. */
async function reportIntervalsUntil(simulation: Simulation, met: () => boolean): Promise<number | null> {
  const since = simulation.now;
  const happened = await simulation.runUntil(met, GIVE_UP_MS);
  return happened ? (simulation.now - since) / simulation.settings.workers.heartbeatIntervalMs : null;
}

function nodeToCut(simulation: Simulation, link: ScheduledLink): SimulatedNode {
  return (link === "cloud" ? simulation.leader() : simulation.ownerOf(0)) ?? simulation.nodes[0]!;
}

async function measureReaction(
  seed: number,
  link: ScheduledLink,
  direction: Direction,
  reaction: Reaction,
): Promise<void> {
  await withSimulation(seed, "enforce", async (simulation) => {
    let isOver = false;
    void submitRandomJobs(simulation, () => isOver, 1000);
    await simulation.run(WARM_UP_MS);
    const node = nodeToCut(simulation, link);
    const linkPrefix = link === "peers" ? "peer:" : link;
    node.cut[link] = direction;
    const since = simulation.now;
    const hasTakenOver = takeoverCheck(simulation, node, link);
    const observed: { shown: number | null; handled: number | null } = { shown: null, handled: null };
    // After a hand-over this controller has no workers left to miss, so the link may not be reported as down later.
    await simulation.runUntil(() => {
      const reports = (simulation.now - since) / simulation.settings.workers.heartbeatIntervalMs;
      if (hasLinkInState("down", node, linkPrefix, direction)) observed.shown ??= reports;
      if (hasTakenOver?.()) observed.handled ??= reports;
      return hasTakenOver === null ? observed.shown !== null : observed.handled !== null;
    }, GIVE_UP_MS);
    reaction.shown.push(observed.shown);
    if (hasTakenOver !== null) reaction.handled.push(observed.handled);
    node.cut[link] = false;
    if (link !== "workers" && link !== "cloud")
      reaction.recovered.push(
        await reportIntervalsUntil(simulation, () => hasLinkInState("up", node, linkPrefix, direction)),
      );
    isOver = true;
  });
}

/** Returns a condition that holds once another controller has taken over; null if the link calls for no take-over. */
function takeoverCheck(
  simulation: Simulation,
  node: SimulatedNode,
  link: ScheduledLink,
): (() => boolean) | null {
  if (link === "state" || link === "workers") return () => simulation.ownerOf(0) !== node;
  if (link === "cloud") return () => simulation.leader() !== undefined && simulation.leader() !== node;
  return null;
}

async function measureReactions(seeds: number): Promise<Reaction[]> {
  const all: Reaction[] = [];
  for (const link of ["state", "workers", "peers", "cloud", "users"] as const)
    for (const direction of ["outbound", "inbound"] as const) {
      // Only users can see that responses to them are lost, so the monitor reports no failure of this direction.
      if (link === "users" && direction === "outbound") continue;
      const reaction: Reaction = { link, direction, shown: [], handled: [], recovered: [] };
      for (let seed = 1; seed <= seeds; seed++) await measureReaction(seed, link, direction, reaction);
      all.push(reaction);
    }
  return all;
}

/** Counts transitions to down while no link is cut. */
async function measureFalseAlarms(seeds: number): Promise<FalseAlarms[]> {
  const MINUTES = 3;
  const overload = (simulation: Simulation): void => {
    simulation.stateLatencyMs = 400;
    simulation.maxResponseDelayMs = 2000;
    simulation.workers.duplicateShare = 0.3;
  };
  const found: FalseAlarms[] = [];
  for (const [schedule, prepare] of [
    ["quiet", () => undefined],
    ["overloaded", overload],
  ] as const) {
    const downs: Record<string, number> = {};
    for (let seed = 1; seed <= seeds; seed++)
      await withSimulation(seed, "enforce", async (simulation) => {
        prepare(simulation);
        await countDowns(simulation, MINUTES * 60_000, downs);
      });
    found.push({ schedule, minutes: MINUTES * seeds, downs });
  }
  return found;
}

async function countDowns(simulation: Simulation, ms: number, downs: Record<string, number>): Promise<void> {
  let isOver = false;
  void submitRandomJobs(simulation, () => isOver, 1000);
  let before = new Set<string>();
  const until = simulation.now + ms;
  while (simulation.now < until) {
    await simulation.run(500);
    const down = downDirections(simulation);
    for (const found of down) {
      if (before.has(found)) continue;
      const link = found.replace(/^\S+ /, "").replace(/:\S+/, "");
      downs[link] = (downs[link] ?? 0) + 1;
    }
    before = down;
  }
  isOver = true;
}

function downDirections(simulation: Simulation): Set<string> {
  const down = new Set<string>();
  for (const node of simulation.nodes)
    for (const { link, direction, state } of node.instance?.controller.httpDependencies.linkStatus().links ??
      [])
      if (state === "down") down.add(`${node.name} ${link} ${direction}`);
  return down;
}

async function measureCosts(seeds: number): Promise<Cost[]> {
  const MINUTES = 3;
  const all: Cost[] = [];
  for (const mode of ["off", "observe", "enforce"] as const) {
    const cost: Cost = { mode, peerQuestions: 0, stateRequests: 0, cpuMs: 0 };
    for (let seed = 1; seed <= seeds; seed++)
      await withSimulation(seed, mode, async (simulation) => {
        let isOver = false;
        void submitRandomJobs(simulation, () => isOver, 1000);
        await simulation.run(WARM_UP_MS);
        const before = { questions: simulation.peerRequestCount, requests: simulation.store.requests };
        const cpu = process.cpuUsage();
        await simulation.run(MINUTES * 60_000);
        const used = process.cpuUsage(cpu);
        cost.peerQuestions += (simulation.peerRequestCount - before.questions) / MINUTES / seeds;
        cost.stateRequests += (simulation.store.requests - before.requests) / MINUTES / seeds;
        cost.cpuMs += (used.user + used.system) / 1000 / MINUTES / seeds;
        isOver = true;
      });
    all.push(cost);
  }
  return all;
}

/** Draws a schedule of consecutive cuts from the simulation's seeded generator, to compare the modes under cuts. */
function randomSchedule(simulation: Simulation): ScheduledFault[] {
  const faults: ScheduledFault[] = [];
  for (let i = 0; i < 6; i++) {
    const link = (["state", "workers", "cloud"] as const)[simulation.randomBelow(3)]!;
    const cut = ([true, "inbound", "outbound"] as const)[simulation.randomBelow(3)]!;
    faults.push({
      kind: "cut",
      at: i * 25_000,
      node: simulation.randomBelow(CONTROLLERS),
      link,
      cut,
      forMs: 20_000,
    });
  }
  return faults;
}

async function measureProgress(seeds: number): Promise<Progress[]> {
  const all: Progress[] = [];
  for (const mode of ["off", "enforce"] as const) {
    const sum: Progress = { mode, tasksDone: 0, starts: 0, shardMoves: 0, broken: 0 };
    for (let seed = 1; seed <= seeds; seed++)
      await withSimulation(seed, mode, async (simulation) => {
        await simulation.run(10_000);
        simulation.store.onChange = (change) => {
          if ("put" in change && change.put.startsWith("fernpond/live/shards/")) sum.shardMoves++;
        };
        let isOver = false;
        void runSchedule(simulation, randomSchedule(simulation)).then(() => (isOver = true));
        await submitRandomJobs(simulation, () => isOver, 1000);
        for (const job of simulation.jobs.values()) sum.tasksDone += job.completedTasks.size;
        sum.starts += simulation.cloud.startedTasks.length;
        sum.broken += simulation.violations.length;
      });
    all.push(sum);
  }
  return all;
}

const [folder = "target/measure", seedsText = "5"] = process.argv.slice(2);
const seeds = Number(seedsText);
const { heartbeatIntervalMs: reportMs, leaseMs } = testSettings().workers;
const measurements: Measurements = {
  seeds,
  reportMs,
  leaseMs,
  reactions: await measureReactions(seeds),
  falseAlarms: await measureFalseAlarms(seeds),
  costs: await measureCosts(seeds),
  progress: await measureProgress(seeds),
};
mkdirSync(folder, { recursive: true });
writeFileSync(join(folder, "results.json"), `${JSON.stringify(measurements, null, 2)}\n`);
writeFileSync(join(folder, "report.html"), reportPage(measurements));
process.stdout.write(`${join(folder, "report.html")}\n`);
process.exit(0);
