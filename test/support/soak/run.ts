/** One soak run: real controllers, stand-ins around them, the plan of a seed, and what the checker finds. */
import { mkdirSync, readFileSync, readdirSync, rmSync, writeFileSync } from "node:fs";
import { join, resolve } from "node:path";
import { sleep } from "../../../src/runtime/sleep.js";
import { Cluster } from "../cluster.js";
import { checkSoak, type SoakFindings, type SoakJob } from "./checker.js";
import { FaultPlayer, MessageFaults } from "./faults.js";
import { CONTROLLERS, FIGURES, Luck, planOf, SPELL_MS, type SoakPlan } from "./plan.js";
import { SoakRecorder } from "./recorder.js";
import { SoakUsers } from "./users.js";

/** How long a run waits at the most for the last jobs to end once all faults are over. */
const SETTLE_MS = 90_000;
/** If the stand-ins stood still for longer, workers missed reports for no fault of the plan's: the run shows nothing. */
const MOST_PAUSE_MS = FIGURES.leaseMs / 2;

const LIMITS = new Map([["capped", 8]]);
const TEAMS = `[[settings.teams]]\nname = "free"\n[[settings.teams]]\nname = "capped"\ncpus = 4.0\ncpus_max = 8.0`;

/** `not_valid`: nothing broke, and the stand-ins stood still for so long that it says nothing. */
export type SoakVerdict = "held" | "broke" | "not_valid";

export interface SoakResult extends SoakFindings {
  seed: number;
  verdict: SoakVerdict;
  faults: string[];
  machines: number;
  longestPauseMs: number;
  /** Where the merged timeline is, if it was kept. */
  timeline: string | null;
}

/** Plays the plan of a seed. The timeline is kept in `folder` unless all held. */
export async function soak(seed: number, folder: string): Promise<SoakResult> {
  const plan = planOf(seed);
  const logFolder = resolve(folder, `logs-${seed}`);
  rmSync(logFolder, { recursive: true, force: true });
  mkdirSync(logFolder, { recursive: true });
  const recorder = new SoakRecorder();
  const messages = new MessageFaults(new Luck(seed + 1_000_000));
  const cluster = await Cluster.start(CONTROLLERS, {
    proxied: true,
    figures: { ...FIGURES },
    teams: TEAMS,
    logFolder,
    observer: recorder,
    transactionFate: () => messages.transactionFate(),
    answerDelayMs: () => messages.answerDelayMs(),
  });
  const end = (): void => void cluster.stop();
  process.once("exit", end);
  try {
    await play(plan, cluster, recorder, messages);
    const jobs = new Map(plan.jobs.map((job): [string, SoakJob] => [job.id, jobFacts(job)]));
    const rules = { cancelMs: FIGURES.cancelMs, limits: LIMITS };
    const findings = checkSoak(recorder.events, jobs, rules, recorder.now);
    await addViolations(cluster, findings);
    return conclude(plan, findings, recorder, cluster.cloud.rentedCount, folder, logFolder);
  } finally {
    process.off("exit", end);
    recorder.close();
    await cluster.stop();
  }
}

function jobFacts({ body }: SoakPlan["jobs"][number]): SoakJob {
  return { tasks: body.pieces, team: body.crew, cpus: body.vcpus, zone: body.bank };
}

async function play(
  plan: SoakPlan,
  cluster: Cluster,
  recorder: SoakRecorder,
  messages: MessageFaults,
): Promise<void> {
  const users = new SoakUsers(cluster, recorder, new Luck(plan.seed + 2_000_000));
  const cancelRunning = async (): Promise<void> => {
    const running = new Set<string>();
    for (const machine of cluster.cloud.machines.values())
      for (const task of machine.running) running.add(task.slice(0, task.indexOf("/")));
    // Cancellations go on by themselves: the fault is that they come at this moment.
    for (const id of running) void users.cancel(id);
    await sleep(0);
  };
  const luck = new Luck(plan.seed + 3_000_000);
  const player = new FaultPlayer({ cluster, messages, recorder, luck, cancelRunning });
  for (const job of plan.jobs) void users.follow(job);
  await Promise.all([sleep(SPELL_MS), ...plan.faults.map((fault) => player.play(fault))]);
  player.healAll();
  recorder.remark("all faults are over");
  const giveUpAt = recorder.now + SETTLE_MS;
  // Long enough for a cancellation that was confirmed at the very end to have failed.
  await sleep(FIGURES.cancelMs + FIGURES.leaseMs);
  while (users.open.length > 0 && recorder.now < giveUpAt) await sleep(FIGURES.heartbeatIntervalMs);
  users.stop();
}

/** Answers that a controller refused at the last moment since they would have broken a rule. */
async function addViolations(cluster: Cluster, findings: SoakFindings): Promise<void> {
  for (let node = 0; node < CONTROLLERS; node++) {
    const { body } = await cluster.request(node, "GET", "/decisions");
    if (Number(body.violations ?? 0) > 0)
      findings.broken.push(`violation: node-${node} ${JSON.stringify(body.refused)}`);
  }
}

function conclude(
  plan: SoakPlan,
  findings: SoakFindings,
  recorder: SoakRecorder,
  machines: number,
  folder: string,
  logFolder: string,
): SoakResult {
  const longestPauseMs = Math.round(recorder.longestPauseMs);
  const paused = longestPauseMs > MOST_PAUSE_MS;
  const verdict = findings.broken.length > 0 ? "broke" : paused ? "not_valid" : "held";
  const timeline = verdict === "held" ? null : resolve(folder, `seed-${plan.seed}.timeline`);
  if (timeline !== null) writeFileSync(timeline, mergedTimeline(recorder, logFolder));
  rmSync(logFolder, { recursive: true, force: true });
  const faults = plan.faults.map(({ kind }) => kind);
  return { seed: plan.seed, verdict, ...findings, faults, machines, longestPauseMs, timeline };
}

/** What everybody saw and what the controllers logged, in the order of the time of day. */
function mergedTimeline(recorder: SoakRecorder, logFolder: string): string {
  const lines: { time: number; text: string }[] = [];
  const timeOf = (at: number): number => performance.timeOrigin + at;
  for (const { at, ...event } of recorder.events)
    lines.push({ time: timeOf(at), text: `saw ${JSON.stringify(event)}` });
  for (const { at, text } of recorder.remarks) lines.push({ time: timeOf(at), text });
  for (const file of readdirSync(logFolder))
    for (const line of readFileSync(join(logFolder, file), "utf8").split("\n")) {
      if (line === "") continue;
      const time = Number(/"time":(\d+)/.exec(line)?.[1] ?? 0);
      lines.push({ time, text: `${file} ${line}` });
    }
  lines.sort((a, b) => a.time - b.time);
  return lines.map(({ time, text }) => `${new Date(time).toISOString()} ${text}\n`).join("");
}
