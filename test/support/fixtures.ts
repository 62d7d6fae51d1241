/**
 * Fixtures pin the formats shared with other programs, other versions of this one, and operators. New formats are added
 * to them; what is there does not change.
 */
import assert from "node:assert/strict";
import { readFileSync } from "node:fs";

/** Reads a fixture by its file's name; the tests run in the root of the project. */
export function readFixture(name: string): unknown {
  return JSON.parse(readFileSync(`test/fixtures/${name}.json`, "utf8"));
}

/** Compares as JSON text: names, values and their order. */
export function assertSameJson(actual: unknown, expected: unknown, message?: string): void {
  assert.equal(JSON.stringify(actual, null, 1), JSON.stringify(expected, null, 1), message);
}
