/** The commands that a response holds. */
import type { WorkerCommand } from "../wire/index.js";
import type { Placement } from "./placement.js";

/** Responses stay far below the longest line that a worker accepts. */
const MAX_COMMANDS = 300;

/** The first commands of all that one response holds, stops before others; the same array if it holds them all. */
export function limitCommands(commands: WorkerCommand[]): WorkerCommand[] {
  if (commands.length <= MAX_COMMANDS) return commands;
  // Guards against a cancelled task whose lease is renewed by a response without its stop.
  const stops = commands.filter(({ op }) => op === "stop");
  const others = commands.filter(({ op }) => op !== "stop");
  return [...stops, ...others].slice(0, MAX_COMMANDS);
}

/** What the worker is to do with an attempt; null if it just goes on. */
export function commandFor(placement: Placement): WorkerCommand | null {
  const { job, index, attempt } = placement;
  const task = { job: job.spec.id, index, attempt };
  // Guards against a result that came in by another attempt: a done task must not go on.
  if (job.isTerminating || job.done.has(index)) return { op: "stop", ...task, graceS: 0 };
  if (placement.state === "assigned") return { op: "start", ...task };
  if (placement.stop !== null && placement.state !== "saving")
    return { op: "stop", ...task, graceS: placement.stop.graceS };
  return null;
}
