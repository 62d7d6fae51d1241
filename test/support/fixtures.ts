/**
 * Fixtures pin the formats that are shared with other programs, other versions of this one, and operators. New formats
 * may be added; existing entries do not change.
 */
import assert from "node:assert/strict";
import { readFileSync } from "node:fs";

/** Reads a fixture by its file name without extension; tests run in the root directory of the project. */
export function readFixture(name: string): unknown {
  return JSON.parse(readFileSync(`test/fixtures/${name}.json`, "utf8"));
}

/** Asserts that two values have the same JSON text, including the order of keys. */
export function assertSameJson(actual: unknown, expected: unknown, message?: string): void {
  assert.equal(JSON.stringify(actual, null, 1), JSON.stringify(expected, null, 1), message);
}
