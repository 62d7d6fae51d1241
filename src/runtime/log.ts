/** The process's log: JSON lines on standard error, from the level that the environment variable LOG_LEVEL names. */
import { pino, type Logger } from "pino";

export type { Logger };

const LEVELS = ["error", "info", "debug"];
const DEFAULT_LEVEL = "info";

/** Makes the process's logger; every line has the name of the node. */
export function createLogger(node: string): Logger {
  const requested = process.env.LOG_LEVEL ?? DEFAULT_LEVEL;
  const level = LEVELS.includes(requested) ? requested : DEFAULT_LEVEL;
  // Synchronous, so that a process that is killed has already written what it did.
  return pino({ level, base: { node } }, pino.destination({ dest: 2, sync: true }));
}
