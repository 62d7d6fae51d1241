/** The operators' own settings, in HCL: caps and the figures of the design that are open to tuning. */
import * as z from "zod";
import { linkSettingsSchema } from "../links/settings.js";
import { parseWith } from "../wire/index.js";
import { readText, SettingsError } from "./settings.js";

const schema = z
  .strictObject({
    sizing: z
      .strictObject({
        /** The most machines that may be rented at a time. */
        max_machines: z.int().positive().default(10_000),
        /** The most tasks that sizing rents for at a time. */
        max_tasks: z.int().positive().default(100_000),
        /** How long a machine must stand empty before it is returned; half its type's boot time if not given. */
        idle_wait_s: z.number().positive().optional(),
        /** The least time between two passes. */
        pass_spacing_s: z.number().positive().default(1),
        /** How often the leader may move a shard to another controller. */
        shard_move_period_s: z.number().positive().default(30),
      })
      .prefault({}),
    links: linkSettingsSchema,
  })
  .transform((file) => ({
    maxMachines: file.sizing.max_machines,
    maxTasks: file.sizing.max_tasks,
    idleWaitMs: file.sizing.idle_wait_s === undefined ? null : file.sizing.idle_wait_s * 1000,
    passSpacingMs: file.sizing.pass_spacing_s * 1000,
    shardMovePeriodMs: file.sizing.shard_move_period_s * 1000,
    links: file.links,
  }));

/** The operators' own settings, defaults filled in. */
export type OperatorSettings = z.infer<typeof schema>;

/** Checks what was read from the file; throws SettingsError with the name of the first wrong field. */
export function checkOperatorSettings(raw: unknown): OperatorSettings {
  const result = parseWith(schema, raw);
  if (!result.ok) throw new SettingsError(result.error);
  return result.value;
}

/** Reads the file if there is one. The parser is loaded only then: most installations go without. */
export async function readOperatorSettings(file: string | undefined): Promise<OperatorSettings> {
  if (file === undefined) return checkOperatorSettings({});
  const { default: parseHcl } = await import("hcl-to-json");
  let raw: unknown;
  try {
    raw = parseHcl(readText(file));
  } catch (err) {
    if (err instanceof SettingsError) throw err;
    throw new SettingsError(`${file} is not HCL: ${(err as Error).message.split("\n")[0]}`);
  }
  return checkOperatorSettings(raw);
}
