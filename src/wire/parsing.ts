/** Checks messages against their schemas, with one-line errors. */
import type * as z from "zod";

/** A checked message, or what is wrong with it. */
export type Parsed<T> =
  | { ok: true; value: T }
  | {
      ok: false;
      /** The wrong field, its path joined by dots; null where the whole message is wrong. */
      field: string | null;
      /** One line that names the field. */
      error: string;
    };

/** Checks an input against a schema, and describes the first fault in one line that names the field. */
export function parseWith<T>(schema: z.ZodType<T>, input: unknown): Parsed<T> {
  const result = schema.safeParse(input);
  if (result.success) return { ok: true, value: result.data };
  const issue = result.error.issues[0];
  const field = issue === undefined || issue.path.length === 0 ? null : issue.path.join(".");
  return { ok: false, field, error: `${field ?? "body"}: ${issue?.message ?? "invalid"}` };
}
