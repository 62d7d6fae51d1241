/** A short part of the soak: two seeds on real processes, at once. `npm run soak` plays any others. */
import assert from "node:assert/strict";
import { mkdirSync } from "node:fs";
import { test } from "node:test";
import { soak } from "./support/soak/run.js";

const FOLDER = "target/soak";
/** One in which owners follow each other after a cancellation, and one with a refusal and an outage longer than it may take. */
const SEEDS = [3, 4];

test("randomized faults on real processes break no rule", async () => {
  mkdirSync(FOLDER, { recursive: true });
  const results = await Promise.all(SEEDS.map((seed) => soak(seed, FOLDER)));
  for (const { seed, verdict, broken, timeline } of results)
    assert.equal(verdict, "held", `seed ${seed}: ${broken.join("; ")}; timeline: ${timeline ?? "none"}`);
});
