/** Runs the program's own code for every kind of write to the state service and records the transactions. */
import { mock } from "node:test";
import { Autoscaler } from "../../src/autoscaling/autoscaler.js";
import { CloudClient } from "../../src/cloud/cloud-client.js";
import { checkOperatorSettings } from "../../src/config/operator.js";
import { ReadBarrier } from "../../src/state/read-barrier.js";
import { JobService } from "../../src/jobs/job-service.js";
import { CHUNK_TASKS } from "../../src/jobs/bitmap.js";
import { ShardAssignment } from "../../src/jobs/shard-assignment.js";
import { joinTransaction } from "../../src/membership/membership-transactions.js";
import { Membership } from "../../src/membership/membership.js";
import type { ShardSummary } from "../../src/peers/peer-messages.js";
import { CompletionLog, type Completion } from "../../src/shards/completion-log.js";
import { JobMigrator } from "../../src/shards/job-migrator.js";
import type { JsonClient } from "../../src/runtime/json-client.js";
import { StateStoreClient } from "../../src/state/state-store-client.js";
import { keys } from "../../src/state/keys.js";
import { SummaryExchange } from "../../src/controller/summary-exchange.js";
import { parseHeartbeat, parseSubmission, type JobSpec, type Write } from "../../src/wire/index.js";
import { Fleet } from "../../src/workers/fleet.js";
import { Job } from "../../src/workers/job.js";
import { submission } from "./cluster.js";
import { FakeView, jobSpec, silentLogger, smallType } from "./records.js";
import { testSettings } from "./settings.js";
import { newShard } from "./shard.js";
import { FakeStateStore } from "./state-service.js";

/** A transaction as sent to the state service. */
export interface StoredTransaction {
  guards: { path: string; stamp: number }[];
  apply: { put?: string; value?: unknown; hold?: number; remove?: string }[];
}

export const NOW = 1_700_000_000_000;
const SHARDS = 2;

/** Waits until pending promises and callbacks have run. */
async function settlePendingWork(): Promise<void> {
  for (let turn = 0; turn < 20; turn++) await new Promise((resolve) => setImmediate(resolve));
}

/** An in-process state service with the real client and a replica of the records; keeps the committed transactions. */
class RecordingStateStore {
  readonly transactions: StoredTransaction[] = [];
  readonly view = new FakeView();
  readonly client: StateStoreClient;
  readonly store = new FakeStateStore();

  constructor() {
    const http: JsonClient = {
      call: async (method, path, body) => {
        const sent: unknown = body === undefined ? undefined : JSON.parse(JSON.stringify(body));
        const response = await this.store.handle(0, method, new URL(path, "http://state"), sent);
        if (path === "/multi" && response.status === 200) this.transactions.push(sent as StoredTransaction);
        return { status: response.status, body: response.body };
      },
    };
    this.client = new StateStoreClient({
      http,
      watchHttp: http,
      limits: { rps: 1000, writeRps: 1000, txnOps: 8 },
      controllers: 1,
      clock: () => 0,
      timeoutMs: 1000,
    });
    this.store.onChange = (change) => {
      if ("put" in change) this.view.put(change.put, change.value, change.stamp);
      else this.view.remove(change.remove, change.stamp);
    };
  }

  /** Writes the records that a scenario depends on; these transactions are not kept. */
  async seedRecords(...writes: Write[]): Promise<void> {
    await this.client.compareAndSwap([], writes, "background");
    this.transactions.length = 0;
  }
}

/** Runs a scenario with a fixed wall clock and fixed generated names; returns the transactions that it committed. */
async function recordTransactions(
  runScenario: (state: RecordingStateStore) => Promise<void>,
): Promise<StoredTransaction[]> {
  const state = new RecordingStateStore();
  let generatedNames = 0;
  mock.timers.enable({ apis: ["Date"], now: NOW });
  mock.method(crypto, "randomUUID", () => `00000000-0000-4000-8000-00000000000${++generatedNames}`);
  try {
    await runScenario(state);
  } finally {
    state.store.close();
    mock.timers.reset();
    mock.restoreAll();
  }
  return state.transactions;
}

/** A controller joins, becomes leader, assigns shards, advances a fencing token, hands a shard over and resigns. */
async function membershipRecords(state: RecordingStateStore): Promise<void> {
  const { conditions, writes } = joinTransaction(
    { node: "node-b", incarnation: "b.1" },
    await state.client.grantLease(60_000),
    0,
  );
  await state.client.compareAndSwap(conditions, writes, "ownership");
  const timings = { membershipLeaseMs: 5000, marginMs: 100, maxViewAgeMs: 5000, shardMovePeriodMs: 30_000 };
  const callbacks = {
    onOwnershipChanged: () => undefined,
    requestHandOver: () => undefined,
    isCutOffFromWorkers: () => false,
  };
  const cluster = { self: { node: "node-a", incarnation: "a.1" }, shards: SHARDS, controllers: SHARDS };
  const services = { state: state.client, view: state.view, clock: () => 0, log: silentLogger };
  const membership = new Membership({ ...cluster, ...services, timings, callbacks });
  const messages = [
    { kind: "tick" },
    { kind: "records_changed" },
    { kind: "records_changed" },
    { kind: "records_changed" },
    { kind: "advance_token", shard: 0 },
    { kind: "records_changed" },
    { kind: "hand_over", shard: 0, successor: "node-b" },
    { kind: "records_changed" },
    { kind: "resign" },
  ] as const;
  for (const message of messages) {
    membership.tell(message);
    await settlePendingWork();
  }
}

/** A submission with all optional fields. */
export const FULL_SUBMISSION = {
  lane: "nightly",
  crew: "capped",
  rank: "urgent",
  pieces: 4,
  vcpus: 1.5,
  memGb: 2.25,
  bundle: "registry/model:7",
  imageGb: 3.5,
  breeds: ["small"],
  bank: "south",
  together: true,
  guessS: 90,
  markEveryS: 30,
  markCostS: 2,
  dueS: 3600,
};

export function parseJobSpec(id: string, overrides: Record<string, unknown> = {}): JobSpec {
  const parsed = parseSubmission(submission(id, overrides));
  if (!parsed.ok) throw new Error(parsed.error);
  return parsed.value;
}

const types = new Map([[smallType.name, smallType]]);

function jobService({ client, view }: RecordingStateStore): JobService {
  const settings = testSettings({ controllers: SHARDS });
  const alreadyUpToDate = { waitForRevision: () => Promise.resolve() };
  return new JobService({
    settings,
    state: client,
    replica: view,
    readBarrier: new ReadBarrier(client, alreadyUpToDate, 1000),
    machineTypes: () => types,
    shardAssignment: new ShardAssignment(settings.teams, SHARDS),
    taskCounts: () => Promise.resolve(null),
    notifyOwnerOfCancellation: () => undefined,
    queueTimeoutMs: 1000,
    log: silentLogger,
  });
}

/** Two jobs are accepted, one of them with all optional fields; the other is cancelled. */
async function jobRecords(state: RecordingStateStore): Promise<void> {
  const service = jobService(state);
  await service.submit(parseJobSpec("req-1", FULL_SUBMISSION));
  await service.submit(parseJobSpec("req-2"));
  await service.cancel("req-2");
}

/** A job of a team with a quota migrates to a shard of another team. */
async function migrationRecords(state: RecordingStateStore): Promise<void> {
  const owner = { node: "node-a", incarnation: "a.1" };
  await state.seedRecords({ put: keys.shard(0), value: owner }, { put: keys.shard(1), value: owner });
  await jobService(state).submit(parseJobSpec("req-1", { crew: "capped", bank: "south" }));
  state.transactions.length = 0;
  mock.timers.tick(60_000);
  const token = state.view.get(keys.shard(1))!.version;
  const shard = newShard({ shard: 1, termToken: token, view: state.view });
  const term = { currentToken: () => token, hasEnded: () => false };
  const dependencies = { shard, term, state: state.client, view: state.view };
  const migrator = new JobMigrator({ ...dependencies, clock: () => 0, retryMs: 1000, log: silentLogger });
  await migrator.migrate("req-1", 0);
}

/** Some tasks of a small and of a large job complete, then the remaining tasks of the small one. */
async function completionRecords(state: RecordingStateStore): Promise<void> {
  const log = new CompletionLog(1, 8192, silentLogger, () => undefined);
  const small = new Job(jobSpec("req-1", { tasks: 3 }), NOW, 0);
  const large = new Job(jobSpec("req-2", { tasks: CHUNK_TASKS + 16 }), NOW, 0);
  const complete = (job: Job, ...indexes: number[]): void => {
    for (const index of indexes) {
      job.done.add(index);
      log.add(job, index);
    }
  };
  const write = async (completions: Completion[]): Promise<void> => {
    for (const completion of completions) {
      await state.client.compareAndSwap(completion.conditions, completion.writes, "result");
      completion.onDurable();
    }
  };
  complete(small, 0, 2);
  complete(large, CHUNK_TASKS, CHUNK_TASKS + 15);
  await write(log.taskProgress(8));
  complete(small, 1);
  await write(log.finishedJobs(8, () => true));
}

const demandSummary = (shard: number): ShardSummary => ({
  shard,
  token: 1,
  recovered: true,
  demand: [
    {
      cpus: 2,
      gpus: 0,
      memoryGb: 4.5,
      types: ["small"],
      zone: "south",
      spot: false,
      count: 4,
      priority: "urgent",
    },
  ],
  machines: [],
  load: { machinesUp: 0, emptyMachines: 0, cpus: 0, usedCpus: 0, waitingCpus: 8 },
  freeCapacity: [],
  migrationCandidates: [],
});

const CATALOGUE = {
  breeds: [
    {
      label: "small",
      vcpus: 4,
      cards: 1,
      memGb: 16,
      cacheGb: 50,
      pullGbPerS: 0.25,
      hourly: 1.5,
      lowPrice: 0.5,
      readyS: 20,
      banks: ["north", "south"],
    },
  ],
};

const unknownMachineMessage = (tick: number) => {
  const identity = { host: "i-9", addr: "10.0.0.9:9000", breed: "small", bank: "north", loaners: true };
  const parsed = parseHeartbeat({ ...identity, tenure: 1, tick, baton: 0, pieces: [] });
  if (!parsed.ok) throw new Error(parsed.error);
  return { kind: "unknown_machine", heartbeat: parsed.value } as const;
};

/** Starts an autoscaler on the leader; each call of the returned `runPass` advances the clock and runs one pass. */
async function startAutoscaler(state: RecordingStateStore, onRent: (body: unknown) => void) {
  let now = 0;
  const cloud: JsonClient = {
    call: (method, path, body) => {
      if (path === "/flavors") return Promise.resolve({ status: 200, body: CATALOGUE });
      if (method === "POST") onRent(body);
      const hosts = method === "POST" ? ["i-1", "i-2", "i-3"] : [];
      return Promise.resolve({ status: 200, body: { hosts, truncated: false } });
    },
  };
  const fleet = new Fleet(silentLogger);
  const settings = testSettings({ controllers: SHARDS });
  const clock = (): number => now;
  const callbacks = {
    leaderVersion: () => state.view.get(keys.leader)?.version ?? null,
    requestOwner: () => Promise.resolve({ accepted: { hosts: [] } }),
    canCallCloud: () => true,
  };
  const client = new CloudClient(cloud, 100, clock, 1000);
  const operator = checkOperatorSettings({});
  const autoscaler = new Autoscaler({
    settings,
    operator,
    cloud: client,
    state: state.client,
    view: state.view,
    fleet,
    clock,
    callbacks,
    log: silentLogger,
  });
  const runPass = async (): Promise<void> => {
    now += operator.passSpacingMs;
    autoscaler.tell({ kind: "tick" });
    await settlePendingWork();
    fleet.applyChanges(state.view, null);
  };
  await runPass();
  return { autoscaler, fleet, runPass };
}

const LEADER_RECORD: Write = { put: keys.leader, value: { node: "node-a", incarnation: "a.1" } };

/** Machine types are recorded, machines are ordered for two shards, and a machine without an order is registered. */
async function autoscalingRecords(state: RecordingStateStore): Promise<void> {
  await state.seedRecords(LEADER_RECORD);
  const { autoscaler, runPass } = await startAutoscaler(state, () => undefined);
  for (const shard of [0, 1])
    autoscaler.tell({ kind: "summary", summary: demandSummary(shard), reply: () => undefined });
  await runPass();
  autoscaler.tell(unknownMachineMessage(1));
  await settlePendingWork();
  await runPass();
  autoscaler.tell(unknownMachineMessage(2));
  await settlePendingWork();
  await runPass();
}

/** Returns the rental requests that are sent to the cloud for an order recorded by an earlier leader. */
export async function rentalForRecordedOrder(key: string, value: unknown): Promise<unknown[]> {
  const sent: unknown[] = [];
  await recordTransactions(async (state) => {
    await state.seedRecords(LEADER_RECORD, { put: key, value });
    const { runPass } = await startAutoscaler(state, (body) => sent.push(body));
    await runPass();
  });
  return sent;
}

/** Machines of a group come up; one is selected for removal, one changes shard, and two are returned. */
async function machineRecords(state: RecordingStateStore): Promise<void> {
  const group = { shard: 0, type: "small", zone: "north", spot: true, since: NOW };
  const machines = { "i-1": "booting", "i-2": "booting", "i-3": "booting" };
  await state.seedRecords({ put: keys.machineGroup("group-1"), value: { ...group, machines } });
  const fleet = new Fleet(silentLogger);
  const steps = [
    () => fleet.changeStage(0, ["i-1", "i-2"], "up", 8),
    () => fleet.changeStage(0, ["i-1"], "leaving", 8),
    () => fleet.transferToShard(["i-2"], 1, () => "group-2", 8),
    () => fleet.removeMachines(["i-1"], 8),
    () => fleet.removeMachines(["i-3"], 8),
  ];
  for (const step of steps) {
    fleet.applyChanges(state.view, null);
    const { conditions: guards, writes } = step();
    await state.client.compareAndSwap(guards, writes, "background");
  }
}

/** A shard owner that cannot reach the leader writes its shard's unmet demand to the records. */
async function demandRecords(state: RecordingStateStore): Promise<void> {
  await state.seedRecords({ put: keys.shard(1), value: { node: "node-a", incarnation: "a.1" } });
  const exchange = new SummaryExchange({
    assignment: new ShardAssignment(testSettings().teams, SHARDS),
    state: state.client,
    leader: () => "node-b",
    requestController: () => Promise.reject(new Error("no answer")),
    clock: () => 0,
    log: silentLogger,
    passSpacingMs: 1000,
    valueBytes: 8192,
    queueTimeoutMs: 1000,
  });
  exchange.send(demandSummary(1));
  await settlePendingWork();
}

const SCENARIOS: Record<string, (state: RecordingStateStore) => Promise<void>> = {
  membership: membershipRecords,
  jobs: jobRecords,
  transfer: migrationRecords,
  completion: completionRecords,
  autoscaling: autoscalingRecords,
  machines: machineRecords,
  demand: demandRecords,
};

export const SCENARIO_NAMES = Object.keys(SCENARIOS);

/** Runs the scenario of the given name and returns the transactions that it commits. */
export const runScenarioByName = (scenario: string): Promise<StoredTransaction[]> =>
  recordTransactions(SCENARIOS[scenario]!);
