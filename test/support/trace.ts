/**
 * Runs trace tests. A trace is a text of events, each followed by its outcome on indented lines. The test replays the
 * events and compares the outcome with the text. With `UPDATE_TRACES=1` it rewrites the trace instead of comparing; the
 * difference must then be reviewed.
 */
import assert from "node:assert/strict";
import { readFileSync, readdirSync, writeFileSync } from "node:fs";
import { join, resolve } from "node:path";
import { test } from "node:test";

export interface TraceEvent {
  verb: string;
  /** The words after the verb that are not of the form name=value. */
  words: string[];
  /** The name=value words. */
  options: Map<string, string>;
}

/** Applies one event and returns the lines of its outcome. */
export type TraceStep = (event: TraceEvent) => string[];

const OUTCOME_INDENT = "    ";

function parseEvent(line: string): TraceEvent {
  const [verb = "", ...rest] = line.trim().split(/\s+/);
  const options = new Map<string, string>();
  const words: string[] = [];
  for (const word of rest) {
    const equals = word.indexOf("=");
    if (equals < 0) words.push(word);
    else options.set(word.slice(0, equals), word.slice(equals + 1));
  }
  return { verb, words, options };
}

function replay(text: string, step: TraceStep): string {
  const output: string[] = [];
  for (const line of text.trimEnd().split("\n")) {
    if (line.startsWith(OUTCOME_INDENT)) continue;
    output.push(line);
    if (line.trim() === "" || line.startsWith("#")) continue;
    output.push(...step(parseEvent(line)).map((outcome) => OUTCOME_INDENT + outcome));
  }
  return `${output.join("\n")}\n`;
}

/** Defines one test for each trace in a folder of test/traces. */
export function traceTests(folder: string, newScenario: () => TraceStep): void {
  const directory = resolve("test/traces", folder);
  const files = readdirSync(directory).filter((f) => f.endsWith(".trace"));
  for (const file of files.sort()) {
    test(`${folder}: ${file.slice(0, -".trace".length).replaceAll("-", " ")}`, () => {
      const path = join(directory, file);
      const expected = readFileSync(path, "utf8");
      const actual = replay(expected, newScenario());
      if (process.env.UPDATE_TRACES === "1") writeFileSync(path, actual);
      else assert.equal(actual, expected);
    });
  }
}

export const numberOption = (event: TraceEvent, name: string, fallback: number): number =>
  Number(event.options.get(name) ?? fallback);

export const listOption = (event: TraceEvent, name: string): string[] =>
  (event.options.get(name) ?? "").split(",").filter((part) => part !== "");
