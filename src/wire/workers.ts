/** Heartbeats of workers and the commands that answer them: section "Workers -> controller nodes" of the protocol. */
import * as z from "zod";
import { parseWith, type Parsed } from "./parsing.js";

/** A task's state as its worker reports it. */
export type TaskState = "fetching" | "running" | "saving" | "exited";

/**
 * Why a task ended. `stopped`: by command; `no_room`: its machine had too little free capacity; `busy`: another attempt of
 * the task was on the machine; `unknown`: the worker found no such task.
 */
export type ExitCause = "done" | "stopped" | "error" | "no_room" | "busy" | "unknown";

/** One task in a heartbeat. */
export interface TaskStatus {
  job: string;
  /** The task's number within its job. */
  index: number;
  attempt: number;
  state: TaskState;
  /** Null unless the task has exited. */
  cause: ExitCause | null;
  /** Whether a stopped task has saved its progress. */
  saved: boolean;
}

/** A worker's message: its machine and all tasks on it; "POST /agent/beat". */
export interface Heartbeat {
  host: string;
  /** Where the worker listens, host:port. */
  address: string;
  /** The name of the machine's type. */
  type: string;
  zone: string;
  spot: boolean;
  /** Starts at 1 and increases with each expiry of the worker's lease. */
  epoch: number;
  /** Increases with every message of the worker within an epoch. */
  sequence: number;
  /** The highest fencing token that the worker has seen. */
  highestToken: number;
  /** Seconds until the cloud takes the machine away; null without a notice of that. */
  interruptionNoticeS: number | null;
  tasks: TaskStatus[];
}

/** What a worker is to do with one task attempt; `graceS` is the time in seconds that a task may take to save. */
export type WorkerCommand =
  | { op: "start"; job: string; index: number; attempt: number }
  | { op: "stop"; job: string; index: number; attempt: number; graceS: number }
  | { op: "forget"; job: string; index: number; attempt: number };

/** How long a worker waits for the answer to a heartbeat before it drops it, in seconds; table of responses. */
export const HEARTBEAT_TIMEOUT_S = 4;
/** The most that the steady clocks of two machines drift apart, as a ratio; section "The protocols of fernpond". */
export const CLOCK_DRIFT = 0.0005;
/** The most tasks in one heartbeat that are accepted; a limit of ours. */
const MAX_HEARTBEAT_TASKS = 10_000;

const nonNegativeInteger = z.int().nonnegative();

/** Exit causes by the names of the protocol. */
const EXIT_CAUSE_BY_WIRE_NAME: Record<string, ExitCause> = {
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
    try: nonNegativeInteger,
    stage: z.enum(["fetching", "running", "saving", "exited"]),
    cause: z.string().nullish(),
    kept: z.boolean().nullish(),
  })
  .transform((task): TaskStatus => {
    const slash = task.piece.indexOf("/");
    return {
      job: task.piece.slice(0, slash),
      index: Number(task.piece.slice(slash + 1)),
      attempt: task.try,
      state: task.stage,
      // An unknown cause is a failure of some kind: the task has to run again.
      cause: task.stage === "exited" ? (EXIT_CAUSE_BY_WIRE_NAME[task.cause ?? "error"] ?? "error") : null,
      saved: task.kept === true,
    };
  });

const heartbeatSchema = z
  .object({
    host: z.string().regex(/^[\w.-]{1,100}$/),
    addr: z.string().max(100),
    breed: z.string().min(1).max(200),
    bank: z.string().min(1).max(200),
    loaners: z.boolean(),
    tenure: nonNegativeInteger,
    tick: nonNegativeInteger,
    baton: nonNegativeInteger,
    recallS: z.number().nullish(),
    pieces: z.array(taskSchema).max(MAX_HEARTBEAT_TASKS),
  })
  .transform((heartbeat): Heartbeat => ({
    host: heartbeat.host,
    address: heartbeat.addr,
    type: heartbeat.breed,
    zone: heartbeat.bank,
    spot: heartbeat.loaners,
    epoch: heartbeat.tenure,
    sequence: heartbeat.tick,
    highestToken: heartbeat.baton,
    interruptionNoticeS: heartbeat.recallS ?? null,
    tasks: heartbeat.pieces,
  }));

/** Checks the body of "POST /agent/beat". */
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

/** The response to a heartbeat, with commands in the order of their execution. */
export function commandsToWire(token: number, commands: readonly WorkerCommand[]): object {
  return { baton: token, orders: commands.map(commandToWire) };
}

/** The response of a controller that does not own the worker's shard; names the owner if it is known. */
export function redirectToWire(owner: string | null): object {
  return owner === null ? {} : { overseer: owner };
}
