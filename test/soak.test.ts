/** A short soak: two seeds on real processes, run concurrently. `npm run soak` runs any other seeds. */
import assert from "node:assert/strict";
import { mkdirSync } from "node:fs";
import { test } from "node:test";
import { runSoak } from "./support/soak/run.js";

const OUTPUT_FOLDER = "target/soak";
/**
 * One seed in which the owner changes repeatedly after a cancellation, and one with a refusal by the state service and
 * an outage that lasts longer than the cancellation time.
 */
const SEEDS = [3, 4];

test("under randomized faults on real processes, no rule is violated", async () => {
  mkdirSync(OUTPUT_FOLDER, { recursive: true });
  const results = await Promise.all(SEEDS.map((seed) => runSoak(seed, OUTPUT_FOLDER)));
  for (const { seed, verdict, broken, timeline } of results)
    assert.equal(verdict, "held", `seed ${seed}: ${broken.join("; ")}; timeline: ${timeline ?? "none"}`);
});
