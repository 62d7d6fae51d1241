/** Tests of scaling decisions, replayed from traces, and of the autoscaler's records, listings and registration. */
import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { fromDemandRecord, toDemandRecord } from "../src/autoscaling/demand-record.js";
import { MachineListing } from "../src/autoscaling/machine-listing.js";
import { decideScaling, type ScalingActions } from "../src/autoscaling/scaling-policy.js";
import type { RentedMachine } from "../src/autoscaling/scaling-view.js";
import { UnregisteredMachines } from "../src/autoscaling/unregistered-machines.js";
import { poolKey } from "../src/cloud/instance-pool.js";
import type { Demand, MachineCondition, MachineSummary, ShardSummary } from "../src/peers/peer-messages.js";
import { createLogger } from "../src/runtime/log.js";
import { keys } from "../src/state/keys.js";
import type { ListedMachine, RecordChange } from "../src/wire/index.js";
import { Fleet } from "../src/workers/fleet.js";
import type { MachineStage } from "../src/workers/machine-records.js";
import { smallType } from "./support/records.js";
import { numberOption, traceTests, type TraceStep, type TraceEvent } from "./support/trace.js";

const demandOf = (over: Partial<Demand>): Demand => ({
  cpus: 1,
  gpus: 0,
  memoryGb: 1,
  types: [],
  zone: "",
  spot: true,
  count: 1,
  priority: "normal",
  ...over,
});

const summaryOf = (shard: number, over: Partial<ShardSummary> = {}): ShardSummary => ({
  shard,
  token: 1,
  recovered: true,
  load: { machinesUp: 0, emptyMachines: 0, cpus: 0, usedCpus: 0, waitingCpus: 0 },
  demand: [],
  machines: [],
  freeCapacity: [],
  migrationCandidates: [],
  ...over,
});

/** The demand of one `wants` event. */
const demandOfEvent = (event: TraceEvent): Demand =>
  demandOf({
    cpus: numberOption(event, "cpus", 1),
    zone: event.options.get("zone") ?? "",
    spot: !event.options.has("ordinary"),
    count: Number(event.words[0]),
    priority: event.options.get("priority") ?? "normal",
  });

/** The owner's summary of a machine, from one `reports` event. */
const machineSummaryOfEvent = (event: TraceEvent): MachineSummary => ({
  host: event.words[0]!,
  state: event.words[1] as MachineCondition,
  stateForMs: numberOption(event, "for", 0) * 1000,
  emptyHeartbeats: numberOption(event, "empty", 0),
});

/** The actions of a pass, as lines of a trace. */
function outcomeLines({ rentalPlan, machineTransfer, cordon, drains }: ScalingActions): string[] {
  const lines: string[] = [];
  if (rentalPlan !== null) {
    const parts = rentalPlan.parts.map((part) => `${part.count} shard ${part.shard}`).join(", ");
    lines.push(`rent ${rentalPlan.count} ${poolKey(rentalPlan)} for ${parts}`);
  }
  if (machineTransfer !== null) {
    const { shard, targetShard, hosts } = machineTransfer;
    lines.push(`transfer ${hosts.join(" ")} from shard ${shard} to ${targetShard}`);
  }
  if (cordon !== null) lines.push(`cordon one of shard ${cordon.shard} for ${cordon.targetShard}`);
  for (const { shard, hosts } of drains) lines.push(`drain ${hosts.join(" ")} of shard ${shard}`);
  return lines;
}

const rentedMachineOfEvent = (event: TraceEvent, wallNow: number): RentedMachine => ({
  host: event.words[0]!,
  shard: numberOption(event, "shard", 0),
  type: "small",
  zone: "north",
  spot: !event.options.has("ordinary"),
  since: numberOption(event, "since", wallNow / 1000) * 1000,
  isDraining: false,
  hasReported: true,
});

/** The state set up by the events of one trace. */
class ScalingScenario {
  private wallNow = 0;
  private readonly machines = new Map<string, RentedMachine>();
  private readonly summaries: ShardSummary[] = [];
  private readonly refusedPools = new Set<string>();
  private readonly caps = { maxMachines: 10, maxTasks: 1000, idleWaitMs: null };

  /** Applies an event, and returns the lines of its outcome. */
  step(event: TraceEvent): string[] {
    if (event.verb === "pass") return outcomeLines(this.makePass());
    this.setUp(event);
    return [];
  }

  private setUp(event: TraceEvent): void {
    const argument = event.words[0] ?? "";
    switch (event.verb) {
      case "at":
        this.wallNow = Number(argument) * 1000;
        return;
      case "shard":
        this.summary(Number(argument)).recovered = !event.options.has("unrecovered");
        return;
      case "wants":
        this.addDemand(event);
        return;
      case "machine":
        this.machines.set(argument, rentedMachineOfEvent(event, this.wallNow));
        return;
      case "reports":
        this.reportMachine(event);
        return;
      case "refused":
        this.refusedPools.add(argument);
        return;
      default:
        throw new Error(`unknown trace event: ${event.verb}`);
    }
  }

  private summary(shard: number): ShardSummary {
    return (this.summaries[shard] ??= summaryOf(shard));
  }

  private addDemand(event: TraceEvent): void {
    const summary = this.summary(numberOption(event, "shard", 0));
    const demand = demandOfEvent(event);
    summary.demand = demand.count === 0 ? [] : [...summary.demand, demand];
  }

  private reportMachine(event: TraceEvent): void {
    const summary = this.summary(numberOption(event, "shard", 0));
    const reported = machineSummaryOfEvent(event);
    const others = summary.machines.filter((machine) => machine.host !== reported.host);
    summary.machines = [...others, reported];
  }

  private makePass(): ScalingActions {
    return decideScaling({
      types: [smallType],
      summaries: this.summaries,
      machines: [...this.machines.values()],
      wallNow: this.wallNow,
      isInBackoff: (pool) => this.refusedPools.has(poolKey(pool)),
      caps: this.caps,
      leaseMs: 10_000,
    });
  }
}

function newScenario(): TraceStep {
  const scenario = new ScalingScenario();
  return (event) => scenario.step(event);
}

void describe("autoscaling/scaling-policy", () => {
  traceTests("autoscaling", newScenario);
});

void describe("autoscaling/unregistered-machines", () => {
  test("delayed copies of one heartbeat do not confirm that a returned machine exists", () => {
    const unregistered = new UnregisteredMachines(750, 100);
    const copy = { host: "i-1", epoch: 2, sequence: 40 };
    // Neither copies of the first heartbeat nor an older heartbeat confirm the machine.
    assert.deepEqual(
      [0, 1000, 60_000].map((now) => unregistered.confirm(copy, now)),
      [false, false, false],
    );
    assert.equal(unregistered.confirm({ ...copy, sequence: 39 }, 61_000), false);
    assert.equal(unregistered.confirm({ ...copy, sequence: 41 }, 61_500), true);
    unregistered.forget("i-1");
    assert.equal(unregistered.confirm({ ...copy, sequence: 42 }, 62_000), false);
  });
});

void describe("autoscaling/demand-record", () => {
  test("a summary read from its record keeps demand and booting machines, and reports no machine as idle", () => {
    const demand = demandOf({ memoryGb: 2, count: 7 });
    const machine = (host: string, state: MachineCondition): MachineSummary => ({
      host,
      state,
      stateForMs: 60_000,
      emptyHeartbeats: 9,
    });
    const summary = summaryOf(3, {
      token: 8,
      load: { machinesUp: 2, emptyMachines: 1, cpus: 8, usedCpus: 4, waitingCpus: 7 },
      demand: [demand],
      machines: [machine("i-1", "booting"), machine("i-2", "idle")],
    });
    const record = toDemandRecord(summary, 8192);
    const read = fromDemandRecord(3, JSON.parse(JSON.stringify(record)), [
      ["i-1", { hasReported: false }],
      ["i-2", { hasReported: true }],
    ]);
    assert.deepEqual([read?.shard, read?.token, read?.recovered, read?.demand], [3, 8, true, [demand]]);
    assert.deepEqual(
      read?.machines.map(({ state }) => state),
      ["booting", "busy"],
    );
    assert.equal(fromDemandRecord(3, { token: "x" }, []), null);
  });
});

void describe("autoscaling/machine-listing", () => {
  test("a machine is missing only after successive complete lists have omitted it", () => {
    const listing = new MachineListing(1000);
    const listed = (host: string): ListedMachine => ({
      host,
      type: "small",
      zone: "north",
      spot: false,
      state: "running",
      ageS: 100,
    });
    const isRecorded = (host: string): boolean => host !== "i-9";
    const readMissing = (now: number, firstPage: string[], secondPage: string[]): string[] => {
      assert.equal(listing.addPage(firstPage.map(listed), true, now), null);
      assert.equal(listing.after, firstPage.at(-1));
      const completeList = listing.addPage(secondPage.map(listed), false, now + 1)!;
      return listing.missing(completeList, isRecorded, now + 1);
    };
    assert.deepEqual(readMissing(0, ["i-1", "i-2"], ["i-3", "i-9"]), []);
    // The second page is from another point in time than the first and does not include i-3.
    assert.deepEqual(readMissing(1500, ["i-1", "i-2"], []), []);
    assert.deepEqual(readMissing(3000, ["i-1", "i-2"], ["i-3"]), []);
    assert.deepEqual(readMissing(5000, ["i-1", "i-2"], []), []);
    assert.deepEqual(readMissing(7500, ["i-1", "i-2"], []), ["i-3"]);
    // After an outage between two pages, the listing starts again.
    assert.equal(listing.addPage([listed("i-1")], true, 9000), null);
    assert.equal(listing.isInProgress(10_000), true);
    assert.equal(listing.isInProgress(11_001), false);
    assert.equal(listing.after, undefined);
  });
});

/** A record change of a machine group of the small type, at the given version. */
const machineGroupChange = (
  name: string,
  version: number,
  shard: number,
  machines: Record<string, MachineStage>,
): RecordChange => ({
  key: keys.machineGroup(name),
  version,
  value: { shard, type: "small", zone: "north", spot: false, since: 0, machines },
});

void describe("workers/fleet", () => {
  test("a stage change of many machines is limited to the groups that fit into one transaction", () => {
    const fleet = new Fleet(createLogger("test"));
    const groups = Array.from({ length: 20 }, (_, group) => {
      const hosts = [0, 1, 2, 3, 4].map((member) => [`i-${group * 5 + member}`, "leaving"] as const);
      return machineGroupChange(`g-${group}`, group + 1, 0, Object.fromEntries(hosts));
    });
    const view = { revision: 20, completeAsOf: 0, get: () => undefined, list: () => [] };
    fleet.applyChanges(view, groups);
    const allHosts = [...fleet.all()].map(([host]) => host);
    assert.equal(allHosts.length, 100);
    const { conditions, writes, hosts } = fleet.removeMachines(allHosts, 8);
    assert.deepEqual([conditions.length, writes.length, hosts.length], [8, 8, 40]);
    // After their removal, the next call removes other machines.
    const removals = writes.map((write) => ({
      key: "remove" in write ? write.remove : write.put,
      value: undefined,
      version: 99,
    }));
    fleet.applyChanges(view, removals);
    const remaining = fleet.removeMachines(
      allHosts.filter((host) => fleet.get(host) !== undefined),
      8,
    );
    assert.equal(remaining.hosts.length, 40);
    assert.equal(
      remaining.hosts.some((host) => hosts.includes(host)),
      false,
    );
  });

  // Guards against a record of a machine that was returned, and against an owner that changes another shard's record.
  test("of a machine in records of two shards, one shard's is changed, and the return removes both", () => {
    const fleet = new Fleet(createLogger("test"));
    const view = { revision: 3, completeAsOf: 0, get: () => undefined, list: () => [] };
    fleet.applyChanges(view, [
      machineGroupChange("g-1", 2, 0, { "i-1": "up", "i-2": "up" }),
      machineGroupChange("g-2", 3, 1, { "i-1": "booting" }),
    ]);
    assert.equal(fleet.get("i-1")?.shard, 0);
    assert.deepEqual(fleet.changeStage(1, ["i-1"], "leaving", 8).writes, []);
    assert.deepEqual(fleet.changeStage(0, ["i-1"], "leaving", 8).conditions, [
      { key: keys.machineGroup("g-1"), version: 2 },
    ]);
    assert.deepEqual(fleet.transferToShard(["i-1"], 2, () => "g-3", 8).writes, []);
    const { conditions, writes, hosts } = fleet.removeMachines(["i-1"], 8);
    assert.deepEqual(hosts, ["i-1"]);
    assert.deepEqual(
      conditions.map(({ key }) => key),
      [keys.machineGroup("g-1"), keys.machineGroup("g-2")],
    );
    assert.deepEqual(writes[1], { remove: keys.machineGroup("g-2") });
    // Both records or none: one that is left would show a machine that does not exist.
    assert.deepEqual(fleet.removeMachines(["i-1"], 1).writes, []);
  });
});
