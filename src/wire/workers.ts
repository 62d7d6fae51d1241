/** What workers report and what they are told. */
import * as z from "zod";
import { parseWith, type Parsed } from "./users.js";

/** A task's state as its worker reports it. */
export type TaskState = "fetching" | "running" | "saving" | "exited";
/** Why a task ended. */
export type ExitCause = "done" | "stopped" | "error" | "no_room" | "busy" | "unknown";

/** One task in a report. */
export interface TaskStatus {
  job: string;
  index: number;
  attempt: number;
  state: TaskState;
  cause: ExitCause | null;
  /** A stopped task whose progress is safe. */
  saved: boolean;
}

/** A worker's report: its machine and all tasks on it. */
export interface Heartbeat {
  host: string;
  address: string;
  type: string;
  zone: string;
  spot: boolean;
  epoch: number;
  sequence: number;
  /** The highest token that this worker has seen. */
  highestToken: number;
  /** Seconds until the cloud takes the machine away, if it has said so. */
  interruptionNoticeS: number | null;
  tasks: TaskStatus[];
}

/** What a worker is told to do with one task. */
export type WorkerCommand =
  | { op: "start"; job: string; index: number; attempt: number }
  | { op: "stop"; job: string; index: number; attempt: number; graceS: number }
  | { op: "forget"; job: string; index: number; attempt: number };

/** How long a worker waits for the answer to a report before it drops it. */
export const HEARTBEAT_TIMEOUT_S = 4;
/** How much the steady clocks of two machines may drift apart. */
export const CLOCK_DRIFT = 0.0005;

const count = z.int().nonnegative();

const causes: Record<string, ExitCause> = {
  done: "done",
  halted: "stopped",
  error: "error",
  no_room: "no_room",
  in_use: "busy",
  no_such: "unknown",
};

const taskSchema = z
  .object({
    piece: z.string().regex(/^req-\d{1,32}\/\d{1,6}$/),
    try: count,
    stage: z.enum(["fetching", "running", "saving", "exited"]),
    cause: z.string().nullish(),
    kept: z.boolean().nullish(),
  })
  .transform((t): TaskStatus => {
    const slash = t.piece.indexOf("/");
    return {
      job: t.piece.slice(0, slash),
      index: Number(t.piece.slice(slash + 1)),
      attempt: t.try,
      state: t.stage,
      // A cause that we do not know is a failure of some kind: the task has to run again.
      cause: t.stage === "exited" ? (causes[t.cause ?? "error"] ?? "error") : null,
      saved: t.kept === true,
    };
  });

const heartbeatSchema = z
  .object({
    host: z.string().regex(/^[\w.-]{1,100}$/),
    addr: z.string().max(100),
    breed: z.string().min(1).max(200),
    bank: z.string().min(1).max(200),
    loaners: z.boolean(),
    tenure: count,
    tick: count,
    baton: count,
    recallS: z.number().nullish(),
    pieces: z.array(taskSchema).max(10_000),
  })
  .transform((r): Heartbeat => ({
    host: r.host,
    address: r.addr,
    type: r.breed,
    zone: r.bank,
    spot: r.loaners,
    epoch: r.tenure,
    sequence: r.tick,
    highestToken: r.baton,
    interruptionNoticeS: r.recallS ?? null,
    tasks: r.pieces,
  }));

/** Checks a report. */
export function parseHeartbeat(input: unknown): Parsed<Heartbeat> {
  return parseWith(heartbeatSchema, input);
}

function commandToWire(command: WorkerCommand): object {
  const piece = `${command.job}/${command.index}`;
  const base = { piece, try: command.attempt };
  switch (command.op) {
    case "start":
      return { verb: "start", ...base };
    case "stop":
      return { verb: "halt", ...base, windDownS: command.graceS };
    case "forget":
      return { verb: "reap", ...base };
  }
}

/** The answer to a report as workers expect it. */
export function commandsToWire(token: number, commands: readonly WorkerCommand[]): object {
  return { baton: token, orders: commands.map(commandToWire) };
}

/** The answer of a node that may not act for this worker; names who may, if that is known. */
export function redirectToWire(owner: string | null): object {
  return owner === null ? {} : { overseer: owner };
}
