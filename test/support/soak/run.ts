/** One soak run: executes the plan of a seed on real controllers and fake services, and checks the observations. */
import { mkdirSync, readFileSync, readdirSync, rmSync, writeFileSync } from "node:fs";
import { join, resolve } from "node:path";
import { sleep } from "../../../src/runtime/sleep.js";
import { Cluster } from "../cluster.js";
import { checkSoak, type SoakFindings, type SoakJob } from "./checker.js";
import { FaultInjector, MessageFaults } from "./faults.js";
import { CONTROLLERS, SOAK_TIMINGS, SeededRandom, planOf, FAULT_WINDOW_MS, type SoakPlan } from "./plan.js";
import { SoakRecorder } from "./recorder.js";
import { SoakUsers } from "./users.js";

/** The maximum time that a run waits for the last jobs to end after all faults. */
const SETTLE_TIMEOUT_MS = 90_000;
/** After a longer pause of the fakes, workers missed heartbeats without a planned fault: the run is not valid. */
const MAX_PAUSE_MS = SOAK_TIMINGS.leaseMs / 2;

const CPU_LIMITS = new Map([["capped", 8]]);
const TEAMS = `[[settings.teams]]\nname = "free"\n[[settings.teams]]\nname = "capped"\ncpus = 4.0\ncpus_max = 8.0`;

/** `held`: no rule was violated; `broke`: one was; `not_valid`: none was, but the fakes were paused for too long. */
export type SoakVerdict = "held" | "broke" | "not_valid";

/** The result of a run, as it is written to the record of a soak. */
export interface SoakResult extends SoakFindings {
  seed: number;
  verdict: SoakVerdict;
  /** The kinds of the planned faults, in order. */
  faults: string[];
  /** The number of machines rented in total. */
  machines: number;
  longestPauseMs: number;
  /** The path of the merged timeline; null if it was not kept. */
  timeline: string | null;
}

/** Runs the plan of a seed. The timeline is kept in `folder` unless the verdict is `held`. */
export async function runSoak(seed: number, folder: string): Promise<SoakResult> {
  const plan = planOf(seed);
  const logFolder = resolve(folder, `logs-${seed}`);
  rmSync(logFolder, { recursive: true, force: true });
  mkdirSync(logFolder, { recursive: true });
  const recorder = new SoakRecorder();
  const messages = new MessageFaults(new SeededRandom(seed + 1_000_000));
  const cluster = await Cluster.start(CONTROLLERS, {
    isProxied: true,
    timings: { ...SOAK_TIMINGS },
    teams: TEAMS,
    logFolder,
    observer: recorder,
    transactionDelivery: () => messages.nextTransactionDelivery(),
    answerDelayMs: () => messages.nextAnswerDelayMs(),
  });
  const stopCluster = (): void => void cluster.stop();
  process.once("exit", stopCluster);
  try {
    await executePlan(plan, cluster, recorder, messages);
    const jobs = new Map(plan.jobs.map((job): [string, SoakJob] => [job.id, checkedJobOf(job)]));
    const rules = { cancelMs: SOAK_TIMINGS.cancelMs, cpuLimits: CPU_LIMITS };
    const findings = checkSoak(recorder.events, jobs, rules, recorder.now);
    await addViolations(cluster, findings);
    return buildResult(plan, findings, recorder, cluster.cloud.rentedCount, folder, logFolder);
  } finally {
    process.off("exit", stopCluster);
    recorder.close();
    await cluster.stop();
  }
}

function checkedJobOf({ body }: SoakPlan["jobs"][number]): SoakJob {
  return { tasks: body.pieces, team: body.crew, cpus: body.vcpus, zone: body.bank };
}

async function executePlan(
  plan: SoakPlan,
  cluster: Cluster,
  recorder: SoakRecorder,
  messages: MessageFaults,
): Promise<void> {
  const users = new SoakUsers(cluster, recorder, new SeededRandom(plan.seed + 2_000_000));
  const cancelRunning = async (): Promise<void> => {
    const running = new Set<string>();
    for (const machine of cluster.cloud.machines.values())
      for (const task of machine.running) running.add(task.slice(0, task.indexOf("/")));
    // The requests continue in the background: the fault is only that they are sent at this time.
    for (const id of running) void users.cancel(id);
    await sleep(0);
  };
  const random = new SeededRandom(plan.seed + 3_000_000);
  const injector = new FaultInjector({ cluster, messages, recorder, random, cancelRunning });
  for (const job of plan.jobs) void users.follow(job);
  await Promise.all([sleep(FAULT_WINDOW_MS), ...plan.faults.map((fault) => injector.inject(fault))]);
  injector.healAll();
  recorder.note("all faults are over");
  const deadline = recorder.now + SETTLE_TIMEOUT_MS;
  // Long enough for a cancellation that was confirmed last to exceed its time limit.
  await sleep(SOAK_TIMINGS.cancelMs + SOAK_TIMINGS.leaseMs);
  while (users.openJobs.length > 0 && recorder.now < deadline) await sleep(SOAK_TIMINGS.heartbeatIntervalMs);
  users.stop();
}

/** Adds the lease renewals that controllers rejected in a final check because they would have violated a rule. */
async function addViolations(cluster: Cluster, findings: SoakFindings): Promise<void> {
  for (let node = 0; node < CONTROLLERS; node++) {
    const { body } = await cluster.request(node, "GET", "/decisions");
    if (Number(body.violations ?? 0) > 0)
      findings.broken.push(`violation: node-${node} ${JSON.stringify(body.refused)}`);
  }
}

function buildResult(
  plan: SoakPlan,
  findings: SoakFindings,
  recorder: SoakRecorder,
  machines: number,
  folder: string,
  logFolder: string,
): SoakResult {
  const longestPauseMs = Math.round(recorder.longestPauseMs);
  const isPauseTooLong = longestPauseMs > MAX_PAUSE_MS;
  const verdict = findings.broken.length > 0 ? "broke" : isPauseTooLong ? "not_valid" : "held";
  const timeline = verdict === "held" ? null : resolve(folder, `seed-${plan.seed}.timeline`);
  if (timeline !== null) writeFileSync(timeline, mergedTimeline(recorder, logFolder));
  rmSync(logFolder, { recursive: true, force: true });
  const faults = plan.faults.map(({ kind }) => kind);
  return { seed: plan.seed, verdict, ...findings, faults, machines, longestPauseMs, timeline };
}

/** Merges the observed events, the notes and the controllers' logs in the order of wall-clock time. */
function mergedTimeline(recorder: SoakRecorder, logFolder: string): string {
  const lines: { time: number; text: string }[] = [];
  const timeOf = (at: number): number => performance.timeOrigin + at;
  for (const { at, ...event } of recorder.events)
    lines.push({ time: timeOf(at), text: `event ${JSON.stringify(event)}` });
  for (const { at, text } of recorder.notes) lines.push({ time: timeOf(at), text });
  for (const file of readdirSync(logFolder))
    for (const line of readFileSync(join(logFolder, file), "utf8").split("\n")) {
      if (line === "") continue;
      const time = Number(/"time":(\d+)/.exec(line)?.[1] ?? 0);
      lines.push({ time, text: `${file} ${line}` });
    }
  lines.sort((a, b) => a.time - b.time);
  return lines.map(({ time, text }) => `${new Date(time).toISOString()} ${text}\n`).join("");
}
