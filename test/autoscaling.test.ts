/** Traces of sizing: summaries and machines in; orders, moves and namings out. */
import assert from "node:assert/strict";
import { test } from "node:test";
import type { Demand, MachineCondition, ShardSummary } from "../src/peers/messages.js";
import { decideScaling, poolKey, type RentedMachine } from "../src/autoscaling/scaling-policy.js";
import { fromDemandRecord, toDemandRecord } from "../src/autoscaling/demand-record.js";
import { MachineListing } from "../src/autoscaling/machine-listing.js";
import { UnregisteredMachines } from "../src/autoscaling/unregistered-machines.js";
import { createLogger } from "../src/runtime/log.js";
import type { ListedMachine } from "../src/wire/index.js";
import { Fleet } from "../src/workers/fleet.js";
import { smallType } from "./support/records.js";
import { number, traceTests, type Step } from "./support/trace.js";

// One case for each event that a trace may hold: read together with the traces.
// eslint-disable-next-line max-lines-per-function
function newScenario(): Step {
  let wallNow = 0;
  const machines = new Map<string, RentedMachine>();
  const summaries: ShardSummary[] = [];
  const refused = new Set<string>();
  const caps = { maxMachines: 10, maxTasks: 1000, idleWaitMs: null };

  const summary = (shard: number): ShardSummary =>
    (summaries[shard] ??= {
      shard,
      token: 1,
      recovered: true,
      load: { up: 0, empty: 0, cpus: 0, used: 0, waiting: 0 },
      demand: [],
      machines: [],
      rooms: [],
      waiting: [],
    });

  // eslint-disable-next-line max-lines-per-function -- one case an event
  return (event) => {
    const name = event.words[0] ?? "";
    const shard = number(event, "shard", 0);
    switch (event.verb) {
      case "at":
        wallNow = Number(name) * 1000;
        return [];
      case "shard":
        summary(Number(name)).recovered = !event.options.has("unrecovered");
        return [];
      case "wants": {
        const demand: Demand = {
          cpus: number(event, "cpus", 1),
          gpus: 0,
          memoryGb: 1,
          types: [],
          zone: event.options.get("zone") ?? "",
          spot: !event.options.has("ordinary"),
          count: Number(name),
          priority: event.options.get("priority") ?? "normal",
        };
        summary(shard).demand = Number(name) === 0 ? [] : [...summary(shard).demand, demand];
        return [];
      }
      case "machine": {
        const spot = !event.options.has("ordinary");
        const since = number(event, "since", wallNow / 1000) * 1000;
        machines.set(name, {
          host: name,
          shard,
          type: "small",
          zone: "north",
          spot,
          since,
          draining: false,
          hasReported: true,
        });
        return [];
      }
      case "said": {
        const said = {
          host: name,
          state: event.words[1] as MachineCondition,
          forMs: number(event, "for", 0) * 1000,
          emptyReports: number(event, "empty", 0),
        };
        const others = summary(shard).machines.filter((m) => m.host !== name);
        summary(shard).machines = [...others, said];
        return [];
      }
      case "refused":
        refused.add(name);
        return [];
      case "pass": {
        const {
          order,
          machineTransfer: move,
          cordon,
          drains,
        } = decideScaling({
          types: [smallType],
          summaries,
          machines: [...machines.values()],
          wallNow,
          hasRefusedLately: (market) => refused.has(poolKey(market)),
          caps,
          leaseMs: 10_000,
        });
        return [
          order &&
            `order ${order.count} ${poolKey(order)} for ${order.parts.map((p) => `${p.count} shard ${p.shard}`).join(", ")}`,
          move && `move ${move.hosts.join(" ")} from shard ${move.shard} to ${move.to}`,
          cordon && `cordon one of shard ${cordon.shard} for ${cordon.to}`,
          ...drains.map((drain) => `name ${drain.hosts.join(" ")} of shard ${drain.shard}`),
        ].filter((line) => line !== null);
      }
    }
    throw new Error(`no such event as ${event.verb}`);
  };
}

traceTests("autoscaling", newScenario);

test("one late copy of a report does not bring a returned machine back into the records", () => {
  const unregistered = new UnregisteredMachines(750, 100);
  const copy = { host: "i-1", epoch: 2, sequence: 40 };
  // However often the same report comes, it is one report; an older one proves nothing either.
  assert.deepEqual(
    [0, 1000, 60_000].map((at) => unregistered.confirm(copy, at)),
    [false, false, false],
  );
  assert.equal(unregistered.confirm({ ...copy, sequence: 39 }, 61_000), false);
  assert.equal(unregistered.confirm({ ...copy, sequence: 41 }, 61_500), true);
  unregistered.forget("i-1");
  assert.equal(unregistered.confirm({ ...copy, sequence: 42 }, 62_000), false);
});

test("a summary left in the records says what is short and what is coming, and shows no machine idle", () => {
  const demand: Demand = {
    cpus: 1,
    gpus: 0,
    memoryGb: 2,
    types: [],
    zone: "",
    spot: true,
    count: 7,
    priority: "normal",
  };
  const machine = (host: string, state: MachineCondition) => ({
    host,
    state,
    forMs: 60_000,
    emptyReports: 9,
  });
  const load = { up: 2, empty: 1, cpus: 8, used: 4, waiting: 7 };
  const machines = [machine("i-1", "booting"), machine("i-2", "idle")];
  const said = {
    shard: 3,
    token: 8,
    recovered: true,
    load,
    demand: [demand],
    machines,
    rooms: [],
    waiting: [],
  };
  const left = toDemandRecord(said, 8192);
  const read = fromDemandRecord(3, JSON.parse(JSON.stringify(left)), [
    ["i-1", { hasReported: false }],
    ["i-2", { hasReported: true }],
  ]);
  assert.deepEqual([read?.shard, read?.token, read?.recovered, read?.demand], [3, 8, true, [demand]]);
  assert.deepEqual(
    read?.machines.map((m) => m.state),
    ["booting", "busy"],
  );
  assert.equal(fromDemandRecord(3, { token: "x" }, []), null);
});

test("a list of two pages that disagree makes no machine missing; two whole lists without it do", () => {
  const listing = new MachineListing(1000);
  const listed = (host: string): ListedMachine => ({
    host,
    type: "small",
    zone: "north",
    spot: false,
    state: "running",
    ageS: 100,
  });
  const ours = (host: string): boolean => host !== "i-9";
  const read = (now: number, first: string[], second: string[]): string[] => {
    assert.equal(listing.addPage(first.map(listed), true, now), null);
    assert.equal(listing.after, first.at(-1));
    return listing.missing(listing.addPage(second.map(listed), false, now + 1)!, ours, now + 1);
  };
  assert.deepEqual(read(0, ["i-1", "i-2"], ["i-3", "i-9"]), []);
  // The second page is older than the first, and shows the third machine not yet or no more.
  assert.deepEqual(read(1500, ["i-1", "i-2"], []), []);
  assert.deepEqual(read(3000, ["i-1", "i-2"], ["i-3"]), []);
  assert.deepEqual(read(5000, ["i-1", "i-2"], []), []);
  assert.deepEqual(read(7500, ["i-1", "i-2"], []), ["i-3"]);
  // An outage between two pages: the list is begun anew.
  assert.equal(listing.addPage([listed("i-1")], true, 9000), null);
  assert.equal(listing.isInProgress(10_000), true);
  assert.equal(listing.isInProgress(11_001), false);
  assert.equal(listing.after, undefined);
});

test("machines are returned in as many groups as one transaction takes out of the records", () => {
  const fleet = new Fleet(createLogger("test"));
  const groups = Array.from({ length: 20 }, (_, g) => ({
    key: `fernpond/live/machines/g-${g}`,
    version: g + 1,
    value: {
      shard: 0,
      type: "small",
      zone: "north",
      spot: false,
      since: 0,
      machines: Object.fromEntries([0, 1, 2, 3, 4].map((i) => [`i-${g * 5 + i}`, "leaving"])),
    },
  }));
  const view = { revision: 20, completeAsOf: 0, get: () => undefined, list: () => [] };
  fleet.applyChanges(view, groups);
  const all = [...fleet.all()].map(([host]) => host);
  assert.equal(all.length, 100);
  const { conditions: guards, writes, hosts } = fleet.changeStage(all, null, 8);
  assert.deepEqual([guards.length, writes.length, hosts.length], [8, 8, 40]);
  // Once they are out of the records the next ones follow, until none is left.
  const gone = writes.map((w) => ({ key: "remove" in w ? w.remove : w.put, value: undefined, version: 99 }));
  fleet.applyChanges(view, gone);
  const rest = fleet.changeStage(
    all.filter((host) => fleet.get(host) !== undefined),
    null,
    8,
  );
  assert.equal(rest.hosts.length, 40);
  assert.equal(
    rest.hosts.some((host) => hosts.includes(host)),
    false,
  );
});
