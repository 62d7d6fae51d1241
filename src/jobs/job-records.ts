/**
 * The records of jobs: live ones, their completed tasks, and what is kept of those that are over. The stored form is known
 * here alone; the rest of the program goes by the types of this module.
 */
import * as z from "zod";
import { PRIORITIES, type JobSpec } from "../wire/index.js";

const specSchema = z.object({
  id: z.string(),
  className: z.string(),
  team: z.string(),
  priority: z.enum(PRIORITIES),
  tasks: z.int().positive(),
  cpus: z.number(),
  gpus: z.number(),
  memoryGb: z.number(),
  image: z.string(),
  imageGb: z.number(),
  types: z.array(z.string()).nullable(),
  zone: z.string().nullable(),
  oneZone: z.boolean(),
  spread: z.boolean(),
  spot: z.boolean(),
  estimateS: z.number(),
  checkpointS: z.number(),
  saveS: z.number(),
  deadlineS: z.number().nullable(),
}) satisfies z.ZodType<JobSpec>;

/** A live job as the state service holds it. The last two fields are absent unless the job has migrated. */
const jobRecordSchema = z
  .object({
    spec: specSchema,
    shard: z.int().nonnegative(),
    acceptedAt: z.number(),
    mostAtOnce: z.int().positive().nullish(),
    guest: z.boolean().nullish(),
  })
  .transform(({ spec, shard, acceptedAt, mostAtOnce, guest }): JobRecord => ({
    spec,
    shard,
    acceptedAt,
    maxParallelTasks: mostAtOnce ?? null,
    migratedIn: guest ?? false,
  }));

/** A live job. */
export interface JobRecord {
  spec: JobSpec;
  /** Chosen when the job is accepted; changes at most once, before its first task starts. */
  shard: number;
  /** Time of day in milliseconds: it orders jobs and dates deadlines, and nothing safe depends on it. */
  acceptedAt: number;
  /** How many tasks may run at a time where another shard keeps the limit of the job's team; null for any number. */
  maxParallelTasks: number | null;
  /** Whether the job has migrated to a shard of other teams. */
  migratedIn: boolean;
}

/** The stored form of a live job. */
export function encodeJob({ spec, shard, acceptedAt, maxParallelTasks, migratedIn }: JobRecord): object {
  return {
    spec,
    shard,
    acceptedAt,
    ...(maxParallelTasks !== null && { mostAtOnce: maxParallelTasks }),
    ...(migratedIn && { guest: true }),
  };
}

/** Decodes a live job; null where the value cannot be read. */
export function readJob(value: unknown): JobRecord | null {
  return jobRecordSchema.safeParse(value).data ?? null;
}

const quotaReservationSchema = z.object({ team: z.string(), cpus: z.number(), gpus: z.number() });

/** What a job that has migrated to another shard may use of its team's limit, in all. */
export type QuotaReservation = z.infer<typeof quotaReservationSchema>;

/** Decodes a quota reservation; null where the value cannot be read. */
export function readQuotaReservation(value: unknown): QuotaReservation | null {
  return quotaReservationSchema.safeParse(value).data ?? null;
}

const endedSchema = z.object({ stage: z.enum(["done", "cancelled"]), done: z.number() });

/** A job that is over; kept for good. `done` is the number of completed tasks. */
export type EndedJobRecord = z.infer<typeof endedSchema>;

/** Decodes a job that is over; null where the value cannot be read. */
export function readEndedJob(value: unknown): EndedJobRecord | null {
  return endedSchema.safeParse(value).data ?? null;
}

const completedTasksPageSchema = z.object({ jobs: z.record(z.string(), z.string()) });

/** Decodes a page of completed tasks: an encoded bitmap by job; null where the value cannot be read. */
export function readCompletedTasksPage(value: unknown): Record<string, string> | null {
  return completedTasksPageSchema.safeParse(value).data?.jobs ?? null;
}

const completedTasksChunkSchema = z.object({ bits: z.string() });

/** Decodes one chunk of the completed tasks of one large job: an encoded bitmap; null where it cannot be read. */
export function readCompletedTasksChunk(value: unknown): string | null {
  return completedTasksChunkSchema.safeParse(value).data?.bits ?? null;
}
