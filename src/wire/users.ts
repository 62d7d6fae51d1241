/** What users send and get back: submissions, job states. */
import * as z from "zod";

export const PRIORITIES = ["best_effort", "normal", "urgent", "critical"] as const;
/** From the lowest to the highest, see PRIORITIES. */
export type Priority = (typeof PRIORITIES)[number];

/** A job as the rest of the program knows it, in the field's usual terms. */
export interface JobSpec {
  id: string;
  className: string;
  team: string;
  priority: Priority;
  tasks: number;
  cpus: number;
  gpus: number;
  memoryGb: number;
  image: string;
  imageGb: number;
  /** Allowed machine types, or null for any. */
  types: string[] | null;
  /** The only allowed zone, or null for any. */
  zone: string | null;
  oneZone: boolean;
  spread: boolean;
  spot: boolean;
  estimateS: number;
  checkpointS: number;
  saveS: number;
  deadlineS: number | null;
}

/** A job's state as users see it. */
export type JobStage = "pending" | "running" | "done" | "cancelled";

/** The answer to a question after a job. */
export interface JobStatus {
  id: string;
  stage: JobStage;
  done: number;
  running: number;
}

/** Every job begins within this time after it was accepted, whatever else is asked for. */
export const MAX_START_DELAY_S = 240;
/** No job is left waiting for so long while a machine that fits has room and its team is under its limit. */
export const MAX_WAIT_WITH_FREE_CAPACITY_S = 90;
export const MAX_TASKS = 100_000;
export const MAX_BODY_BYTES = 64 * 1024;

const jobId = z.string().regex(/^req-\d{1,32}$/, "must look like req-000412");
const amount = z.number().nonnegative();
const label = z.string().min(1).max(200);

const submissionSchema = z
  .object({
    nameId: jobId,
    lane: label,
    crew: label,
    shape: z.literal("array"),
    rank: z.enum(PRIORITIES),
    pieces: z.int().min(1).max(MAX_TASKS),
    vcpus: amount,
    cards: amount,
    memGb: amount,
    bundle: label,
    imageGb: amount,
    breeds: z.array(label).min(1).nullish(),
    bank: label.nullish(),
    together: z.boolean(),
    spread: z.boolean(),
    loaners: z.boolean(),
    guessS: amount,
    markEveryS: amount,
    markCostS: amount,
    dueS: amount.nullish(),
  })
  .transform((s): JobSpec => ({
    id: s.nameId,
    className: s.lane,
    team: s.crew,
    priority: s.rank,
    tasks: s.pieces,
    cpus: s.vcpus,
    gpus: s.cards,
    memoryGb: s.memGb,
    image: s.bundle,
    imageGb: s.imageGb,
    types: s.breeds ?? null,
    zone: s.bank ?? null,
    oneZone: s.together,
    spread: s.spread,
    spot: s.loaners,
    estimateS: s.guessS,
    checkpointS: s.markEveryS,
    saveS: s.markCostS,
    deadlineS: s.dueS ?? null,
  }));

/** A checked message, or what is wrong with it. */
export type Parsed<T> = { ok: true; value: T } | { ok: false; error: string };

/** Runs a schema and words its first complaint in one line that names the field. */
export function parseWith<T>(schema: z.ZodType<T>, input: unknown): Parsed<T> {
  const result = schema.safeParse(input);
  if (result.success) return { ok: true, value: result.data };
  const issue = result.error.issues[0];
  const where = issue === undefined || issue.path.length === 0 ? "body" : issue.path.join(".");
  return { ok: false, error: `${where}: ${issue?.message ?? "invalid"}` };
}

/** Checks a submission. */
export function parseSubmission(input: unknown): Parsed<JobSpec> {
  return parseWith(submissionSchema, input);
}

/** Whether a text has the form of a job id. */
export function isJobId(text: string): boolean {
  return jobId.safeParse(text).success;
}

/** A state as users are told it. */
export function stageToWire(stage: JobStage): string {
  return stage === "cancelled" ? "aborted" : stage;
}

/** A job's status as users are told it. */
export function statusToWire(status: JobStatus): object {
  return {
    nameId: status.id,
    stage: stageToWire(status.stage),
    done: status.done,
    running: status.running,
  };
}

/** The answer to a submission or a cancellation as users are told it. */
export function acceptedToWire(id: string, stage: JobStage): object {
  return { nameId: id, stage: stageToWire(stage) };
}
