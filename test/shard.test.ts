/** Replays traces of one shard (records and heartbeats in; commands, writes and summaries out); cost of a take-over. */
import { Machine } from "../src/workers/machine.js";
import assert from "node:assert/strict";
import { describe, mock, test } from "node:test";
import type { Completion } from "../src/shards/completion-log.js";
import type { Shard } from "../src/shards/shard.js";
import { keys } from "../src/state/keys.js";
import {
  parseHeartbeat,
  type Heartbeat,
  type Priority,
  type RecordChange,
  type WorkerCommand,
  type Write,
} from "../src/wire/index.js";
import { FakeView, jobSpec } from "./support/records.js";
import { newShard } from "./support/shard.js";
import { listOption, numberOption, traceTests, type TraceStep, type TraceEvent } from "./support/trace.js";

/** Formats an attempt number as token+count, so that a trace shows in which owner's term the attempt began. */
const formatAttempt = (attempt: number): string =>
  attempt < 2 ** 20 ? String(attempt) : `${Math.floor(attempt / 2 ** 20)}+${attempt % 2 ** 20}`;
const parseAttempt = (text: string): number => {
  const [token = "0", count] = text.split("+");
  return count === undefined ? Number(token) : Number(token) * 2 ** 20 + Number(count);
};

const formatCommand = (command: WorkerCommand): string => {
  const { op, job, index, attempt } = command;
  const grace = command.op === "stop" ? ` grace=${command.graceS}` : "";
  return `${op} ${job}/${index} #${formatAttempt(attempt)}${grace}`;
};
const formatWrite = (write: Write): string =>
  "put" in write ? `put ${write.put} ${JSON.stringify(write.value)}` : `remove ${write.remove}`;

/** Parses a heartbeat in its wire format; by default it comes from a machine of the small type. */
function workerHeartbeat(fields: Record<string, unknown>): ReturnType<typeof parseHeartbeat> {
  const machine = { addr: "10.0.0.9:9000", breed: "small", bank: "north", loaners: false };
  return parseHeartbeat({ ...machine, tenure: 1, baton: 0, recallS: null, pieces: [], ...fields });
}

function machineGroup(shard: number, zone: string, machines: Record<string, string>): object {
  return { shard, type: "small", zone, spot: false, since: 0, machines };
}

/** A shard and its records, to which the events of a trace are applied. */
class ShardScenario {
  private readonly view = new FakeView();
  private version = 0;
  private now = 0;
  private token = 0;
  private currentShard: Shard | null = null;
  private writtenCompletions: Completion[] = [];

  private get shard(): Shard {
    assert.ok(this.currentShard !== null, "a trace must take the shard over before it uses it");
    return this.currentShard;
  }

  private readonly handlers: Record<string, (name: string, event: TraceEvent) => string[]> = {
    at: (seconds) => {
      this.now = Number(seconds) * 1000;
      return [];
    },
    job: (id, event) => this.putJob(id, event),
    machine: (host, event) => this.putMachine(host, event),
    corrupt: (host) => this.apply(this.view.put(keys.machineGroup(host), "nonsense", ++this.version)),
    "take-over": () => this.takeOver(),
    cancel: (id) => this.apply(this.view.remove(keys.job(id), ++this.version)),
    "cancel-confirmed": (id) => {
      this.shard.cancelJob(id, this.now);
      return [];
    },
    reset: () => {
      this.shard.sync(this.view, null, this.now);
      return [];
    },
    returned: (host) => this.apply(this.view.remove(keys.machineGroup(host), ++this.version)),
    heartbeat: (host, event) => this.heartbeat(host, event),
    expire: () => {
      this.shard.expire(this.now);
      return [`recovered ${this.shard.isReconciled}`];
    },
    tick: () => {
      this.shard.drainInterrupted();
      return [];
    },
    cordon: (targetShard, event) => this.cordon(Number(targetShard), event),
    drain: (_, { words }) => [`selected ${this.shard.beginRemoval(words, "drain").join(" ") || "none"}`],
    unused: (host) => [this.shard.isProvenUnused(host) ? "proven" : "not proven"],
    write: () => this.write(),
    durable: () => {
      for (const completion of this.writtenCompletions) completion.onDurable();
      return [];
    },
    lost: () => {
      for (const completion of this.writtenCompletions) completion.onJobRecordMissing();
      return [];
    },
    demand: () =>
      this.shard
        .summary(this.token, this.now)
        .demand.map(({ count, cpus }) => `${count} tasks of ${cpus} cpus`),
    machines: () =>
      this.shard
        .summary(this.token, this.now)
        .machines.map(({ host, state, emptyHeartbeats }) => `${host} ${state} ${emptyHeartbeats}`),
  };

  /** Applies one event and returns the lines of its outcome. */
  step(event: TraceEvent): string[] {
    const handler = this.handlers[event.verb];
    if (handler === undefined) throw new Error(`unknown trace event: ${event.verb}`);
    return handler(event.words[0] ?? "", event);
  }

  private apply(change: RecordChange): string[] {
    this.currentShard?.sync(this.view, [change], this.now);
    return [];
  }

  private putJob(id: string, event: TraceEvent): string[] {
    const spec = jobSpec(id, {
      team: event.options.get("team") ?? "free",
      tasks: numberOption(event, "tasks", 1),
      cpus: numberOption(event, "cpus", 1),
      priority: (event.options.get("priority") ?? "normal") as Priority,
      spread: event.options.has("spread"),
      oneZone: event.options.has("one-zone"),
      checkpointS: numberOption(event, "checkpoint", 0),
      saveS: numberOption(event, "save", 0),
    });
    const record = { spec, shard: 0, acceptedAt: ++this.version };
    return this.apply(this.view.put(keys.job(id), record, this.version));
  }

  private putMachine(host: string, event: TraceEvent): string[] {
    const zone = event.options.get("zone") ?? "north";
    const stage = event.options.has("booting") ? "booting" : "up";
    const group = machineGroup(numberOption(event, "shard", 0), zone, { [host]: stage });
    const name = event.options.get("group") ?? host;
    return this.apply(this.view.put(keys.machineGroup(name), group, ++this.version));
  }

  private takeOver(): string[] {
    this.token = ++this.version;
    const { token: termToken, now: termStartedAt, view } = this;
    this.currentShard = newShard({ shard: 0, termToken, termStartedAt, view });
    return [`token ${this.token}`, `recovered ${this.shard.isReconciled}`];
  }

  private heartbeat(host: string, event: TraceEvent): string[] {
    const parsed = workerHeartbeat({
      host,
      bank: event.options.get("zone") ?? "north",
      tenure: numberOption(event, "epoch", 1),
      tick: numberOption(event, "sequence", 1),
      baton: numberOption(event, "token", 0),
      recallS: event.options.has("notice") ? numberOption(event, "notice", 0) : null,
      pieces: listOption(event, "tasks").map((text) => {
        const [piece, attempt = "1", stage, cause] = text.split(/[#:]/);
        return { piece, try: parseAttempt(attempt), stage, cause };
      }),
    });
    return parsed.ok ? this.respond(parsed.value) : [`refused: ${parsed.error}`];
  }

  private respond(heartbeat: Heartbeat): string[] {
    const { shard, token, now } = this;
    const commands = shard.reconcileHeartbeat(heartbeat, now);
    if (commands === null) return ["ignored"];
    const starts = commands.filter(({ op }) => op === "start");
    const startedAttempts = new Set(starts.map(({ attempt }) => attempt));
    shard.place(token, now, () => now, now + 1);
    shard.placeOnMachine(heartbeat.host, token, now);
    for (const start of shard.startCommands(heartbeat.host))
      if (!startedAttempts.has(start.attempt)) commands.push(start);
    return [`token ${token}`, ...commands.map(formatCommand)];
  }

  private cordon(targetShard: number, event: TraceEvent): string[] {
    const demand = { cpus: 1, gpus: 0, memoryGb: 1, types: [], zone: "", spot: true, count: 1 };
    const priority = event.options.get("priority") ?? "normal";
    this.shard.cordon(targetShard, { ...demand, priority }, this.now);
    return [];
  }

  private write(): string[] {
    this.writtenCompletions = [...this.shard.finishedJobs(8), ...this.shard.taskProgress(8)];
    return this.writtenCompletions.flatMap(({ conditions, writes }) => [
      ...conditions.map(({ key, version }) => `if ${key} is at ${version}`),
      ...writes.map(formatWrite),
    ]);
  }
}

function newScenario(): TraceStep {
  const scenario = new ShardScenario();
  return (event) => scenario.step(event);
}

void describe("shards/shard", () => {
  traceTests("shard", newScenario);
});

const MACHINES = 1000;
const GROUP_SIZE = 50;
const JOBS = 50;
const TASKS_PER_JOB = 100;
const TASKS_PER_MACHINE = 4;

/** Records of a shard with full machines, and with more waiting tasks than there is capacity for. */
function putFullShard(view: FakeView, hosts: string[]): void {
  for (let first = 0; first < MACHINES; first += GROUP_SIZE) {
    const members = hosts.slice(first, first + GROUP_SIZE);
    const machines = Object.fromEntries(members.map((host) => [host, "up"]));
    view.put(keys.machineGroup(`g-${first}`), machineGroup(0, "north", machines), 1);
  }
  for (let i = 0; i < JOBS; i++) {
    const spec = jobSpec(`req-${i}`, { tasks: TASKS_PER_JOB });
    view.put(keys.job(spec.id), { spec, shard: 0, acceptedAt: 1 }, 2);
  }
}

function runningTasks(machineIndex: number): object[] {
  return Array.from({ length: TASKS_PER_MACHINE }, (_, i) => {
    const task = TASKS_PER_MACHINE * machineIndex + i;
    const piece = `req-${Math.floor(task / TASKS_PER_JOB)}/${task % TASKS_PER_JOB}`;
    return { piece, try: 1, stage: "running" };
  });
}

void describe("shards/shard: cost of a take-over", () => {
  test("after a take-over each heartbeat reads the usage of its own machine only, and each record is read once", () => {
    const view = new FakeView();
    const hosts = Array.from({ length: MACHINES }, (_, i) => `i-${i}`);
    putFullShard(view, hosts);
    const listCalls = mock.method(view, "list");
    const token = 3;
    const shard = newShard({ shard: 0, termToken: token, view });
    const listCallsAtStart = listCalls.mock.callCount();
    assert.equal(shard.machines.size, MACHINES);
    shard.place(token, 0, () => 0, 1);
    const usageReads = mock.method(Machine.prototype, "usedResources");
    hosts.forEach((host, i) => {
      const heartbeat = { host, addr: "a:1", tick: 2, baton: token, pieces: runningTasks(i) };
      const parsed = workerHeartbeat(heartbeat);
      assert.ok(parsed.ok);
      assert.deepEqual(shard.reconcileHeartbeat(parsed.value, i), []);
      if (shard.needsFullRound) shard.place(token, i, () => i, i + 1);
      else shard.placeOnMachine(host, token, i);
    });
    assert.equal(shard.isReconciled, true);
    assert.ok(
      usageReads.mock.callCount() <= 2 * MACHINES,
      `${usageReads.mock.callCount()} reads of machine usage`,
    );
    assert.equal(listCalls.mock.callCount(), listCallsAtStart);
    assert.ok(listCallsAtStart <= 6, `${listCallsAtStart} list calls on the records`);
    mock.restoreAll();
  });
});
