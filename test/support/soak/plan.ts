/** What a soak run does and when, drawn from its seed alone: jobs, cancellations, and faults that overlap. */
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { Direction } from "../../../src/links/model.js";
import type { CuttableLink } from "../cluster.js";
import type { CutMode } from "../fault-proxy.js";

export const CONTROLLERS = 3;

/** Slow enough for a busy machine; the cancellation time leaves as much beside the lease as the deployments' does. */
export const FIGURES = {
  heartbeatIntervalMs: 1000,
  leaseMs: 6000,
  runMs: 1000,
  cancelMs: 18_000,
  timeoutMs: 4000,
  retryMs: 1000,
};

/** Faults and users' requests begin within this time of the start. */
export const SPELL_MS = 45_000;

/** What a fault strikes: who owns the first shard or leads at that moment, or a controller by number. */
export type Target = "owner" | "leader" | number;

export type SoakFault = { at: number } & (
  | { kind: "restart"; target: Target; backMs: number }
  | { kind: "restart_all"; backMs: number }
  | { kind: "owners_in_series"; count: number; gapMs: number; backMs: number }
  /** The owner of the first shard is ended, and each one after it a little after its first answer to a worker. */
  | { kind: "owners_end_after_first_answer"; afterMs: number; backMs: number; forMs: number }
  | { kind: "pause"; target: Target; forMs: number }
  | { kind: "cut"; target: Target; link: CuttableLink; mode: CutMode; directions: Direction[]; forMs: number }
  | { kind: "refused"; target: Target; forMs: number }
  | { kind: "outage"; forMs: number }
  | { kind: "late_transactions"; share: number; forMs: number }
  | { kind: "lost_answers"; share: number; forMs: number }
  | { kind: "machines_hang"; share: number; forMs: number }
  | { kind: "machines_deaf"; share: number; forMs: number }
  | { kind: "machines_mute"; share: number; forMs: number }
  | { kind: "late_reports"; share: number; forMs: number }
  | { kind: "answers_held"; mostMs: number; forMs: number }
  | { kind: "cancel_running" }
);

export interface PlannedJob {
  at: number;
  id: string;
  runMs: number;
  /** When its user calls it off. */
  cancelAt: number | null;
  body: { pieces: number; crew: string; bank: string | null; rank: string; vcpus: number };
}

export interface SoakPlan {
  seed: number;
  jobs: PlannedJob[];
  faults: SoakFault[];
}

/** A source of luck that follows from a seed. */
export class Luck {
  private readonly generator: ReturnType<typeof xoroshiro128plus>;

  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  chance(): number {
    return (this.generator.next() >>> 0) / 2 ** 32;
  }

  between(least: number, most: number): number {
    return Math.round(least + this.chance() * (most - least));
  }

  oneOf<T>(values: readonly T[]): T {
    return values[Math.floor(this.chance() * values.length)]!;
  }
}

const LINKS: CuttableLink[] = ["state", "workers", "cloud", "users", "peers"];
const DIRECTIONS: Direction[][] = [["inbound"], ["outbound"], ["inbound", "outbound"]];

const targetOf = (luck: Luck): Target => luck.oneOf<Target>(["owner", "owner", "leader", 0, 1, 2]);
/** A return within a fraction of a second is as likely as one after seconds. */
const backMs = (luck: Luck): number =>
  luck.chance() < 0.6 ? luck.between(50, 600) : luck.between(1000, 8000);
const shortly = (luck: Luck): number => luck.between(500, 10_000);

/** One fault of each kind; those that are known to hurt cancellations stand more than once. */
const DRAWS: ((luck: Luck, at: number) => SoakFault)[] = [
  (luck, at) => ({ at, kind: "restart", target: targetOf(luck), backMs: backMs(luck) }),
  (luck, at) => ({ at, kind: "restart_all", backMs: backMs(luck) }),
  ownersInSeries,
  ownersEndAfterFirstAnswer,
  (luck, at) => ({ at, kind: "pause", target: targetOf(luck), forMs: luck.between(500, 9000) }),
  cut,
  cut,
  (luck, at) => ({ at, kind: "refused", target: "owner", forMs: shortly(luck) }),
  // Some outages are longer than a cancellation may take.
  (luck, at) => ({
    at,
    kind: "outage",
    forMs: luck.chance() < 0.3 ? luck.between(18_000, 24_000) : shortly(luck),
  }),
  (luck, at) => ({ at, kind: "late_transactions", share: 0.3, forMs: shortly(luck) }),
  (luck, at) => ({ at, kind: "lost_answers", share: 0.3, forMs: shortly(luck) }),
  (luck, at) => ({ at, kind: "machines_hang", share: 0.5, forMs: luck.between(500, 7000) }),
  (luck, at) => ({ at, kind: "machines_deaf", share: 0.5, forMs: shortly(luck) }),
  (luck, at) => ({ at, kind: "machines_mute", share: 0.5, forMs: shortly(luck) }),
  (luck, at) => ({ at, kind: "late_reports", share: 0.3, forMs: 2 * shortly(luck) }),
  (luck, at) => ({ at, kind: "answers_held", mostMs: luck.between(500, 6000), forMs: shortly(luck) }),
  (_luck, at) => ({ at, kind: "cancel_running" }),
  (_luck, at) => ({ at, kind: "cancel_running" }),
];

function ownersInSeries(luck: Luck, at: number): SoakFault {
  const count = luck.between(3, 10);
  return {
    at,
    kind: "owners_in_series",
    count,
    gapMs: luck.between(800, 4000),
    backMs: luck.between(50, 600),
  };
}

function cut(luck: Luck, at: number): SoakFault {
  return {
    at,
    kind: "cut",
    target: targetOf(luck),
    link: luck.oneOf(LINKS),
    mode: luck.oneOf<CutMode>(["hold", "reset"]),
    directions: luck.oneOf(DIRECTIONS),
    forMs: shortly(luck),
  };
}

/** The owner is refused alone, its jobs are cancelled elsewhere, and then nobody is served for longer than that may take. */
function gap(luck: Luck, at: number): SoakFault[] {
  return [
    { at, kind: "refused", target: "owner", forMs: 22_000 },
    { at: at + luck.between(200, 1500), kind: "cancel_running" },
    { at: at + luck.between(1600, 3000), kind: "outage", forMs: luck.between(18_500, 21_000) },
  ];
}

/** Jobs are cancelled, and owners follow each other so that no worker reports to any of them twice. */
function chain(luck: Luck, at: number): SoakFault[] {
  return [
    ownersEndAfterFirstAnswer(luck, at),
    // While the first owner is away, so that none that its workers follow ever tells them.
    { at: at + luck.between(20, 200), kind: "cancel_running" },
    {
      at: at + luck.between(500, 8000),
      kind: "machines_hang",
      share: 0.3,
      forMs: luck.between(500, 3000),
    },
  ];
}

/** For longer than a cancellation may take. */
function ownersEndAfterFirstAnswer(luck: Luck, at: number): SoakFault {
  const [afterMs, backMs] = [luck.between(0, 500), luck.between(50, 300)];
  const forMs = FIGURES.cancelMs + FIGURES.leaseMs;
  return { at, kind: "owners_end_after_first_answer", afterMs, backMs, forMs };
}

function jobOf(luck: Luck, number: number): PlannedJob {
  const at = luck.between(0, SPELL_MS);
  const long = luck.chance() < 0.5;
  return {
    at,
    id: `req-${number}`,
    runMs: long ? 600_000 : luck.between(300, 6000),
    // What would go on for ever is called off, at the latest when the faults end.
    cancelAt: long
      ? luck.between(at + 500, SPELL_MS + 5000)
      : luck.chance() < 0.2
        ? at + luck.between(100, 8000)
        : null,
    body: {
      pieces: luck.between(1, 8),
      crew: luck.oneOf(["free", "free", "capped"]),
      bank: luck.oneOf([null, null, "north", "south"]),
      rank: luck.oneOf(["best_effort", "normal", "urgent"]),
      vcpus: luck.oneOf([0.5, 1, 2]),
    },
  };
}

/** Hundreds of tasks from the beginning, until they are called off: more than a hundred machines each. */
function largeJobOf(luck: Luck, number: number): PlannedJob {
  const job = jobOf(luck, number);
  // Under the other team's limit they would never all run.
  const body = { ...job.body, pieces: luck.between(250, 300), crew: "free", vcpus: 2 };
  const cancelAt = luck.between(SPELL_MS / 2, SPELL_MS);
  return { ...job, at: luck.between(0, 3000), runMs: 600_000, cancelAt, body };
}

/** Every tenth run has a few hundred workers. */
const LARGE_EVERY = 10;

/** The plan of a seed. */
export function planOf(seed: number): SoakPlan {
  const luck = new Luck(seed);
  const jobs = Array.from({ length: 24 }, (_, i) => jobOf(luck, i));
  // Something long runs from the beginning, so that there is what to cancel.
  jobs.slice(0, 4).forEach((job) => {
    job.at = 0;
    job.runMs = 600_000;
    job.cancelAt = SPELL_MS;
    job.body.crew = "free";
  });
  if (seed % LARGE_EVERY === 0) for (let i = 0; i < 3; i++) jobs.push(largeJobOf(luck, 100 + i));
  const faults: SoakFault[] = [];
  const special = luck.oneOf([gap, chain, chain, null]);
  if (special !== null) faults.push(...special(luck, luck.between(8000, 15_000)));
  const count = luck.between(4, 8);
  for (let i = 0; i < count; i++) faults.push(luck.oneOf(DRAWS)(luck, luck.between(8000, SPELL_MS)));
  faults.sort((a, b) => a.at - b.at);
  return { seed, jobs, faults };
}
