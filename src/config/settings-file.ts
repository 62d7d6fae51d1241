/** Reading settings files, and the error for invalid settings. */
import { readFileSync } from "node:fs";

/** The location of an error in the settings. */
interface SettingsErrorDetails extends ErrorOptions {
  /** The file that cannot be read or parsed, if known. */
  readonly file?: string;
  /** The path of the invalid field, joined by dots, if the error is in a single field. */
  readonly field?: string | null;
}

/** Thrown for missing or invalid settings. The message is a single line that names the file or the field, if known. */
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

/** Returns the first line of an error's message. */
export function firstLine({ message }: Error): string {
  return message.split("\n")[0] ?? "";
}

/**
 * Reads a file as UTF-8 text.
 * @throws SettingsError if the file cannot be read
 */
export function readTextFile(file: string): string {
  try {
    return readFileSync(file, "utf8");
  } catch (err) {
    const reason = (err as NodeJS.ErrnoException).code ?? String(err);
    throw new SettingsError(`cannot read ${file}: ${reason}`, { file, cause: err });
  }
}
