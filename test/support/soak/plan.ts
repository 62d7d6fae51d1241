/** The plan of a soak run: its jobs, cancellations and overlapping faults, derived from the seed alone. */
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { Direction } from "../../../src/links/model.js";
import type { CuttableLink } from "../cluster.js";
import type { CutMode } from "../fault-proxy.js";

export const CONTROLLERS = 3;

/** Long enough for a busy machine. The margin of the cancellation time over the lease is that of deployments. */
export const SOAK_TIMINGS = {
  heartbeatIntervalMs: 1000,
  leaseMs: 6000,
  runMs: 1000,
  cancelMs: 18_000,
  timeoutMs: 4000,
  retryMs: 1000,
};

/** Faults and users' requests begin within this time after the start. */
export const FAULT_WINDOW_MS = 45_000;

/** The controller that a fault hits: the owner of the first shard or the leader at that time, or one by index. */
export type Target = "owner" | "leader" | number;

/** A fault, which begins `at` milliseconds after the start. A killed controller is launched again after `backMs`. */
export type SoakFault = { at: number } & (
  | { kind: "restart"; target: Target; backMs: number }
  | { kind: "restart_all"; backMs: number }
  /** The current owner of the first shard is restarted `count` times, every `gapMs`. */
  | { kind: "owners_in_series"; count: number; gapMs: number; backMs: number }
  /** The owner of the first shard is killed, and each later owner `afterMs` after its first response to a worker. */
  | { kind: "owners_end_after_first_answer"; afterMs: number; backMs: number; forMs: number }
  /** One controller is suspended. */
  | { kind: "pause"; target: Target; forMs: number }
  | {
      kind: "cut";
      target: Target;
      link: CuttableLink;
      mode: CutMode;
      directions: Direction[];
      forMs: number;
    }
  /** The state service responds 503 to one controller and serves the others. */
  | { kind: "refused"; target: Target; forMs: number }
  /** The state service is unavailable to all controllers. */
  | { kind: "outage"; forMs: number }
  /** Transactions are executed after a delay and get no response. */
  | { kind: "late_transactions"; share: number; forMs: number }
  /** Transactions are executed while their response is lost. */
  | { kind: "lost_answers"; share: number; forMs: number }
  /** Machines suspend their heartbeats and tasks. */
  | { kind: "machines_hang"; share: number; forMs: number }
  /** Responses to workers are lost. */
  | { kind: "machines_deaf"; share: number; forMs: number }
  /** Heartbeats of workers are lost. */
  | { kind: "machines_mute"; share: number; forMs: number }
  /** Duplicates of heartbeats arrive late. */
  | { kind: "late_reports"; share: number; forMs: number }
  /** Responses to workers are delayed by up to `mostMs`. */
  | { kind: "answers_held"; mostMs: number; forMs: number }
  /** All jobs with running tasks are cancelled. */
  | { kind: "cancel_running" }
);

/** A job that a user submits `at` milliseconds after the start. */
export interface PlannedJob {
  at: number;
  id: string;
  runMs: number;
  /** When the user cancels it, in milliseconds after the start; null if never. */
  cancelAt: number | null;
  body: { pieces: number; crew: string; bank: string | null; rank: string; vcpus: number };
}

/** The jobs and faults of one run. */
export interface SoakPlan {
  seed: number;
  jobs: PlannedJob[];
  faults: SoakFault[];
}

/** A pseudo-random number generator with a seed. */
export class SeededRandom {
  private readonly generator: ReturnType<typeof xoroshiro128plus>;

  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  /** Returns a number from 0 up to but not including 1. */
  fraction(): number {
    return (this.generator.next() >>> 0) / 2 ** 32;
  }

  /** Returns an integer between two bounds, both included. */
  integerBetween(min: number, max: number): number {
    return Math.round(min + this.fraction() * (max - min));
  }

  /** Returns one of the values, each with the same probability. */
  pick<T>(values: readonly T[]): T {
    return values[Math.floor(this.fraction() * values.length)]!;
  }
}

const LINKS: CuttableLink[] = ["state", "workers", "cloud", "users", "peers"];
const DIRECTIONS: Direction[][] = [["inbound"], ["outbound"], ["inbound", "outbound"]];

const randomTarget = (random: SeededRandom): Target =>
  random.pick<Target>(["owner", "owner", "leader", 0, 1, 2]);
/** Draws the time until a restart: less than a second for 60 % of restarts, seconds for the others. */
const randomRestartDelayMs = (random: SeededRandom): number =>
  random.fraction() < 0.6 ? random.integerBetween(50, 600) : random.integerBetween(1000, 8000);
/** Draws the duration of a short fault. */
const randomShortDurationMs = (random: SeededRandom): number => random.integerBetween(500, 10_000);

/** A generator for each kind of fault; kinds that are known to disturb cancellations are listed more than once. */
const FAULT_GENERATORS: ((random: SeededRandom, at: number) => SoakFault)[] = [
  (random, at) => ({
    at,
    kind: "restart",
    target: randomTarget(random),
    backMs: randomRestartDelayMs(random),
  }),
  (random, at) => ({ at, kind: "restart_all", backMs: randomRestartDelayMs(random) }),
  randomOwnersInSeries,
  randomOwnersEndAfterFirstAnswer,
  (random, at) => ({
    at,
    kind: "pause",
    target: randomTarget(random),
    forMs: random.integerBetween(500, 9000),
  }),
  randomCut,
  randomCut,
  (random, at) => ({ at, kind: "refused", target: "owner", forMs: randomShortDurationMs(random) }),
  // 30 % of outages last longer than the cancellation time.
  (random, at) => ({
    at,
    kind: "outage",
    forMs: random.fraction() < 0.3 ? random.integerBetween(18_000, 24_000) : randomShortDurationMs(random),
  }),
  (random, at) => ({ at, kind: "late_transactions", share: 0.3, forMs: randomShortDurationMs(random) }),
  (random, at) => ({ at, kind: "lost_answers", share: 0.3, forMs: randomShortDurationMs(random) }),
  (random, at) => ({ at, kind: "machines_hang", share: 0.5, forMs: random.integerBetween(500, 7000) }),
  (random, at) => ({ at, kind: "machines_deaf", share: 0.5, forMs: randomShortDurationMs(random) }),
  (random, at) => ({ at, kind: "machines_mute", share: 0.5, forMs: randomShortDurationMs(random) }),
  (random, at) => ({ at, kind: "late_reports", share: 0.3, forMs: 2 * randomShortDurationMs(random) }),
  (random, at) => ({
    at,
    kind: "answers_held",
    mostMs: random.integerBetween(500, 6000),
    forMs: randomShortDurationMs(random),
  }),
  (_random, at) => ({ at, kind: "cancel_running" }),
  (_random, at) => ({ at, kind: "cancel_running" }),
];

function randomOwnersInSeries(random: SeededRandom, at: number): SoakFault {
  const count = random.integerBetween(3, 10);
  return {
    at,
    kind: "owners_in_series",
    count,
    gapMs: random.integerBetween(800, 4000),
    backMs: random.integerBetween(50, 600),
  };
}

function randomCut(random: SeededRandom, at: number): SoakFault {
  return {
    at,
    kind: "cut",
    target: randomTarget(random),
    link: random.pick(LINKS),
    mode: random.pick<CutMode>(["hold", "reset"]),
    directions: random.pick(DIRECTIONS),
    forMs: randomShortDurationMs(random),
  };
}

/**
 * The state service refuses the owner only, the owner's jobs are cancelled at other controllers, and then the state
 * service is down for longer than the cancellation time.
 */
function refusalThenOutage(random: SeededRandom, at: number): SoakFault[] {
  return [
    { at, kind: "refused", target: "owner", forMs: 22_000 },
    { at: at + random.integerBetween(200, 1500), kind: "cancel_running" },
    {
      at: at + random.integerBetween(1600, 3000),
      kind: "outage",
      forMs: random.integerBetween(18_500, 21_000),
    },
  ];
}

/** Jobs are cancelled while the shard changes owners so quickly that no worker reports to any of them twice. */
function cancellationChain(random: SeededRandom, at: number): SoakFault[] {
  return [
    randomOwnersEndAfterFirstAnswer(random, at),
    // While the first owner is down, so that no owner that its workers have followed can send them the cancellation.
    { at: at + random.integerBetween(20, 200), kind: "cancel_running" },
    {
      at: at + random.integerBetween(500, 8000),
      kind: "machines_hang",
      share: 0.3,
      forMs: random.integerBetween(500, 3000),
    },
  ];
}

/** Lasts longer than the cancellation time. */
function randomOwnersEndAfterFirstAnswer(random: SeededRandom, at: number): SoakFault {
  const [afterMs, backMs] = [random.integerBetween(0, 500), random.integerBetween(50, 300)];
  const forMs = SOAK_TIMINGS.cancelMs + SOAK_TIMINGS.leaseMs;
  return { at, kind: "owners_end_after_first_answer", afterMs, backMs, forMs };
}

function randomJob(random: SeededRandom, number: number): PlannedJob {
  const at = random.integerBetween(0, FAULT_WINDOW_MS);
  const isLong = random.fraction() < 0.5;
  return {
    at,
    id: `req-${number}`,
    runMs: isLong ? 600_000 : random.integerBetween(300, 6000),
    // Long jobs would outlast the run: all are cancelled, at the latest shortly after the fault window.
    cancelAt: isLong
      ? random.integerBetween(at + 500, FAULT_WINDOW_MS + 5000)
      : random.fraction() < 0.2
        ? at + random.integerBetween(100, 8000)
        : null,
    body: {
      pieces: random.integerBetween(1, 8),
      crew: random.pick(["free", "free", "capped"]),
      bank: random.pick([null, null, "north", "south"]),
      rank: random.pick(["best_effort", "normal", "urgent"]),
      vcpus: random.pick([0.5, 1, 2]),
    },
  };
}

/** A job with hundreds of tasks that runs from the start until its cancellation, on more than a hundred machines. */
function randomLargeJob(random: SeededRandom, number: number): PlannedJob {
  const job = randomJob(random, number);
  // The limit of the other team would not let all of the tasks run.
  const body = { ...job.body, pieces: random.integerBetween(250, 300), crew: "free", vcpus: 2 };
  const cancelAt = random.integerBetween(FAULT_WINDOW_MS / 2, FAULT_WINDOW_MS);
  return { ...job, at: random.integerBetween(0, 3000), runMs: 600_000, cancelAt, body };
}

/** Every tenth seed also has large jobs, which need a few hundred workers. */
const LARGE_RUN_EVERY = 10;

/** Derives the plan from a seed. */
export function planOf(seed: number): SoakPlan {
  const random = new SeededRandom(seed);
  const jobs = Array.from({ length: 24 }, (_, i) => randomJob(random, i));
  // The first jobs run from the start to the end of the fault window, so that there are always jobs to cancel.
  jobs.slice(0, 4).forEach((job) => {
    job.at = 0;
    job.runMs = 600_000;
    job.cancelAt = FAULT_WINDOW_MS;
    job.body.crew = "free";
  });
  if (seed % LARGE_RUN_EVERY === 0) for (let i = 0; i < 3; i++) jobs.push(randomLargeJob(random, 100 + i));
  const faults: SoakFault[] = [];
  const scenario = random.pick([refusalThenOutage, cancellationChain, cancellationChain, null]);
  if (scenario !== null) faults.push(...scenario(random, random.integerBetween(8000, 15_000)));
  const count = random.integerBetween(4, 8);
  for (let i = 0; i < count; i++)
    faults.push(random.pick(FAULT_GENERATORS)(random, random.integerBetween(8000, FAULT_WINDOW_MS)));
  faults.sort((a, b) => a.at - b.at);
  return { seed, jobs, faults };
}
