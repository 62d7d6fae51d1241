/** The commands in the response to a heartbeat. */
import { MAX_TASKS_PER_MACHINE, type WorkerCommand } from "../wire/index.js";
import type { Placement } from "./placement.js";

/** The most commands in one response: one for each task of the machine. */
const MAX_COMMANDS = MAX_TASKS_PER_MACHINE;

/** Truncates commands to what one response may hold, with stops first; returns the same array if they all fit. */
export function limitCommands(commands: WorkerCommand[]): WorkerCommand[] {
  if (commands.length <= MAX_COMMANDS) return commands;
  // Guards against a response that renews the lease of a cancelled task without stopping it.
  const stops = commands.filter(({ op }) => op === "stop");
  const others = commands.filter(({ op }) => op !== "stop");
  return [...stops, ...others].slice(0, MAX_COMMANDS);
}

/** The command for an attempt; null if it continues unchanged. */
export function commandFor(placement: Placement): WorkerCommand | null {
  const { job, index, attempt } = placement;
  const task = { job: job.spec.id, index, attempt };
  // A task may have been completed by another attempt, in which case this one must not continue.
  if (job.isTerminating || job.done.has(index)) return { op: "stop", ...task, graceS: 0 };
  if (placement.state === "assigned") return { op: "start", ...task };
  if (placement.stop !== null && placement.state !== "saving")
    return { op: "stop", ...task, graceS: placement.stop.graceS };
  return null;
}
