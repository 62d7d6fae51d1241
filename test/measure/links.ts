/**
 * Measures the link monitor in simulated time: how soon a cut shows and something is done about it, what it finds where
 * nothing is cut, what it costs, and what is done meanwhile with and without the policy. Not part of CI:
 * `npm run measure:links -- FOLDER [SEEDS]` writes results.json and an HTML report with plots.
 */
import { mkdirSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import type { Direction, LinkState } from "../../src/links/model.js";
import type { MonitorMode } from "../../src/links/settings.js";
import { playSchedule, type ScheduledFault, type ScheduledLink } from "../support/link-cuts.js";
import { Simulation, type SimulatedNode } from "../support/simulation.js";
import { testSettings } from "../support/settings.js";
import { TEAMS, submitRandomJobs } from "../support/workload.js";
import { reportPage } from "./links-report.js";

const CONTROLLERS = 3;
const GIVE_UP_MS = 60_000;
const WARM_UP_MS = 30_000;

/** How long something took, in report intervals, by seed; null where it did not happen within a minute. */
export interface Reaction {
  link: ScheduledLink;
  direction: Direction;
  shown: (number | null)[];
  /** Until somebody else does what this controller cannot; empty where nothing is to be done. */
  handled: (number | null)[];
  /** From healing until the link is up again. */
  recovered: (number | null)[];
}

/** What the monitor found where no link was cut. */
export interface FalseAlarms {
  schedule: string;
  minutes: number;
  /** Transitions to down, by link and direction. */
  downs: Record<string, number>;
}

/** What a minute of a deployment costs. */
export interface Cost {
  mode: MonitorMode;
  peerQuestions: number;
  stateRequests: number;
  cpuMs: number;
}

/** What was done while links were cut. */
export interface Progress {
  mode: MonitorMode;
  tasksDone: number;
  starts: number;
  shardMoves: number;
  broken: number;
}

/** All that is measured. */
export interface Measurements {
  seeds: number;
  reportMs: number;
  leaseMs: number;
  reactions: Reaction[];
  falseAlarms: FalseAlarms[];
  costs: Cost[];
  progress: Progress[];
}

function begin(seed: number, mode: MonitorMode): Simulation {
  return Simulation.start(CONTROLLERS, seed, { teams: TEAMS, operator: { links: { mode } } });
}

/** Plays something in a deployment of its own. */
async function inWorld<T>(
  seed: number,
  mode: MonitorMode,
  play: (world: Simulation) => Promise<T>,
): Promise<T> {
  const world = begin(seed, mode);
  try {
    return await play(world);
  } finally {
    world.close();
  }
}

function isIn(state: LinkState, node: SimulatedNode, link: string, direction: Direction): boolean {
  const links = node.life?.controller.httpDependencies.linkStatus().links ?? [];
  return links.some((of) => of.link.startsWith(link) && of.direction === direction && of.state === state);
}

/** Report intervals until something holds; null if it never does. */
async function reportsUntil(world: Simulation, met: () => boolean): Promise<number | null> {
  const since = world.now;
  const happened = await world.runUntil(met, GIVE_UP_MS);
  return happened ? (world.now - since) / world.settings.workers.heartbeatIntervalMs : null;
}

function victimOf(world: Simulation, link: ScheduledLink): SimulatedNode {
  return (link === "cloud" ? world.leader() : world.ownerOf(0)) ?? world.nodes[0]!;
}

async function react(seed: number, link: ScheduledLink, direction: Direction, into: Reaction): Promise<void> {
  await inWorld(seed, "enforce", async (world) => {
    let over = false;
    void submitRandomJobs(world, () => over, 1000);
    await world.run(WARM_UP_MS);
    const node = victimOf(world, link);
    const shown = link === "peers" ? "peer:" : link;
    node.cut[link] = direction;
    const since = world.now;
    const handled = handledBy(world, node, link);
    const after: { shown: number | null; handled: number | null } = { shown: null, handled: null };
    // A shard that has passed on leaves no workers to be missed: what comes first ends the other's chance.
    await world.runUntil(() => {
      const reports = (world.now - since) / world.settings.workers.heartbeatIntervalMs;
      if (isIn("down", node, shown, direction)) after.shown ??= reports;
      if (handled?.()) after.handled ??= reports;
      return handled === null ? after.shown !== null : after.handled !== null;
    }, GIVE_UP_MS);
    into.shown.push(after.shown);
    if (handled !== null) into.handled.push(after.handled);
    node.cut[link] = false;
    if (link !== "workers" && link !== "cloud")
      into.recovered.push(await reportsUntil(world, () => isIn("up", node, shown, direction)));
    over = true;
  });
}

/** When another does what a cut controller cannot; null where there is nothing of the kind. */
function handledBy(world: Simulation, node: SimulatedNode, link: ScheduledLink): (() => boolean) | null {
  if (link === "state" || link === "workers") return () => world.ownerOf(0) !== node;
  if (link === "cloud") return () => world.leader() !== undefined && world.leader() !== node;
  return null;
}

async function reactions(seeds: number): Promise<Reaction[]> {
  const all: Reaction[] = [];
  for (const link of ["state", "workers", "peers", "cloud", "users"] as const)
    for (const direction of ["outbound", "inbound"] as const) {
      // Users ask and are answered on one exchange: that answers are lost, the users alone can see.
      if (link === "users" && direction === "outbound") continue;
      const reaction: Reaction = { link, direction, shown: [], handled: [], recovered: [] };
      for (let seed = 1; seed <= seeds; seed++) await react(seed, link, direction, reaction);
      all.push(reaction);
    }
  return all;
}

/** Counts how often a link goes down although none is cut. */
async function falseAlarms(seeds: number): Promise<FalseAlarms[]> {
  const MINUTES = 3;
  const overload = (world: Simulation): void => {
    world.stateLatencyMs = 400;
    world.answersHeldMs = 2000;
    world.workers.duplicateShare = 0.3;
  };
  const found: FalseAlarms[] = [];
  for (const [schedule, prepare] of [
    ["quiet", () => undefined],
    ["overloaded", overload],
  ] as const) {
    const downs: Record<string, number> = {};
    for (let seed = 1; seed <= seeds; seed++)
      await inWorld(seed, "enforce", async (world) => {
        prepare(world);
        await countDowns(world, MINUTES * 60_000, downs);
      });
    found.push({ schedule, minutes: MINUTES * seeds, downs });
  }
  return found;
}

async function countDowns(world: Simulation, ms: number, downs: Record<string, number>): Promise<void> {
  let over = false;
  void submitRandomJobs(world, () => over, 1000);
  let before = new Set<string>();
  const until = world.now + ms;
  while (world.now < until) {
    await world.run(500);
    const down = downDirections(world);
    for (const found of down) {
      if (before.has(found)) continue;
      const link = found.replace(/^\S+ /, "").replace(/:\S+/, "");
      downs[link] = (downs[link] ?? 0) + 1;
    }
    before = down;
  }
  over = true;
}

function downDirections(world: Simulation): Set<string> {
  const down = new Set<string>();
  for (const node of world.nodes)
    for (const { link, direction, state } of node.life?.controller.httpDependencies.linkStatus().links ?? [])
      if (state === "down") down.add(`${node.name} ${link} ${direction}`);
  return down;
}

async function costs(seeds: number): Promise<Cost[]> {
  const MINUTES = 3;
  const all: Cost[] = [];
  for (const mode of ["off", "observe", "enforce"] as const) {
    const cost: Cost = { mode, peerQuestions: 0, stateRequests: 0, cpuMs: 0 };
    for (let seed = 1; seed <= seeds; seed++)
      await inWorld(seed, mode, async (world) => {
        let over = false;
        void submitRandomJobs(world, () => over, 1000);
        await world.run(WARM_UP_MS);
        const before = { questions: world.peerQuestions, requests: world.store.requests };
        const cpu = process.cpuUsage();
        await world.run(MINUTES * 60_000);
        const used = process.cpuUsage(cpu);
        cost.peerQuestions += (world.peerQuestions - before.questions) / MINUTES / seeds;
        cost.stateRequests += (world.store.requests - before.requests) / MINUTES / seeds;
        cost.cpuMs += (used.user + used.system) / 1000 / MINUTES / seeds;
        over = true;
      });
    all.push(cost);
  }
  return all;
}

/** Cuts of one controller's link after the other, each direction, as a schedule for all modes alike. */
function schedule(world: Simulation): ScheduledFault[] {
  const faults: ScheduledFault[] = [];
  for (let i = 0; i < 6; i++) {
    const link = (["state", "workers", "cloud"] as const)[world.pick(3)]!;
    const cut = ([true, "inbound", "outbound"] as const)[world.pick(3)]!;
    faults.push({ kind: "cut", at: i * 25_000, node: world.pick(CONTROLLERS), link, cut, forMs: 20_000 });
  }
  return faults;
}

async function progress(seeds: number): Promise<Progress[]> {
  const all: Progress[] = [];
  for (const mode of ["off", "enforce"] as const) {
    const sum: Progress = { mode, tasksDone: 0, starts: 0, shardMoves: 0, broken: 0 };
    for (let seed = 1; seed <= seeds; seed++)
      await inWorld(seed, mode, async (world) => {
        await world.run(10_000);
        world.store.onChange = (change) => {
          if ("put" in change && change.put.startsWith("fernpond/live/shards/")) sum.shardMoves++;
        };
        let over = false;
        void playSchedule(world, schedule(world)).then(() => (over = true));
        await submitRandomJobs(world, () => over, 1000);
        for (const job of world.jobs.values()) sum.tasksDone += job.completed.size;
        sum.starts += world.cloud.starts.length;
        sum.broken += world.broken.length;
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
  reactions: await reactions(seeds),
  falseAlarms: await falseAlarms(seeds),
  costs: await costs(seeds),
  progress: await progress(seeds),
};
mkdirSync(folder, { recursive: true });
writeFileSync(join(folder, "results.json"), `${JSON.stringify(measurements, null, 2)}\n`);
writeFileSync(join(folder, "report.html"), reportPage(measurements));
process.stdout.write(`${join(folder, "report.html")}\n`);
process.exit(0);
