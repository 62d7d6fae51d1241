/** The records of jobs: live ones, their completed tasks, and what is kept of those that are over. */
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

/**
 * The shard is chosen when the job is accepted, and may change once before its first task starts. `mostAtOnce` bounds
 * how many tasks may run at a time where another shard keeps the limit of the job's team. `guest` says that it has passed
 * to a shard of other teams. `acceptedAt` is time of day: it
 * orders jobs and dates deadlines, and nothing safe hangs on it.
 */
const jobRecordSchema = z.object({
  spec: specSchema,
  shard: z.int().nonnegative(),
  acceptedAt: z.number(),
  mostAtOnce: z.int().positive().nullish(),
  guest: z.boolean().nullish(),
});
/** A live job as the state service holds it. */
export type JobRecord = z.infer<typeof jobRecordSchema>;

const quotaReservationSchema = z.object({ team: z.string(), cpus: z.number(), gpus: z.number() });
/** What a job that has passed to another shard may use of its team's limit, in all. */
export type QuotaReservation = z.infer<typeof quotaReservationSchema>;

const endedSchema = z.object({ stage: z.enum(["done", "cancelled"]), done: z.number() });
/** A job that is over; kept for good. */
export type EndedRecord = z.infer<typeof endedSchema>;

const doneSchema = z.object({ bits: z.string() });

const progressSchema = z.object({ jobs: z.record(z.string(), z.string()) });

export const readJob = (value: unknown): JobRecord | null => jobRecordSchema.safeParse(value).data ?? null;
export const readQuotaReservation = (value: unknown): QuotaReservation | null =>
  quotaReservationSchema.safeParse(value).data ?? null;
export const readEnded = (value: unknown): EndedRecord | null => endedSchema.safeParse(value).data ?? null;
export const readCompletedTasksPage = (value: unknown): Record<string, string> | null =>
  progressSchema.safeParse(value).data?.jobs ?? null;
export const readCompletedTasksChunk = (value: unknown): string | null =>
  doneSchema.safeParse(value).data?.bits ?? null;
