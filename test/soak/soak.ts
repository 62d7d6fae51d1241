/**
 * Command for soak runs: `npm run soak -- FIRST-LAST [CONCURRENCY] [RECORD]` runs a range of seeds, each in a process
 * of its own. It prints a line for each run and, for a run that did not hold, the command that repeats it. RECORD is a
 * file to which the results are written as JSON.
 */
import { fork, type ChildProcess } from "node:child_process";
import { mkdirSync, writeFileSync } from "node:fs";
import { fileURLToPath } from "node:url";
import { runSoak, type SoakResult, type SoakVerdict } from "../support/soak/run.js";

const OUTPUT_FOLDER = "target/soak";
const SCRIPT_PATH = fileURLToPath(import.meta.url);
const RUN_ONE_OPTION = "--seed";

/** Calls `end` and exits on SIGINT or SIGTERM, so that an interrupted run ends the processes it started, by id. */
function exitOnSignals(end: () => void): void {
  for (const signal of ["SIGINT", "SIGTERM"] as const)
    process.once(signal, () => {
      end();
      process.exit(1);
    });
}

async function runOne(seed: number): Promise<void> {
  exitOnSignals(() => undefined);
  const result = await runSoak(seed, OUTPUT_FOLDER);
  // Exits without waiting for the users' last requests, whose responses are no longer needed.
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
    process.stdout.write(`    rerun: npm run soak -- ${result.seed}-${result.seed}\n`);
}

async function runMany(
  first: number,
  last: number,
  concurrency: number,
  recordFile: string | undefined,
): Promise<void> {
  const results: SoakResult[] = [];
  const children = new Set<ChildProcess>();
  exitOnSignals(() => {
    for (const child of children) child.kill("SIGTERM");
  });
  let next = first;
  const runNextSeeds = async (): Promise<void> => {
    while (next <= last) {
      const seed = next++;
      const child = fork(SCRIPT_PATH, [RUN_ONE_OPTION, String(seed)], {
        stdio: ["ignore", "inherit", "inherit", "ipc"],
      });
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
      if (result === null) process.stdout.write(`seed ${seed}: the run failed without a result\n`);
      else {
        results.push(result);
        print(result);
      }
      if (recordFile !== undefined) writeFileSync(recordFile, recordOf(results));
    }
  };
  await Promise.all(Array.from({ length: concurrency }, runNextSeeds));
  const count = (verdict: SoakVerdict): number =>
    results.filter((result) => result.verdict === verdict).length;
  const failed = last - first + 1 - results.length;
  process.stdout.write(
    `${count("held")} held, ${count("broke")} broke, ${count("not_valid")} not valid, ${failed} failed to run\n`,
  );
  if (count("held") < last - first + 1) process.exitCode = 1;
}

/** Formats the results without paths, which differ between machines. */
function recordOf(results: SoakResult[]): string {
  const kept = results.map(({ timeline: _timeline, ...rest }) => rest).sort((a, b) => a.seed - b.seed);
  return `${JSON.stringify(kept, null, 1)}\n`;
}

mkdirSync(OUTPUT_FOLDER, { recursive: true });
const [range = "1-50", secondArgument = "4", recordFile] = process.argv.slice(2);
if (range === RUN_ONE_OPTION) await runOne(Number(secondArgument));
else {
  const [first = 1, last = first] = range.split("-").map(Number);
  await runMany(first, last, Number(secondArgument), recordFile);
}
