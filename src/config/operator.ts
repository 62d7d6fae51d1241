/** The operators' own settings file (HCL): caps and parameters of the design that are open to tuning. */
import * as z from "zod";
import { linkSettingsSchema, type LinkSettings } from "../links/settings.js";
import { parseWith } from "../wire/index.js";
import { firstLine, readTextFile, SettingsError } from "./settings-file.js";

/** The operators' own settings, defaults filled in. */
export interface OperatorSettings {
  /** The most machines that may be rented at a time. */
  maxMachines: number;
  /** The most tasks that the autoscaler rents machines for at a time. */
  maxTasks: number;
  /** How long a machine must be empty before it is returned, in milliseconds; null: half its type's boot time. */
  idleWaitMs: number | null;
  /** The least time between two passes of the autoscaler, and between two summaries of a shard, in milliseconds. */
  passSpacingMs: number;
  /** The least time between two moves of shards to another controller by the leader, in milliseconds. */
  shardMovePeriodMs: number;
  /** The link monitor. */
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
 * Checks what was read from the file.
 * @throws SettingsError with the name of the first wrong field.
 */
export function checkOperatorSettings(raw: unknown): OperatorSettings {
  const result = parseWith(fileSchema, raw);
  if (!result.ok) throw new SettingsError(result.error, { field: result.field });
  return result.value;
}

/**
 * Reads the file if there is one; all defaults otherwise. The parser is loaded only where it is needed, since most
 * installations have no such file.
 * @throws SettingsError where the file cannot be read or a field is wrong.
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
