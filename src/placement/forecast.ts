/**
 * Which waiting tasks the machines at hand will take in time by themselves, as running tasks end. Only the others
 * are worth renting for: a machine takes its boot time to come, and by then the queue may be gone. Pure.
 */
import type { Objective } from "../config/settings.js";
import type { MachineType } from "../wire/index.js";
import type { Job, Machine, Placement } from "../workers/model.js";
import { allows, jobOrder } from "./place.js";

export interface ForecastInput {
  /** Waiting jobs and how many of their tasks may run, by their teams' limits. */
  waiting: Map<Job, number>;
  machines: Machine[];
  types: Map<string, MachineType>;
  objectives: Objective[];
  /** Steady time, and time of day. */
  now: number;
  wallNow: number;
  /** How long a task really runs for each second of its estimate, by class. */
  ratio(className: string): number;
}

/** Room on a machine that comes free at a time. */
interface Piece {
  at: number;
  cpus: number;
  gpus: number;
  memoryGb: number;
}

/** A task that outruns its estimate is taken to need this part of it again. */
const OVERRUN = 0.2;
/** Tasks of one job differ, and the last one counts: plans allow for it. */
const SPREAD = 1.3;

export function expectedRunMs(job: Job, ratio: (className: string) => number): number {
  return job.spec.estimateS * ratio(job.spec.className) * 1000;
}

function fetchMs(job: Job, type: MachineType): number {
  return type.fetchGbPerS > 0 ? (job.spec.imageGb / type.fetchGbPerS) * 1000 : 0;
}

function endsIn(placement: Placement, type: MachineType, input: ForecastInput): number {
  const run = expectedRunMs(placement.job, input.ratio);
  if (placement.state === "saving") return placement.job.spec.saveS * 1000;
  if (placement.state === "running") return Math.max(run - (input.now - placement.since), run * OVERRUN);
  return run + fetchMs(placement.job, type);
}

/** How long a job's tasks may wait before an aim of its class is at risk; at least what renting would take. */
export function patienceMs(job: Job, input: ForecastInput): number {
  const age = input.wallNow - job.acceptedAt;
  const run = expectedRunMs(job, input.ratio) * SPREAD;
  let rent = Infinity;
  let fetch = 0;
  for (const type of input.types.values()) {
    rent = Math.min(rent, type.bootS * 1000 + fetchMs(job, type));
    fetch = Math.max(fetch, fetchMs(job, type));
  }
  const slacks: number[] = [];
  if (job.spec.deadlineS !== null) slacks.push(job.spec.deadlineS * 1000 - age - run - fetch);
  for (const aim of input.objectives) {
    if (aim.className !== job.spec.className || aim.withinS === null) continue;
    if (aim.kind === "finished") slacks.push(aim.withinS * 1000 - age - run - fetch);
    if (aim.kind === "wait") slacks.push(aim.withinS * 1000 - age - fetch);
  }
  // What is late for one aim may still be in time for the next.
  const open = slacks.filter((slack) => slack > 0);
  return Math.max(open.length > 0 ? Math.min(...open) : 0, rent);
}

/** How many tasks of each job will not find room in time. */
export function uncovered(input: ForecastInput): Map<Job, number> {
  const rooms = input.machines.filter((m) => m.usable).flatMap((m) => roomsOf(m, input));
  const rest = new Map<Job, number>();
  for (const job of [...input.waiting.keys()].sort(jobOrder)) {
    const patience = patienceMs(job, input);
    const run = expectedRunMs(job, input.ratio);
    let count = input.waiting.get(job)!;
    const open = rooms.filter((room) => allows(job, room.machine));
    for (; count > 0; count--) {
      let best: { room: Room; at: number } | null = null;
      for (const room of open) {
        const at = firstFit(room.pieces, job);
        if (at !== null && (best === null || at < best.at)) best = { room, at };
      }
      if (best === null || best.at > patience) break;
      take(best.room.pieces, job, best.at, best.at + run);
    }
    if (count > 0) rest.set(job, count);
  }
  return rest;
}

interface Room {
  machine: Machine;
  pieces: Piece[];
}

function roomsOf(machine: Machine, input: ForecastInput): Room[] {
  const type = input.types.get(machine.record.type);
  if (type === undefined) return [];
  const used = machine.used();
  const pieces: Piece[] = [
    {
      at: 0,
      cpus: type.cpus - used.cpus,
      gpus: type.gpus - used.gpus,
      memoryGb: type.memoryGb - used.memoryGb,
    },
  ];
  for (const placement of machine.placements) {
    const { cpus, gpus, memoryGb } = placement.job.spec;
    pieces.push({ at: endsIn(placement, type, input), cpus, gpus, memoryGb });
  }
  return [{ machine, pieces: pieces.sort((a, b) => a.at - b.at) }];
}

const EPSILON = 1e-9;

/** The earliest time at which the pieces free until then hold one task. */
function firstFit(pieces: Piece[], job: Job): number | null {
  const sum = { cpus: 0, gpus: 0, memoryGb: 0 };
  for (const piece of pieces) {
    sum.cpus += piece.cpus;
    sum.gpus += piece.gpus;
    sum.memoryGb += piece.memoryGb;
    if (
      sum.cpus + EPSILON >= job.spec.cpus &&
      sum.gpus + EPSILON >= job.spec.gpus &&
      sum.memoryGb + EPSILON >= job.spec.memoryGb
    )
      return piece.at;
  }
  return null;
}

/** Takes one task's room out of the pieces free at `at`, and gives it back at `until`. */
function take(pieces: Piece[], job: Job, at: number, until: number): void {
  const { cpus, gpus, memoryGb } = job.spec;
  const left = { cpus, gpus, memoryGb };
  for (const piece of pieces) {
    if (piece.at > at) break;
    for (const kind of ["cpus", "gpus", "memoryGb"] as const) {
      const part = Math.min(left[kind], piece[kind]);
      piece[kind] -= part;
      left[kind] -= part;
    }
  }
  const back: Piece = { at: until, cpus, gpus, memoryGb };
  const index = pieces.findIndex((piece) => piece.at > until);
  pieces.splice(index < 0 ? pieces.length : index, 0, back);
}
