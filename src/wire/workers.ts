/** Worker heartbeats and the commands in their responses: section "Workers -> controller nodes" of the protocol. */
import * as z from "zod";
import { parseWith, type Parsed } from "./parsing.js";
import { MAX_BODY_BYTES } from "./users.js";

/** A task's state as reported by its worker. */
export type TaskState = "fetching" | "running" | "saving" | "exited";

/**
 * Why a task ended. `stopped`: by a stop command; `no_room`: its machine lacked free capacity; `busy`: another attempt
 * of the task was on the machine; `unknown`: the worker does not know the task.
 */
export type ExitCause = "done" | "stopped" | "error" | "no_room" | "busy" | "unknown";

/** The status of one task attempt in a heartbeat. */
export interface TaskStatus {
  job: string;
  /** The task's index within its job. */
  index: number;
  attempt: number;
  state: TaskState;
  /** Why the task ended; null unless its state is `exited`. */
  cause: ExitCause | null;
  /** Whether a stopped task saved its progress. */
  saved: boolean;
}

/** A worker's heartbeat, sent with "POST /agent/beat": the machine and the status of all tasks on it. */
export interface Heartbeat {
  host: string;
  /** The address at which the worker listens, `host:port`. */
  address: string;
  /** The name of the machine type. */
  type: string;
  zone: string;
  spot: boolean;
  /** Starts at 1 and increases each time the worker's lease expires. */
  epoch: number;
  /** Increases with every heartbeat within an epoch. */
  sequence: number;
  /** The highest fencing token that the worker has seen. */
  highestToken: number;
  /** Seconds until the cloud interrupts the machine; null if there is no interruption notice. */
  interruptionNoticeS: number | null;
  tasks: TaskStatus[];
}

/** A command for one task attempt; `graceS` is the time in seconds that the task is given to save a checkpoint. */
export type WorkerCommand =
  | { op: "start"; job: string; index: number; attempt: number }
  | { op: "stop"; job: string; index: number; attempt: number; graceS: number }
  | { op: "forget"; job: string; index: number; attempt: number };

/** How long a worker waits for the response to a heartbeat before it gives up, in seconds; table of responses. */
export const HEARTBEAT_TIMEOUT_S = 4;
/** The maximum relative drift between the steady clocks of two machines; section "The protocols of fernpond". */
export const CLOCK_DRIFT = 0.0005;
/** The most bytes of a task in a heartbeat, or of a command in a response; up to 127 without white space. */
const MAX_TASK_BYTES = 168;
/** The most bytes of a heartbeat without its tasks. */
const MAX_HEARTBEAT_HEAD_BYTES = 1024;
/**
 * The most tasks on one machine: its heartbeat, which lists all of them, must not exceed `MAX_BODY_BYTES`. A response
 * with one command for each of them stays within the same limit.
 */
export const MAX_TASKS_PER_MACHINE = Math.floor((MAX_BODY_BYTES - MAX_HEARTBEAT_HEAD_BYTES) / MAX_TASK_BYTES);
/** The most tasks accepted in one heartbeat; this limit is not part of the protocol. */
const MAX_HEARTBEAT_TASKS = 10_000;

const nonNegativeInteger = z.int().nonnegative();

/** Maps the protocol's names of exit causes to the program's. */
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
      // A cause that is not in the table counts as a failure, so that the task runs again.
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

/** Validates the body of "POST /agent/beat". */
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

/** The response to a heartbeat; the worker executes the commands in the given order. */
export function commandsToWire(token: number, commands: readonly WorkerCommand[]): object {
  return { baton: token, orders: commands.map(commandToWire) };
}

/** The response of a controller that does not own the worker's shard, with the owner's name if it is known. */
export function redirectToWire(owner: string | null): object {
  return owner === null ? {} : { overseer: owner };
}
