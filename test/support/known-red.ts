/** Tests that fail for a fault that is known and not mended yet: they run, and are printed, and hold up nothing else. */
import { readFileSync } from "node:fs";

/** More than a few would hide what is new. */
const MAX_KNOWN_FAILURES = 3;

const reasons = new Map<string, string>();
for (const line of readFileSync("KNOWN-RED.txt", "utf8").split("\n").filter(Boolean)) {
  const [name = "", ...why] = line.split(" | ");
  reasons.set(name, why.join(", "));
}
if (reasons.size > MAX_KNOWN_FAILURES)
  throw new Error(`KNOWN-RED.txt lists more than ${MAX_KNOWN_FAILURES} tests`);

/** What a test is to be told: the runner prints its failure with this reason. */
export function knownFailure(name: string): { todo?: string } {
  const reason = reasons.get(name);
  return reason === undefined ? {} : { todo: reason };
}
