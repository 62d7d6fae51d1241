/** Logging to standard error as JSON lines; the environment variable LOG_LEVEL sets the minimum level. */
import { pino, type Logger } from "pino";

export type { Logger };

const LEVELS = ["error", "info", "debug"];
const DEFAULT_LEVEL = "info";

/** Creates the logger of this process; every line contains the name of the node. */
export function createLogger(node: string): Logger {
  const requested = process.env.LOG_LEVEL ?? DEFAULT_LEVEL;
  const level = LEVELS.includes(requested) ? requested : DEFAULT_LEVEL;
  // Synchronous, so that no lines are lost when the process is killed.
  return pino({ level, base: { node } }, pino.destination({ dest: 2, sync: true }));
}
