/** The records of jobs: live ones, their completed tasks, and what is kept of those that are over. */
import { createHash } from "node:crypto";
import { z } from "zod";
import type { Team } from "../config/settings.js";
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

/** `acceptedAt` is time of day: it orders jobs and dates deadlines, and nothing safe hangs on it. */
const jobRecordSchema = z.object({ spec: specSchema, acceptedAt: z.number() });
export type JobRecord = z.infer<typeof jobRecordSchema>;

const endedSchema = z.object({ stage: z.enum(["done", "cancelled"]), done: z.number() });
export type EndedRecord = z.infer<typeof endedSchema>;

const doneSchema = z.object({ bits: z.string() });

export const readJob = (value: unknown): JobRecord | null => jobRecordSchema.safeParse(value).data ?? null;
export const readEnded = (value: unknown): EndedRecord | null => endedSchema.safeParse(value).data ?? null;
export const readDone = (value: unknown): string | null => doneSchema.safeParse(value).data?.bits ?? null;

/**
 * Which share a job belongs to. Teams are parted, so that one owner sees all that counts against a limit. A single
 * team is parted by job; with a limit to keep it stays whole, since no two owners could keep one limit.
 */
export function shareOf(spec: Pick<JobSpec, "id" | "team">, teams: Team[], shares: number): number {
  if (teams.length > 1)
    return (
      Math.max(
        0,
        teams.findIndex((t) => t.name === spec.team),
      ) % shares
    );
  const only = teams[0];
  if (only === undefined || only.cpusMax > 0 || only.gpusMax > 0) return 0;
  return createHash("sha1").update(spec.id).digest().readUInt32BE(0) % shares;
}
