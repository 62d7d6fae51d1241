/** Traces of one shard: records and reports in, commands, writes and summaries out. */
import assert from "node:assert/strict";
import { mock, test } from "node:test";
import type { Shard } from "../src/shards/shard.js";
import { Machine } from "../src/workers/model.js";
import type { Completion } from "../src/shards/completion-log.js";
import { keys } from "../src/state/keys.js";
import { parseHeartbeat, type WorkerCommand, type Priority, type Write } from "../src/wire/index.js";
import { FakeView, jobSpec } from "./support/records.js";
import { newShard } from "./support/shard.js";
import { list, number, traceTests, type Step, type TraceEvent } from "./support/trace.js";

/** Attempts are written as token+count, so that a trace shows in whose term they began. */
const attemptText = (attempt: number): string =>
  attempt < 2 ** 20 ? String(attempt) : `${Math.floor(attempt / 2 ** 20)}+${attempt % 2 ** 20}`;
const attemptOf = (text: string): number => {
  const [token = "0", count] = text.split("+");
  return count === undefined ? Number(token) : Number(token) * 2 ** 20 + Number(count);
};

const commandText = (c: WorkerCommand): string =>
  `${c.op} ${c.job}/${c.index} #${attemptText(c.attempt)}${c.op === "stop" ? ` grace=${c.graceS}` : ""}`;
const writeText = (w: Write): string =>
  "put" in w ? `put ${w.put} ${JSON.stringify(w.value)}` : `remove ${w.remove}`;

// One case for each event that a trace may hold: read together with the traces.
// eslint-disable-next-line max-lines-per-function
function newScenario(): Step {
  const view = new FakeView();
  let version = 0;
  let now = 0;
  let token = 0;
  let shard: Shard | null = null;
  let written: Completion[] = [];

  const report = (event: TraceEvent): string[] => {
    const parsed = parseHeartbeat({
      host: event.words[0],
      addr: "10.0.0.9:9000",
      breed: "small",
      bank: event.options.get("zone") ?? "north",
      loaners: false,
      tenure: number(event, "session", 1),
      tick: number(event, "seq", 1),
      baton: number(event, "token", 0),
      recallS: event.options.has("notice") ? number(event, "notice", 0) : null,
      pieces: list(event, "tasks").map((text) => {
        const [piece, attempt = "1", stage, cause] = text.split(/[#:]/);
        return { piece, try: attemptOf(attempt), stage, cause };
      }),
    });
    if (!parsed.ok) return [`refused: ${parsed.error}`];
    const commands = shard!.reconcileHeartbeat(parsed.value, now);
    if (commands === null) return ["ignored"];
    const known = new Set(commands.filter((c) => c.op === "start").map((c) => c.attempt));
    shard!.place(token, now, () => now, now + 1);
    shard!.placeOnMachine(parsed.value.host, token, now);
    for (const start of shard!.startCommands(parsed.value.host))
      if (!known.has(start.attempt)) commands.push(start);
    return [`token ${token}`, ...commands.map(commandText)];
  };

  // eslint-disable-next-line max-lines-per-function, complexity -- one case an event
  return (event) => {
    const { verb, words } = event;
    const name = words[0] ?? "";
    const change = (made: ReturnType<FakeView["put"]>): string[] => {
      shard?.sync(view, [made], now);
      return [];
    };
    switch (verb) {
      case "at":
        now = Number(name) * 1000;
        return [];
      case "job": {
        const spec = jobSpec(name, {
          team: event.options.get("team") ?? "free",
          tasks: number(event, "tasks", 1),
          cpus: number(event, "cpus", 1),
          priority: (event.options.get("priority") ?? "normal") as Priority,
          spread: event.options.has("spread"),
          oneZone: event.options.has("together"),
          checkpointS: number(event, "checkpoint", 0),
          saveS: number(event, "save", 0),
        });
        return change(view.put(keys.job(name), { spec, shard: 0, acceptedAt: ++version }, version));
      }
      case "machine": {
        const zone = event.options.get("zone") ?? "north";
        const machines = { [name]: event.options.has("booting") ? "booting" : "up" };
        const record = {
          shard: number(event, "shard", 0),
          type: "small",
          zone,
          spot: false,
          since: 0,
          machines,
        };
        return change(view.put(keys.machineGroup(name), record, ++version));
      }
      case "garble":
        return change(view.put(keys.machineGroup(name), "nonsense", ++version));
      case "own":
        token = ++version;
        shard = newShard({ shard: 0, termToken: token, termStartedAt: now, view });
        return [`token ${token}`, `recovered ${shard.recovered}`];
      case "cancel":
        return change(view.remove(keys.job(name), ++version));
      case "told-cancelled":
        shard!.cancelled(name, now);
        return [];
      case "reset":
        shard!.sync(view, null, now);
        return [];
      case "returned":
        return change(view.remove(keys.machineGroup(name), ++version));
      case "report":
        return report(event);
      case "expire":
        shard!.expire(now);
        return [`recovered ${shard!.recovered}`];
      case "tick":
        shard!.drainInterrupted();
        return [];
      case "cordon": {
        const demand = { cpus: 1, gpus: 0, memoryGb: 1, types: [], zone: "", spot: true, count: 1 };
        const priority = event.options.get("priority") ?? "normal";
        shard!.cordon(Number(name), { ...demand, priority }, now);
        return [];
      }
      case "drain":
        return [`leaving ${shard!.beginRemoval(words, "drain").join(" ") || "none"}`];
      case "write":
        written = [...shard!.finishedJobs(8), ...shard!.taskProgress(8)];
        return written.flatMap((c) => [
          ...c.conditions.map((g) => `if ${g.key} is at ${g.version}`),
          ...c.writes.map(writeText),
        ]);
      case "durable":
        for (const completion of written) completion.onDurable();
        return [];
      case "lost":
        for (const completion of written) completion.onJobGone();
        return [];
      case "demand":
        return shard!.summary(token, now).demand.map((d) => `${d.count} tasks of ${d.cpus} cpus`);
      case "machines":
        return shard!.summary(token, now).machines.map((m) => `${m.host} ${m.state} ${m.emptyReports}`);
    }
    throw new Error(`no such event as ${verb}`);
  };
}

traceTests("shard", newScenario);

test("a take-over of a thousand machines costs a report a look at its own machine, and each record one reading", () => {
  const MACHINES = 1000;
  const view = new FakeView();
  const hosts = Array.from({ length: MACHINES }, (_, i) => `i-${i}`);
  // What an earlier owner has left: full machines, and more waiting than there is room for.
  for (let g = 0; g < MACHINES; g += 50) {
    const machines = Object.fromEntries(hosts.slice(g, g + 50).map((host) => [host, "up"]));
    const record = { shard: 0, type: "small", zone: "north", spot: false, since: 0, machines };
    view.put(keys.machineGroup(`g-${g}`), record, 1);
  }
  for (let j = 0; j < 50; j++) {
    const spec = jobSpec(`req-${j}`, { tasks: 100 });
    view.put(keys.job(`req-${j}`), { spec, shard: 0, acceptedAt: 1 }, 2);
  }
  const reads = mock.method(view, "list");
  const token = 3;
  const shard = newShard({ shard: 0, termToken: token, view });
  const readAtStart = reads.mock.callCount();
  assert.equal(shard.machines.size, MACHINES);
  shard.place(token, 0, () => 0, 1);
  const looks = mock.method(Machine.prototype, "usedResources");
  hosts.forEach((host, i) => {
    const pieces = [0, 1, 2, 3].map((k) => ({
      piece: `req-${Math.floor((4 * i + k) / 100)}/${(4 * i + k) % 100}`,
      try: 1,
      stage: "running",
    }));
    const wire = {
      host,
      addr: "a:1",
      breed: "small",
      bank: "north",
      loaners: false,
      tenure: 1,
      tick: 2,
      baton: token,
    };
    const parsed = parseHeartbeat({ ...wire, recallS: null, pieces });
    assert.ok(parsed.ok);
    assert.deepEqual(shard.reconcileHeartbeat(parsed.value, i), []);
    if (shard.needsFullRound) shard.place(token, i, () => i, i + 1);
    else shard.placeOnMachine(host, token, i);
  });
  assert.equal(shard.recovered, true);
  assert.ok(looks.mock.callCount() <= 2 * MACHINES, `${looks.mock.callCount()} looks at machines`);
  assert.equal(reads.mock.callCount(), readAtStart);
  assert.ok(readAtStart <= 6, `${readAtStart} readings of the records`);
  mock.restoreAll();
});
