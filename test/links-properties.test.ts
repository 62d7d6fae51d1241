/** Property-based tests of the link monitor's pure parts, with a fixed seed so that runs are reproducible. */
import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { test } from "node:test";
import * as fc from "fast-check";
import { Backoff } from "../src/links/backoff.js";
import { diagnose } from "../src/links/diagnosis.js";
import { DirectionTracker } from "../src/links/direction-tracker.js";
import { MisroutedWorkers } from "../src/links/misrouted-workers.js";
import { LINK_STATES, type Evidence } from "../src/links/model.js";
import {
  ACTIVITIES,
  LOSSES,
  rulesForLosses,
  type Decision,
  type Loss,
} from "../src/links/degradation-policy.js";
import { policyTable } from "../src/links/degradation-policy-table.js";
import { deriveLinkTimings, linkSettingsSchema } from "../src/links/settings.js";
import { PeerViews } from "../src/links/peer-views.js";
import { decodeView, encodeView, VIEW_VERSION, type LinkView } from "../src/links/link-view.js";

const RUNS = { seed: 20_261_202, numRuns: Number(process.env.PROPERTY_RUNS ?? 300) };

const timings = deriveLinkTimings(linkSettingsSchema.parse({}), {
  heartbeatIntervalMs: 2000,
  leaseMs: 10_000,
  callTimeoutMs: 1000,
  tickMs: 400,
  shardMovePeriodMs: 30_000,
});

const losses = fc.subarray([...LOSSES]).map((list) => new Set<Loss>(list));
const STRICTNESS: Record<Decision, number> = { allowed: 0, delegated: 1, refused: 2 };

test("a further loss never relaxes a rule, except that leading is allowed if no peer is reached", () => {
  const holds = (some: Set<Loss>, more: Set<Loss>): void => {
    const [fewer, all] = [rulesForLosses(some), rulesForLosses(new Set([...some, ...more]))];
    for (const activity of ACTIVITIES)
      if (activity !== "lead")
        assert.ok(STRICTNESS[all[activity].decision] >= STRICTNESS[fewer[activity].decision], activity);
  };
  fc.assert(fc.property(losses, losses, holds), RUNS);
});

test("without the state service no accept, cancel, poll, order, return or move is allowed, whatever else is lost", () => {
  const holds = (others: Set<Loss>, loss: Loss): void => {
    const rules = rulesForLosses(new Set([...others, loss]));
    for (const activity of ["accept", "cancel", "poll", "order", "return", "move"] as const)
      assert.notEqual(rules[activity].decision, "allowed", activity);
  };
  fc.assert(fc.property(losses, fc.constantFrom<Loss>("state", "state_for_all"), holds), RUNS);
});

test("every rule that is not allowed has a reason, and nothing is delegated to lost peers", () => {
  const holds = (lost: Set<Loss>): void => {
    for (const rule of Object.values(rulesForLosses(lost))) {
      if (rule.decision !== "allowed") assert.notEqual(rule.reason, "");
      if (lost.has("peers")) assert.notEqual(rule.decision, "delegated");
    }
    for (const rule of Object.values(rulesForLosses(lost, true))) {
      assert.notEqual(rule.decision, "delegated", "a controller without peers delegates nothing");
    }
  };
  fc.assert(fc.property(losses, holds), RUNS);
});

interface Step {
  after: number;
  outcome: "delivered" | "failed" | "nothing";
}
const steps = fc.array(
  fc.record({
    after: fc.integer({ min: 1, max: 1000 }),
    outcome: fc.constantFrom("delivered" as const, "failed" as const, "nothing" as const),
  }),
  { maxLength: 200 },
);

/** Applies traffic to a tracker and returns the time at its end. */
function applyTraffic(
  tracker: DirectionTracker,
  traffic: Step[],
  onStep: (now: number, step: Step) => void = () => undefined,
): number {
  let now = 0;
  for (const step of traffic) {
    now += step.after;
    if (step.outcome === "delivered") tracker.recordDelivery(now);
    if (step.outcome === "failed") tracker.recordFailure(now, "no_answer");
    tracker.evaluate(now);
    onStep(now, step);
  }
  return now;
}

test("a direction is down only after failures for `downAfterMs` without a success", () => {
  const holds = (traffic: Step[]): void => {
    const tracker = new DirectionTracker(timings);
    let failingSince: number | null = null;
    applyTraffic(tracker, traffic, (now, { outcome }) => {
      if (outcome === "delivered") failingSince = null;
      if (outcome === "failed") failingSince ??= now;
      if (tracker.state !== "down") return;
      assert.ok(failingSince !== null && now - failingSince >= timings.downAfterMs);
    });
  };
  fc.assert(fc.property(steps, holds), RUNS);
});

test("after any history, steady traffic brings a direction up and steady failures bring it down", () => {
  const steadyTraffic = (outcome: Step["outcome"], ms: number): Step[] =>
    Array.from({ length: Math.ceil(ms / 400) }, () => ({ after: 400, outcome }));
  const holds = (traffic: Step[]): void => {
    const tracker = new DirectionTracker(timings);
    applyTraffic(tracker, [...traffic, ...steadyTraffic("delivered", timings.maxRecoverMs + 800)]);
    assert.equal(tracker.state, "up");
    const other = new DirectionTracker(timings);
    applyTraffic(other, [...traffic, ...steadyTraffic("failed", timings.downAfterMs + 800)]);
    assert.equal(other.state, "down");
  };
  fc.assert(fc.property(steps, holds), RUNS);
});

test("a direction that flaps at the period of a lease becomes up at most twice in 80 leases", () => {
  const tracker = new DirectionTracker(timings);
  const LEASE_MS = 10_000;
  const upTransitionsAt: number[] = [];
  let before = tracker.state;
  const flappingTraffic: Step[] = Array.from({ length: 2000 }, (_, i) => ({
    after: 400,
    outcome: Math.floor((i * 400) / (LEASE_MS / 2)) % 2 === 0 ? "delivered" : "failed",
  }));
  applyTraffic(tracker, flappingTraffic, (now) => {
    if (tracker.state === "up" && before !== "up") upTransitionsAt.push(now);
    before = tracker.state;
  });
  assert.ok(upTransitionsAt.length <= 2, `up ${upTransitionsAt.length} times in 80 leases`);
});

test("silence counts as down only if peers corroborate it, and nothing counts as down after a stall", () => {
  const anyVotes = fc.record({
    working: fc.subarray(["b", "c", "d"]),
    failing: fc.subarray(["e", "f"]),
  });
  const anyEvidence = fc.constantFrom<Evidence>("silent", "no_answer", "refused", "answers_lost");
  const holds = (
    state: (typeof LINK_STATES)[number],
    evidence: Evidence,
    isStalled: boolean,
    votes: { working: string[]; failing: string[] },
  ): void => {
    const diagnosis = diagnose({
      link: "workers",
      direction: "inbound",
      state,
      evidence,
      isStalled,
      votes,
    });
    if (isStalled) assert.notEqual(diagnosis.state, "down");
    if (evidence === "silent" && diagnosis.state === "down") assert.equal(diagnosis.scope, "this_node");
    if (diagnosis.scope === "this_node") assert.ok(votes.working.length > votes.failing.length);
    if (state !== "down") assert.equal(diagnosis.state, state);
  };
  fc.assert(fc.property(fc.constantFrom(...LINK_STATES), anyEvidence, fc.boolean(), anyVotes, holds), RUNS);
});

const recordOptions = { noNullPrototype: true };
const view: fc.Arbitrary<LinkView> = fc.record(
  {
    version: fc.constant(VIEW_VERSION),
    node: fc.constantFrom("b", "c"),
    incarnation: fc.constantFrom("1", "2"),
    sequence: fc.integer({ min: 1, max: 5 }),
    links: fc.array(
      fc.record(
        {
          link: fc.constantFrom("state", "cloud"),
          direction: fc.constantFrom("outbound" as const, "inbound" as const),
          state: fc.constantFrom(...LINK_STATES),
        },
        recordOptions,
      ),
      { maxLength: 4 },
    ),
    misrouted: fc.array(
      fc.record(
        { shard: fc.nat(9), term: fc.nat(99), workers: fc.integer({ min: 1, max: 4000 }) },
        recordOptions,
      ),
      {
        maxLength: 3,
      },
    ),
  },
  recordOptions,
);

test("arbitrary bytes never make decoding throw, and an encoded view decodes to the same view", () => {
  fc.assert(
    fc.property(fc.uint8Array({ maxLength: 200 }), (bytes) => {
      const result = decodeView(bytes);
      if (result.ok) assert.ok(result.view.version <= VIEW_VERSION);
    }),
    RUNS,
  );
  fc.assert(
    fc.property(view, (sent) => {
      assert.deepEqual(decodeView(encodeView(sent)), { ok: true, view: sent });
    }),
    RUNS,
  );
  assert.deepEqual(decodeView(new Uint8Array(20_000)), { ok: false, reason: "malformed" });
});

test("views older than the latest of an incarnation, or from a replaced incarnation, are dropped", () => {
  const holds = (views: LinkView[]): void => {
    const peerViews = new PeerViews(new Set(["b", "c"]), 1000);
    const newestSequences = new Map<string, number>();
    const currentIncarnations = new Map<string, string>();
    const replaced = new Set<string>();
    for (const sent of views) {
      if (!peerViews.receive(encodeView(sent), 0).ok) continue;
      const process = `${sent.node}/${sent.incarnation}`;
      assert.ok(!replaced.has(process), "a view of a replaced incarnation was accepted");
      assert.ok(sent.sequence >= (newestSequences.get(process) ?? 0), "an older view was accepted");
      newestSequences.set(process, sent.sequence);
      const former = currentIncarnations.get(sent.node);
      if (former !== undefined && former !== process) replaced.add(former);
      currentIncarnations.set(sent.node, process);
    }
  };
  fc.assert(fc.property(fc.array(view, { maxLength: 30 }), holds), RUNS);
});

test("the backoff doubles with each attempt for the same key, up to its maximum", () => {
  const backoff = new Backoff<number>({ initialMs: 30_000, maxMs: 240_000 });
  const attemptTimes: number[] = [];
  for (let now = 0; now < 2_000_000; now += 1000)
    if (backoff.canAttempt(0, now)) {
      backoff.recordAttempt(0, now);
      attemptTimes.push(now);
    }
  const waits = attemptTimes.slice(1).map((time, i) => time - attemptTimes[i]!);
  assert.deepEqual(waits.slice(0, 5), [30_000, 60_000, 120_000, 240_000, 240_000]);
  assert.ok(backoff.canAttempt(1, 0), "another key has no backoff");
});

test("each of 4,000 misrouted workers counts once per term, and not after the window", () => {
  const MACHINES = 4000;
  const misrouted = new MisroutedWorkers(8000, MACHINES);
  for (let now = 0; now < 4; now++)
    for (let i = 0; i < 2 * MACHINES; i++) misrouted.record(3, 7, `i-${i}`, now);
  assert.deepEqual(misrouted.counts(4), [{ shard: 3, term: 7, workers: MACHINES }]);
  misrouted.record(3, 8, "i-1", 5);
  assert.deepEqual(misrouted.counts(5), [{ shard: 3, term: 8, workers: 1 }], "a new term starts a new count");
  assert.deepEqual(misrouted.counts(8006), []);
});

test("the policy table in the operators' documentation matches the code", () => {
  const page = readFileSync("docs/operating-links.md", "utf8");
  const shown =
    /printed by src\/links\/degradation-policy-table.ts -->\n([^]*?)<!-- end of policy table/.exec(
      page,
    )?.[1] ?? "";
  // The formatter of the documentation pads cells and delimiter rows.
  const cells = (table: string): string[][] =>
    table
      .trim()
      .split("\n")
      .map((row) => row.split("|").map((text) => text.trim().replace(/^-+$/, "---")));
  assert.deepEqual(cells(shown), cells(policyTable()));
});
