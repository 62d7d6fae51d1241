/** Cost of the link monitor in counts of clock reads, probes and views, so that no test depends on elapsed time. */
import assert from "node:assert/strict";
import { test } from "node:test";
import type { LinkName } from "../src/links/model.js";
import { LinkMonitor } from "../src/links/monitor.js";
import { ACTIVITIES } from "../src/links/degradation-policy.js";
import { encodeView, VIEW_VERSION } from "../src/links/link-view.js";
import { defaultLinkTimings, HEARTBEAT_INTERVAL_MS, TICK_MS } from "./support/link-timings.js";
import { silentLogger } from "./support/records.js";

const PEERS = ["b", "c", "d"];

/** Creates a monitor with a clock that counts its reads, and records the probes that it sends. */
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
    silentLogger,
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

test("a heartbeat and a tick read the clock as often with 4,000 machines as with ten", () => {
  const [few, many] = [countClockReads(10), countClockReads(4000)];
  assert.deepEqual(many, few);
  assert.ok(many.report <= 2, `${many.report} clock reads per heartbeat`);
});

test("idle peers are probed twice per idle timeout, and an idle cloud is not probed", () => {
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
  // An idle link is probed after half of the idle timeout of four heartbeat intervals.
  for (const peer of PEERS) {
    const count = probeCounts.get(`peer:${peer}`) ?? 0;
    assert.ok(count >= 10 && count <= 60_000 / 4000 + 1, `${count} probes per minute`);
  }
});

test("while the state service fails, each peer is probed at most once per heartbeat interval", () => {
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

test("a view is sent to a peer at most once per half heartbeat interval, however often one is requested", () => {
  const { monitor, tick } = createMonitor(10);
  let sentViews = 0;
  for (let i = 0; i < 60_000 / TICK_MS; i++) {
    tick();
    for (let k = 0; k < 20; k++) if (monitor.nextOutgoingView("b") !== undefined) sentViews++;
  }
  assert.ok(sentViews <= 60_000 / (HEARTBEAT_INTERVAL_MS / 2), `${sentViews} views a minute`);
});

// Guards against a monitor in observe mode that applies the hand-over backoff or excludes peers from shards.
test("a monitor in observe mode restricts nothing but reports lost connections", () => {
  const { monitor, tick } = createMonitor(10, "observe");
  for (let i = 0; i < 20; i++) {
    tick();
    monitor.tell({ kind: "observed", observation: { kind: "refused", link: "state" } });
  }
  assert.deepEqual(monitor.status().lost, ["state"]);
  for (const activity of ACTIVITIES) assert.ok(monitor.allows(activity) && !monitor.refuses(activity));
  for (let i = 0; i < 3; i++) assert.ok(monitor.tryHandOver(0), "hand-overs have no backoff");
  const workers = { link: "workers", direction: "inbound" as const, state: "down" as const };
  const view = {
    version: VIEW_VERSION,
    node: "b",
    incarnation: "b.1",
    sequence: 1,
    links: [workers],
    misrouted: [],
  };
  assert.equal(monitor.receiveView(encodeView(view)), "b");
  assert.equal(monitor.isCutOffFromWorkers("b"), false);
});
