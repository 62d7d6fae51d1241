/** The operators' settings file (HCL): limits and tuning parameters. */
import * as z from "zod";
import { linkSettingsSchema, type LinkSettings } from "../links/settings.js";
import { parseWith } from "../wire/index.js";
import { firstLine, readTextFile, SettingsError } from "./settings-file.js";

/** The operators' settings, with defaults applied. */
export interface OperatorSettings {
  /** Maximum number of machines rented at the same time. */
  maxMachines: number;
  /** Maximum number of tasks that the autoscaler rents machines for at the same time. */
  maxTasks: number;
  /** How long a machine must be idle before it is returned, in milliseconds; null: half of its type's boot time. */
  idleWaitMs: number | null;
  /** Minimum time between two passes of the autoscaler, and between two summaries of a shard, in milliseconds. */
  passSpacingMs: number;
  /** Minimum time between two hand-overs with which the leader balances shards across controllers, in milliseconds. */
  shardMovePeriodMs: number;
  /** Settings of the link monitor. */
  links: LinkSettings;
}

const fileSchema = z
  .strictObject({
    sizing: z
      .strictObject({
        max_machines: z.int().positive().default(10_000),
        max_tasks: z.int().positive().default(100_000),
        idle_wait_s: z.number().positive().optional(),
        pass_spacing_s: z.number().positive().default(1),
        shard_move_period_s: z.number().positive().default(30),
      })
      .prefault({}),
    links: linkSettingsSchema,
  })
  .transform((file): OperatorSettings => ({
    maxMachines: file.sizing.max_machines,
    maxTasks: file.sizing.max_tasks,
    idleWaitMs: file.sizing.idle_wait_s === undefined ? null : file.sizing.idle_wait_s * 1000,
    passSpacingMs: file.sizing.pass_spacing_s * 1000,
    shardMovePeriodMs: file.sizing.shard_move_period_s * 1000,
    links: file.links,
  }));

/**
 * Validates the parsed content of the file, and applies defaults.
 * @throws SettingsError with the name of the first invalid field
 */
export function checkOperatorSettings(raw: unknown): OperatorSettings {
  const result = parseWith(fileSchema, raw);
  if (!result.ok) throw new SettingsError(result.error, { field: result.field });
  return result.value;
}

/**
 * Reads the settings file; returns the defaults if `file` is undefined. The HCL parser is loaded on demand, since most
 * installations have no such file.
 * @throws SettingsError if the file cannot be read, is not HCL or has an invalid field
 */
export async function readOperatorSettings(file: string | undefined): Promise<OperatorSettings> {
  if (file === undefined) return checkOperatorSettings({});
  const { default: parseHcl } = await import("hcl-to-json");
  const text = readTextFile(file);
  let raw: unknown;
  try {
    raw = parseHcl(text);
  } catch (err) {
    throw new SettingsError(`${file} is not HCL: ${firstLine(err as Error)}`, { file, cause: err });
  }
  return checkOperatorSettings(raw);
}
