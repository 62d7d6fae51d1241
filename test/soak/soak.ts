/**
 * Plays soak runs by hand, some at a time, each in a process of its own: `npm run soak -- FIRST-LAST [AT_ONCE] [RECORD]`.
 * Prints a line a run, and how to run a failing one again; RECORD is a file to which the outcomes are written.
 */
import { fork, type ChildProcess } from "node:child_process";
import { mkdirSync, writeFileSync } from "node:fs";
import { fileURLToPath } from "node:url";
import { soak, type SoakResult, type SoakVerdict } from "../support/soak/run.js";

const FOLDER = "target/soak";
const SELF = fileURLToPath(import.meta.url);
const RUN_ONE = "--seed";

/** Also where a run is broken off: what it started ends with it, by id. */
function endOnSignals(end: () => void): void {
  for (const signal of ["SIGINT", "SIGTERM"] as const)
    process.once(signal, () => {
      end();
      process.exit(1);
    });
}

async function runOne(seed: number): Promise<void> {
  endOnSignals(() => undefined);
  const result = await soak(seed, FOLDER);
  // Users' last requests may still be under way, and concern nobody any more.
  process.send?.(result, undefined, undefined, () => process.exit(0));
}

function describe(result: SoakResult): string {
  const { seed, verdict, faults, started, cancelled, done, slowestEndMs, startsAfterCancellation, machines } =
    result;
  const counts = `${machines} machines, ${started} starts, ${cancelled} cancelled, ${done} done`;
  const times = `slowest end ${slowestEndMs} ms, ${startsAfterCancellation} starts after a cancellation`;
  return `seed ${seed}: ${verdict} (${counts}, ${times}, pause ${result.longestPauseMs} ms; ${faults.join(" ")})`;
}

function print(result: SoakResult): void {
  process.stdout.write(`${describe(result)}\n`);
  for (const line of result.broken) process.stdout.write(`    ${line}\n`);
  if (result.timeline !== null) process.stdout.write(`    timeline: ${result.timeline}\n`);
  if (result.verdict !== "held")
    process.stdout.write(`    again: npm run soak -- ${result.seed}-${result.seed}\n`);
}

async function runMany(
  first: number,
  last: number,
  atOnce: number,
  record: string | undefined,
): Promise<void> {
  const results: SoakResult[] = [];
  const children = new Set<ChildProcess>();
  endOnSignals(() => {
    for (const child of children) child.kill("SIGTERM");
  });
  let next = first;
  const runner = async (): Promise<void> => {
    while (next <= last) {
      const seed = next++;
      const child = fork(SELF, [RUN_ONE, String(seed)], { stdio: ["ignore", "inherit", "inherit", "ipc"] });
      children.add(child);
      const result = await new Promise<SoakResult | null>((resolve) => {
        child.once("message", (message) => {
          resolve(message as SoakResult);
        });
        child.once("exit", () => {
          resolve(null);
        });
      });
      children.delete(child);
      if (result === null) process.stdout.write(`seed ${seed}: the run itself failed\n`);
      else {
        results.push(result);
        print(result);
      }
      if (record !== undefined) writeFileSync(record, recordOf(results));
    }
  };
  await Promise.all(Array.from({ length: atOnce }, runner));
  const count = (verdict: SoakVerdict): number =>
    results.filter((result) => result.verdict === verdict).length;
  const failed = last - first + 1 - results.length;
  process.stdout.write(
    `${count("held")} held, ${count("broke")} broke, ${count("not_valid")} not valid, ${failed} failed to run\n`,
  );
  if (count("held") < last - first + 1) process.exitCode = 1;
}

/** Without paths, which differ from machine to machine. */
function recordOf(results: SoakResult[]): string {
  const kept = results.map(({ timeline: _timeline, ...rest }) => rest).sort((a, b) => a.seed - b.seed);
  return `${JSON.stringify(kept, null, 1)}\n`;
}

mkdirSync(FOLDER, { recursive: true });
const [range = "1-50", second = "4", record] = process.argv.slice(2);
if (range === RUN_ONE) await runOne(Number(second));
else {
  const [first = 1, last = first] = range.split("-").map(Number);
  await runMany(first, last, Number(second), record);
}
