/** Schema validation of messages with one-line errors. */
import type * as z from "zod";

/** A valid message, or the first validation error. */
export type Parsed<T> =
  | { ok: true; value: T }
  | {
      ok: false;
      /** The dotted path of the invalid field; null if the message as a whole is invalid. */
      field: string | null;
      /** A one-line description that starts with the field. */
      error: string;
    };

/** Validates an input against a schema; on failure reports the first invalid field. */
export function parseWith<T>(schema: z.ZodType<T>, input: unknown): Parsed<T> {
  const result = schema.safeParse(input);
  if (result.success) return { ok: true, value: result.data };
  const issue = result.error.issues[0];
  const field = issue === undefined || issue.path.length === 0 ? null : issue.path.join(".");
  return { ok: false, field, error: `${field ?? "body"}: ${issue?.message ?? "invalid"}` };
}
