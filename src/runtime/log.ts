/** JSON lines on standard error, in the amount that LOG_LEVEL gives. */
import { pino, type Logger } from "pino";

export type { Logger };

const LEVELS = ["error", "info", "debug"];

/** The process's logger; LOG_LEVEL sets its level. */
export function createLogger(name: string): Logger {
  const wanted = process.env.LOG_LEVEL ?? "info";
  const level = LEVELS.includes(wanted) ? wanted : "info";
  // Synchronous, so that a process that is killed has already said what it did.
  return pino({ level, base: { node: name } }, pino.destination({ dest: 2, sync: true }));
}
