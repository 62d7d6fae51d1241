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

/** The shard is chosen once, when the job is accepted. `acceptedAt` is time of day: it orders jobs and dates deadlines, and nothing safe hangs on it. */
const jobRecordSchema = z.object({
  spec: specSchema,
  shard: z.int().nonnegative(),
  acceptedAt: z.number(),
});
/** A live job as the state service holds it. */
export type JobRecord = z.infer<typeof jobRecordSchema>;

const endedSchema = z.object({ stage: z.enum(["done", "cancelled"]), done: z.number() });
/** A job that is over; kept for good. */
export type EndedRecord = z.infer<typeof endedSchema>;

const doneSchema = z.object({ bits: z.string() });

const progressSchema = z.object({ jobs: z.record(z.string(), z.string()) });

export const readJob = (value: unknown): JobRecord | null => jobRecordSchema.safeParse(value).data ?? null;
export const readEnded = (value: unknown): EndedRecord | null => endedSchema.safeParse(value).data ?? null;
export const readProgress = (value: unknown): Record<string, string> | null =>
  progressSchema.safeParse(value).data?.jobs ?? null;
export const readDone = (value: unknown): string | null => doneSchema.safeParse(value).data?.bits ?? null;
