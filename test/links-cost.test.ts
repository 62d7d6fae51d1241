/** What the link monitor costs, counted: looks at the clock, observations and probes, never time. */
import assert from "node:assert/strict";
import { test } from "node:test";
import type { LinkName } from "../src/links/model.js";
import { LinkMonitor } from "../src/links/monitor.js";
import { ACTIVITIES } from "../src/links/degradation-policy.js";
import { encodeView, VIEW_VERSION } from "../src/links/link-view.js";
import { defaultLinkTimings, HEARTBEAT_INTERVAL_MS, TICK_MS } from "./support/link-timings.js";
import { silent } from "./support/records.js";

const PEERS = ["b", "c", "d"];

/** A monitor, a clock that counts who looks at it, and the probes that were sent. */
function createMonitor(machines: number, mode: "observe" | "enforce" = "enforce") {
  let now = 0;
  const counts = { clockReads: 0, probes: [] as LinkName[] };
  const monitor = new LinkMonitor(
    {
      node: "a",
      incarnation: "a.1",
      peers: PEERS,
      mode,
      timings: defaultLinkTimings(),
      probes: { cloudRps: 4, controllers: 4, share: 0.02 },
      misroutedWindowMs: 8000,
      maxMachines: 10_000,
      usersSilenceMs: 5000,
      clock: () => {
        counts.clockReads++;
        return now;
      },
    },
    {
      ownedShards: () => [{ shard: 0, term: 7, machines }],
      isLeader: () => true,
      isMember: () => true,
      probe: (link) => void counts.probes.push(link),
      handOver: () => undefined,
      resign: () => undefined,
    },
    silent,
  );
  const tick = (): void => {
    now += TICK_MS;
    monitor.tell({ kind: "tick" });
  };
  return { monitor, counts, tick };
}

function countClockReads(machines: number): { report: number; tick: number } {
  const { monitor, counts, tick } = createMonitor(machines);
  tick();
  counts.clockReads = 0;
  for (let i = 0; i < machines; i++)
    monitor.tell({
      kind: "observed",
      observation: { kind: "delivered", link: "workers", direction: "inbound" },
    });
  const report = counts.clockReads / machines;
  counts.clockReads = 0;
  tick();
  return { report, tick: counts.clockReads };
}

test("a report and a tick cost the same with 4,000 machines as with ten", () => {
  const [few, many] = [countClockReads(10), countClockReads(4000)];
  assert.deepEqual(many, few);
  assert.ok(many.report <= 2, `${many.report} looks at the clock a report`);
});

test("quiet peers are asked twice in the time after which they are unknown, and an idle cloud is not asked", () => {
  const { monitor, counts, tick } = createMonitor(10);
  const probeCounts = new Map<LinkName, number>();
  for (let i = 0; i < 60_000 / TICK_MS; i++) {
    tick();
    monitor.tell({ kind: "observed", observation: { kind: "answered", link: "state", latencyMs: 5 } });
    monitor.tell({
      kind: "observed",
      observation: { kind: "delivered", link: "workers", direction: "inbound" },
    });
    for (const link of counts.probes.splice(0)) {
      assert.notEqual(link, "cloud");
      monitor.tell({ kind: "observed", observation: { kind: "delivered", link, direction: "outbound" } });
      probeCounts.set(link, (probeCounts.get(link) ?? 0) + 1);
    }
  }
  // Every half of four report intervals.
  for (const peer of PEERS) {
    const count = probeCounts.get(`peer:${peer}`) ?? 0;
    assert.ok(count >= 10 && count <= 60_000 / 4000 + 1, `${count} questions a minute`);
  }
});

test("a controller that finds the state service failing asks each peer at most once a report interval", () => {
  const { monitor, counts, tick } = createMonitor(10);
  for (let i = 0; i < 60_000 / TICK_MS; i++) {
    tick();
    monitor.tell({ kind: "observed", observation: { kind: "refused", link: "state" } });
  }
  assert.ok(
    counts.probes.length <= PEERS.length * (60_000 / HEARTBEAT_INTERVAL_MS),
    `${counts.probes.length} probes`,
  );
});

test("views go to a peer at most every half report interval, whoever asks for one", () => {
  const { monitor, tick } = createMonitor(10);
  let sentViews = 0;
  for (let i = 0; i < 60_000 / TICK_MS; i++) {
    tick();
    for (let k = 0; k < 20; k++) if (monitor.outgoing("b") !== undefined) sentViews++;
  }
  assert.ok(sentViews <= 60_000 / (HEARTBEAT_INTERVAL_MS / 2), `${sentViews} views a minute`);
});

// Fails if a monitor that only observes counts hand-overs, or keeps shards from peers.
test("a monitor that observes restricts nothing, and shows what would be", () => {
  const { monitor, tick } = createMonitor(10, "observe");
  for (let i = 0; i < 20; i++) {
    tick();
    monitor.tell({ kind: "observed", observation: { kind: "refused", link: "state" } });
  }
  assert.deepEqual(monitor.status().lost, ["state"]);
  for (const activity of ACTIVITIES) assert.ok(monitor.allows(activity) && !monitor.refuses(activity));
  for (let i = 0; i < 3; i++) assert.ok(monitor.tryHandOver(0), "no hand-over waits for another");
  const workers = { link: "workers", direction: "inbound" as const, state: "down" as const };
  const view = {
    version: VIEW_VERSION,
    node: "b",
    incarnation: "b.1",
    sequence: 1,
    links: [workers],
    misrouted: [],
  };
  assert.equal(monitor.incoming(encodeView(view)), "b");
  assert.equal(monitor.isCutOffFromWorkers("b"), false);
});
