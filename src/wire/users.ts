/** What users send and get back, submissions and job states: section "Users -> controller nodes" of the protocol. */
import * as z from "zod";
import { parseWith, type Parsed } from "./parsing.js";

/** All priorities, from the lowest to the highest; section "Preemption". */
export const PRIORITIES = ["best_effort", "normal", "urgent", "critical"] as const;

/** The priority of a job, see PRIORITIES. */
export type Priority = (typeof PRIORITIES)[number];

/** A job as it was submitted, in the names of this program; "POST /work". */
export interface JobSpec {
  /** Unique, chosen by the user. */
  id: string;
  /** The class of jobs that it belongs to, which the objectives in the settings refer to. */
  className: string;
  team: string;
  priority: Priority;
  /** The number of tasks, numbered from 0. */
  tasks: number;
  /** Processors for one task. */
  cpus: number;
  /** GPUs for one task. */
  gpus: number;
  /** Memory for one task, in gigabytes. */
  memoryGb: number;
  /** The image that a machine must have before a task can start. */
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
  /** The user's estimate of a task's run time without the image fetch, in seconds. */
  estimateS: number;
  /** The progress after which a running task saves a checkpoint, in seconds; 0: it never saves. */
  checkpointS: number;
  /** The time that a task needs to save when it is stopped, in seconds. */
  saveS: number;
  /** When the job should be complete, in seconds after its submission; null: no deadline. */
  deadlineS: number | null;
}

/** A job's stage. */
export type JobStage = "pending" | "running" | "done" | "cancelled";

/** A job's status; "GET /work/{id}". */
export interface JobStatus {
  id: string;
  stage: JobStage;
  /** The number of completed tasks, for display. */
  done: number;
  /** The number of running tasks, for display. */
  running: number;
}

/** Every job should begin within this time after it was accepted, in seconds, whatever else is asked for. */
export const MAX_START_DELAY_S = 240;
/** The longest that a job should wait while a fitting machine has free capacity and its team is under its limit, in seconds. */
export const MAX_WAIT_WITH_FREE_CAPACITY_S = 90;
/** The most tasks of one job; field `pieces` of "POST /work". */
export const MAX_TASKS = 100_000;
/** The longest body of a request to a controller, in bytes; section "The protocols of fernpond". */
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

/** Checks the body of "POST /work". */
export function parseSubmission(input: unknown): Parsed<JobSpec> {
  return parseWith(submissionSchema, input);
}

/** Whether a text has the form of a job id. */
export function isJobId(text: string): boolean {
  return jobIdSchema.safeParse(text).success;
}

/** The protocol's name of a job's stage. */
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
