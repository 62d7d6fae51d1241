/** Guards against fixed limits, such as on remembered machines or frame sizes, that stop a fleet of 4,000 machines. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { fromDemandRecord, toDemandRecord } from "../src/autoscaling/demand-record.js";
import { UnregisteredMachines } from "../src/autoscaling/unregistered-machines.js";
import { checkOperatorSettings } from "../src/config/operator.js";
import { encodeLengthPrefixedFrame, FrameDecoder } from "../src/peers/framing.js";
import type { Demand, Frame, MachineSummary } from "../src/peers/peer-messages.js";
import { keys } from "../src/state/keys.js";
import type { Heartbeat } from "../src/wire/index.js";
import { FakeView, newHeartbeat, smallType } from "./support/records.js";
import { testSettings } from "./support/settings.js";
import { newShard } from "./support/shard.js";

const MACHINES = 4000;
const GAP_MS = 500;

const hosts = Array.from({ length: MACHINES }, (_, i) => `i-${String(i).padStart(6, "0")}`);

test("the default machine limit allows 4,000 machines, and an operator's lower limit applies", () => {
  assert.ok(checkOperatorSettings({}).maxMachines >= MACHINES);
  assert.equal(checkOperatorSettings({ sizing: { max_machines: 40 } }).maxMachines, 40);
});

test("a machine without a record is confirmed at its second heartbeat, however many other machines report between", () => {
  const unregistered = new UnregisteredMachines(GAP_MS, checkOperatorSettings({}).maxMachines);
  for (const host of hosts) assert.equal(unregistered.confirm({ host, epoch: 1, sequence: 1 }, 0), false);
  const confirmed = hosts.filter((host) => unregistered.confirm({ host, epoch: 1, sequence: 2 }, GAP_MS));
  assert.equal(confirmed.length, MACHINES);
});

test("late duplicates of heartbeats are ignored after all machines left the shard and came back", () => {
  const view = new FakeView();
  const shard = newShard({ shard: 0, termToken: 3, view });
  const group = { shard: 0, type: smallType.name, zone: "north", spot: false, since: 0 };
  const machines = Object.fromEntries(hosts.map((host) => [host, "up"]));
  const added = view.put(keys.machineGroup("all"), { ...group, machines }, 1);
  shard.sync(view, [added], 0);
  const heartbeat = (host: string): Heartbeat => newHeartbeat({ host, sequence: 5, highestToken: 3 });
  for (const host of hosts) assert.notEqual(shard.reconcileHeartbeat(heartbeat(host), 0), null);
  shard.sync(view, [view.remove(keys.machineGroup("all"), 2)], 0);
  shard.sync(view, [view.put(keys.machineGroup("all"), { ...group, machines }, 3)], 0);
  const accepted = hosts.filter((host) => shard.reconcileHeartbeat(heartbeat(host), 0) !== null);
  assert.deepEqual(accepted, []);
});

test("a shard summary of 4,000 machines fits one peer frame", async () => {
  const summaries = hosts.map((host): MachineSummary => ({
    host,
    state: "busy",
    stateForMs: 0,
    emptyHeartbeats: 0,
  }));
  const load = { machinesUp: MACHINES, emptyMachines: 0, cpus: 16_000, usedCpus: 16_000, waitingCpus: 0 };
  const summary = { shard: 0, token: 3, recovered: true, demand: [], machines: summaries, load };
  const frame: Frame = {
    id: 1,
    reply: false,
    body: { summary: { ...summary, freeCapacity: [], migrationCandidates: [] } },
  };
  const decoder = new FrameDecoder();
  decoder.end(encodeLengthPrefixedFrame(frame));
  assert.deepEqual(await decoder.toArray(), [frame]);
});

// Guards against a record that lists machines, as it once listed the booting ones, or an unbounded number of demands.
test("a recorded summary fits one value, however many machines boot and however many different demands there are", () => {
  const { valueBytes } = testSettings().state;
  const machines = hosts.map((host): MachineSummary => ({
    host,
    state: "booting",
    stateForMs: 0,
    emptyHeartbeats: 0,
  }));
  const demand = Array.from({ length: 500 }, (_, i): Demand => {
    const needs = { cpus: 1 + i / 1000, gpus: 0, memoryGb: 1, types: ["small"], zone: "north" };
    return { ...needs, spot: true, count: 1, priority: "normal" };
  });
  const load = { machinesUp: 0, emptyMachines: 0, cpus: 0, usedCpus: 0, waitingCpus: 500 };
  const summary = { shard: 0, token: Number.MAX_SAFE_INTEGER, recovered: false, demand, machines, load };
  const record = toDemandRecord({ ...summary, freeCapacity: [], migrationCandidates: [] }, valueBytes);
  assert.ok(Buffer.byteLength(JSON.stringify(record)) <= valueBytes);
  assert.ok(record.demand.length > 30, `${record.demand.length} demands kept`);
  assert.deepEqual(record.demand, demand.slice(0, record.demand.length), "the most urgent demands are kept");
  const read = fromDemandRecord(
    0,
    record,
    hosts.map((host) => [host, { hasReported: false }]),
  );
  assert.equal(read?.machines.filter((machine) => machine.state === "booting").length, MACHINES);
});
