/** Reads settings files, and the error for settings that cannot be used. */
import { readFileSync } from "node:fs";

/** Where a fault in the settings is. */
interface SettingsErrorDetails extends ErrorOptions {
  /** The file that cannot be used, where that is known. */
  readonly file?: string;
  /** The wrong field, its path joined by dots, where the fault is in one field. */
  readonly field?: string | null;
}

/** Settings that cannot be used. The message is one line, and names the file or the field. */
export class SettingsError extends Error {
  override readonly name = "SettingsError";
  readonly file: string | null;
  readonly field: string | null;

  constructor(message: string, { file, field, cause }: SettingsErrorDetails = {}) {
    super(message, { cause });
    this.file = file ?? null;
    this.field = field ?? null;
  }
}

/** The first line of an error's message. */
export function firstLine({ message }: Error): string {
  return message.split("\n")[0] ?? "";
}

/**
 * Reads a file as text.
 * @throws SettingsError where the file cannot be read.
 */
export function readTextFile(file: string): string {
  try {
    return readFileSync(file, "utf8");
  } catch (err) {
    const reason = (err as NodeJS.ErrnoException).code ?? String(err);
    throw new SettingsError(`cannot read ${file}: ${reason}`, { file, cause: err });
  }
}
