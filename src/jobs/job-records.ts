/**
 * Encodes and decodes the records of live jobs, completed tasks, quota reservations and ended jobs. Only this module
 * knows the stored form; the rest of the program uses the types defined here.
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

/** The stored form of a live job. The last two fields are absent unless the job has migrated. */
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
  /** Assigned when the job is accepted; changes at most once, before the job's first task starts. */
  shard: number;
  /** Wall-clock time in milliseconds. For the order of jobs and deadlines only; no safety property depends on it. */
  acceptedAt: number;
  /** How many tasks may run in parallel if another shard enforces the limit of the job's team; null if unlimited. */
  maxParallelTasks: number | null;
  /** Whether the job has migrated to a shard that its team is not assigned to. */
  migratedIn: boolean;
}

/** Encodes a live job in its stored form. */
export function encodeJob({ spec, shard, acceptedAt, maxParallelTasks, migratedIn }: JobRecord): object {
  return {
    spec,
    shard,
    acceptedAt,
    ...(maxParallelTasks !== null && { mostAtOnce: maxParallelTasks }),
    ...(migratedIn && { guest: true }),
  };
}

/** Decodes a live job; null if the value is malformed. */
export function decodeJob(value: unknown): JobRecord | null {
  return jobRecordSchema.safeParse(value).data ?? null;
}

const quotaReservationSchema = z.object({ team: z.string(), cpus: z.number(), gpus: z.number() });

/** The part of its team's limit that is reserved for a job that has migrated to another shard. */
export type QuotaReservation = z.infer<typeof quotaReservationSchema>;

/** Decodes a quota reservation; null if the value is malformed. */
export function decodeQuotaReservation(value: unknown): QuotaReservation | null {
  return quotaReservationSchema.safeParse(value).data ?? null;
}

const endedSchema = z.object({ stage: z.enum(["done", "cancelled"]), done: z.number() });

/** An ended job; its record is kept forever. `done` is the number of completed tasks. */
export type EndedJobRecord = z.infer<typeof endedSchema>;

/** Decodes an ended job; null if the value is malformed. */
export function decodeEndedJob(value: unknown): EndedJobRecord | null {
  return endedSchema.safeParse(value).data ?? null;
}

const completedTasksPageSchema = z.object({ jobs: z.record(z.string(), z.string()) });

/** Decodes a page of completed tasks into encoded bitmaps by job id; null if the value is malformed. */
export function decodeCompletedTasksPage(value: unknown): Record<string, string> | null {
  return completedTasksPageSchema.safeParse(value).data?.jobs ?? null;
}

const completedTasksChunkSchema = z.object({ bits: z.string() });

/** Decodes a chunk of the completed tasks of a large job into an encoded bitmap; null if the value is malformed. */
export function decodeCompletedTasksChunk(value: unknown): string | null {
  return completedTasksChunkSchema.safeParse(value).data?.bits ?? null;
}
