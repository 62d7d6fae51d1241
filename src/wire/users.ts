/** Messages of users (job submissions, job status): section "Users -> controller nodes" of the protocol. */
import * as z from "zod";
import { parseWith, type Parsed } from "./parsing.js";

/** All priorities in ascending order; section "Preemption" of the protocol. */
export const PRIORITIES = ["best_effort", "normal", "urgent", "critical"] as const;

/** The priority of a job, one of `PRIORITIES`. */
export type Priority = (typeof PRIORITIES)[number];

/** A job's specification as submitted with "POST /work", in the program's own field names. */
export interface JobSpec {
  /** A unique id chosen by the user. */
  id: string;
  /** The job class, to which the objectives in the settings refer. */
  className: string;
  team: string;
  priority: Priority;
  /** The number of tasks; their indexes start at 0. */
  tasks: number;
  /** CPUs per task. */
  cpus: number;
  /** GPUs per task. */
  gpus: number;
  /** Memory per task, in gigabytes. */
  memoryGb: number;
  /** The image that a machine must have pulled before a task can start. */
  image: string;
  /** The size of the image, in gigabytes. */
  imageGb: number;
  /** Allowed machine types, or null for any. */
  types: string[] | null;
  /** The only allowed zone, or null for any. */
  zone: string | null;
  /** Whether all tasks must be in the same zone. */
  oneZone: boolean;
  /** Whether at most half of the tasks, rounded up, may be in one zone. */
  spread: boolean;
  /** Whether the job may use spot machines. */
  spot: boolean;
  /** The user's estimate of a task's run time, excluding the image pull, in seconds. */
  estimateS: number;
  /** The run time between a task's checkpoints, in seconds; 0: it saves none. */
  checkpointS: number;
  /** The time that a task needs to save a checkpoint when it is stopped, in seconds. */
  saveS: number;
  /** The deadline for completion, in seconds after the submission; null: none. */
  deadlineS: number | null;
}

/** The stage of a job's life cycle; `done` and `cancelled` are final. */
export type JobStage = "pending" | "running" | "done" | "cancelled";

/** A job's status as reported by "GET /work/{id}". */
export interface JobStatus {
  id: string;
  stage: JobStage;
  /** The number of completed tasks; informational. */
  done: number;
  /** The number of running tasks; informational. */
  running: number;
}

/** The time after acceptance within which every job should start, regardless of other load, in seconds. */
export const MAX_START_DELAY_S = 240;
/** The longest a job should wait if a suitable machine has free capacity and its team is within quota, in seconds. */
export const MAX_WAIT_WITH_FREE_CAPACITY_S = 90;
/** The most tasks of one job: the upper bound of field `pieces` of "POST /work". */
export const MAX_TASKS = 100_000;
/** The maximum size of a request body sent to a controller, in bytes; section "The protocols of fernpond". */
export const MAX_BODY_BYTES = 64 * 1024;

const jobIdSchema = z.string().regex(/^req-\d{1,32}$/, "must look like req-000412");
const nonNegativeNumber = z.number().nonnegative();
const nameString = z.string().min(1).max(200);

const submissionSchema = z
  .object({
    nameId: jobIdSchema,
    lane: nameString,
    crew: nameString,
    shape: z.literal("array"),
    rank: z.enum(PRIORITIES),
    pieces: z.int().min(1).max(MAX_TASKS),
    vcpus: nonNegativeNumber,
    cards: nonNegativeNumber,
    memGb: nonNegativeNumber,
    bundle: nameString,
    imageGb: nonNegativeNumber,
    breeds: z.array(nameString).min(1).nullish(),
    bank: nameString.nullish(),
    together: z.boolean(),
    spread: z.boolean(),
    loaners: z.boolean(),
    guessS: nonNegativeNumber,
    markEveryS: nonNegativeNumber,
    markCostS: nonNegativeNumber,
    dueS: nonNegativeNumber.nullish(),
  })
  .transform((submission): JobSpec => ({
    id: submission.nameId,
    className: submission.lane,
    team: submission.crew,
    priority: submission.rank,
    tasks: submission.pieces,
    cpus: submission.vcpus,
    gpus: submission.cards,
    memoryGb: submission.memGb,
    image: submission.bundle,
    imageGb: submission.imageGb,
    types: submission.breeds ?? null,
    zone: submission.bank ?? null,
    oneZone: submission.together,
    spread: submission.spread,
    spot: submission.loaners,
    estimateS: submission.guessS,
    checkpointS: submission.markEveryS,
    saveS: submission.markCostS,
    deadlineS: submission.dueS ?? null,
  }));

/** Validates the body of "POST /work". */
export function parseSubmission(input: unknown): Parsed<JobSpec> {
  return parseWith(submissionSchema, input);
}

/** Whether a text has the format of a job id. */
export function isJobId(text: string): boolean {
  return jobIdSchema.safeParse(text).success;
}

/** Maps a job's stage to its name in the protocol. */
export function stageToWire(stage: JobStage): string {
  return stage === "cancelled" ? "aborted" : stage;
}

/** The response to "GET /work/{id}". */
export function statusToWire(status: JobStatus): object {
  return {
    nameId: status.id,
    stage: stageToWire(status.stage),
    done: status.done,
    running: status.running,
  };
}

/** The response to "POST /work" and to "POST /work/{id}/withdraw". */
export function acceptedToWire(id: string, stage: JobStage): object {
  return { nameId: id, stage: stageToWire(stage) };
}
