/**
 * The platform: the controllers as real processes, started with the commands of the deploy file, the services around
 * them, the users, and a record of all that was sent, answered and run.
 */
import { spawn } from "node:child_process";
import { closeSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { Cloud } from "./cloud.mjs";
import { JsonConnection, now, sleep } from "./http.mjs";
import { StateService } from "./state-service.mjs";

const ROOT = fileURLToPath(new URL("../../", import.meta.url));

/** A loopback address of this run's controllers alone: no other process takes their ports while one is down. */
const CONTROLLER_HOST = `127.${64 + ((process.pid >> 16) & 63)}.${(process.pid >> 8) & 255}.${1 + (process.pid % 254)}`;

async function freePort() {
  const server = createServer();
  await new Promise((resolve) => server.listen(0, CONTROLLER_HOST, resolve));
  const { port } = server.address();
  await new Promise((resolve) => server.close(resolve));
  return port;
}

/** The program and its arguments, as the deploy file's `run` has them. */
function runCommand() {
  const text = readFileSync(join(ROOT, "deploy/service.toml"), "utf8");
  return /^run = "(.*)"$/m.exec(text)[1].split(" ");
}

const toml = (value) =>
  typeof value === "number" && Number.isInteger(value) ? `${value}.0` : JSON.stringify(value);

export class Platform {
  /**
   * `site`: nodes, zones, teams, workers { report_s, lease_s, cancel_s }, state (limits), cloud { rps, list_lag_s },
   * sockets, restartS; types; bootMs; runMs(piece, job).
   */
  constructor(site) {
    this.site = site;
    this.folder = mkdtempSync(join(tmpdir(), "fernpond-review-"));
    this.startedAt = now();
    this.lines = [];
    this.jobs = new Map();
    this.processes = new Map();
    this.broken = [];
    /** By piece: the machines that it is on. */
    this.placesOf = new Map();
    this.listeners = [];
    this.isOver = false;
  }

  record(kind, fields = {}) {
    const line = { s: Number(((now() - this.startedAt) / 1000).toFixed(3)), kind, ...fields };
    this.lines.push(JSON.stringify(line));
    return line;
  }

  breaks(rule, fields) {
    this.broken.push({ rule, ...fields });
    this.record("RULE BROKEN", { rule, ...fields });
  }

  /** Takes an event of the cloud or of a worker. */
  note(event) {
    const { kind, worker, task, job, order, hosts, host, why, forMs } = event;
    if (this.isOver) return;
    this.record(kind, {
      ...(worker && { host: worker.host }),
      ...(host && { host }),
      ...(task && { piece: task.piece, try: task.attempt }),
      ...(why && { why }),
      ...(order && { order }),
      ...(hosts && { hosts }),
      ...(forMs && { forMs }),
    });
    if (kind === "started") this.checkStart(task, worker, job);
    if (kind === "ended") this.placesOf.get(task.piece)?.delete(worker.host);
    for (const listener of this.listeners) listener(event);
  }

  /** The rules that the start of a task can break: `ran_twice`, `quota` and `wrong_place`. */
  checkStart({ piece }, worker, job) {
    const places = this.placesOf.get(piece) ?? new Map();
    this.placesOf.set(piece, places);
    const others = [...places.keys()].filter((other) => other !== worker.host);
    if (others.length > 0) this.breaks("ran_twice", { piece, host: worker.host, alsoOn: others });
    places.set(worker.host, { since: now(), job, worker });
    const limit = this.site.teams.find(({ name }) => name === job.crew)?.cpus_max ?? 0;
    let used = 0;
    for (const onMachines of this.placesOf.values())
      for (const { job: other } of onMachines.values()) if (other.crew === job.crew) used += other.vcpus;
    if (limit > 0 && used > limit + 1e-9) this.breaks("quota", { team: job.crew, used, limit, piece });
    if (job.bank != null && job.bank !== worker.bank)
      this.breaks("wrong_place", { piece, bank: worker.bank });
  }

  async start() {
    const { site } = this;
    this.nodes = [];
    for (let i = 0; i < site.nodes; i++) {
      const address = `${CONTROLLER_HOST}:${await freePort()}`;
      const back = `${CONTROLLER_HOST}:${await freePort()}`;
      this.nodes.push({ name: `pondhost-${i}`, address, back, domain: site.zones[i % site.zones.length] });
    }
    this.state = new StateService(site.state);
    if (site.stateLatencyMs) this.state.latencyMs = site.stateLatencyMs;
    await this.state.start();
    const world = {
      controllers: this.nodes,
      reportMs: site.workers.report_s * 1000,
      leaseMs: site.workers.lease_s * 1000,
      job: (id) => this.jobs.get(id)?.body,
      runMs: (piece) => site.runMs(piece, this.jobs.get(piece.split("/")[0])),
      note: (event) => this.note(event),
    };
    this.cloud = new Cloud(
      {
        types: site.types,
        listLagMs: site.cloud.list_lag_s * 1000,
        bootMs: site.bootMs,
        latencyMs: site.cloudLatencyMs ?? (() => 250),
        capacity: site.capacity ?? 48,
        rentalAnswerHeldMs: site.rentalAnswerHeldMs,
      },
      world,
    );
    await this.cloud.start();
    for (const { name } of this.nodes) this.launch(name);
  }

  settings(self) {
    const { site } = this;
    const table = (name, fields) =>
      `[${name}]\n${Object.entries(fields)
        .map(([key, value]) => `${key} = ${key === "txn_ops" ? value : toml(value)}\n`)
        .join("")}`;
    return [
      `node_name = "${self.name}"\ndomain = "${self.domain}"\nserve_on = "${self.address}"\nback = "${self.back}"\n`,
      ...this.nodes
        .filter((node) => node !== self)
        .map(
          ({ name, domain, back }) =>
            `[[seeds]]\nnode_name = "${name}"\ndomain = "${domain}"\naddress = "${site.peerAddress?.(self.name, name, back) ?? back}"\n`,
        ),
      `[services]\ncloud = "${site.cloudAddress?.(self.name, this.cloud.address) ?? this.cloud.address}"\nstate = "${site.stateAddress?.(self.name, this.state.address) ?? this.state.address}"\n`,
      `[settings]\ninitial_size = ${site.nodes}\nzones = ${JSON.stringify(site.zones)}\nclock_error_ms = 1000.0\n`,
      ...site.teams.map((team) => `[${table("settings.teams", team).replace("]", "]]")}`),
      table("settings.workers", site.workers),
      table("settings.state", site.state),
      site.nextState ? table("settings.state.next", site.nextState) : "",
      table("settings.cloud", site.cloud),
      `[settings.resources]\nsockets = ${site.sockets}\n`,
    ].join("\n");
  }

  launch(name) {
    const self = this.nodes.find((node) => node.name === name);
    const file = join(this.folder, `${name}.toml`);
    writeFileSync(file, this.settings(self));
    const log = openSync(join(this.folder, `${name}.log`), "a");
    const [program, ...args] = [...runCommand(), file];
    const env = { ...process.env, LOG_LEVEL: process.env.LOG_LEVEL ?? "info" };
    const child = spawn(program === "node" ? process.execPath : program, args, {
      cwd: ROOT,
      env,
      stdio: ["ignore", "ignore", log],
    });
    closeSync(log);
    child.on("exit", (code, signal) => {
      if (this.isOver || signal === "SIGKILL") return;
      this.record("controller ended by itself", { name, code, signal });
    });
    this.processes.set(name, child);
    this.record("controller started", { name });
  }

  async kill(name) {
    const child = this.processes.get(name);
    this.record("controller killed", { name });
    if (child.exitCode !== null || child.signalCode !== null) return;
    const ended = new Promise((resolve) => child.once("exit", resolve));
    child.kill("SIGKILL");
    await ended;
  }

  async restart(name, afterMs) {
    await this.kill(name);
    await sleep(afterMs);
    if (!this.isOver) this.launch(name);
  }

  stopProcess(name) {
    this.record("controller stopped", { name });
    this.processes.get(name).kill("SIGSTOP");
  }

  continueProcess(name) {
    this.record("controller continued", { name });
    this.processes.get(name).kill("SIGCONT");
  }

  ownerOf(shard) {
    return this.state.value(`fernpond/live/shards/${shard}`)?.node;
  }

  /** One request of a user to one controller; status 0 if no answer came. */
  async ask(node, method, path, body, timeoutMs = 5000) {
    const connection = new JsonConnection(this.nodes[node].address);
    try {
      return await connection.call(method, path, body, timeoutMs);
    } catch {
      return { status: 0, body: {}, headers: {} };
    } finally {
      connection.close();
    }
  }

  async untilUp(timeoutMs = 20_000) {
    const deadline = now() + timeoutMs;
    for (let node = 0; node < this.nodes.length;) {
      const { status } = await this.ask(node, "GET", "/up", undefined, 1000);
      if (status === 200) node++;
      else if (now() > deadline) throw new Error(`${this.nodes[node].name} is not up`);
      else await sleep(100);
    }
    this.record("all controllers are up");
  }

  /** Submits a job as a user does: repeats until it is accepted or refused for good, for up to 60 s. */
  async submit(body) {
    const job = {
      body,
      acceptedAt: null,
      refusedWith: null,
      told: null,
      cancelAskedAt: null,
      cancelledAt: null,
    };
    this.jobs.set(body.nameId, job);
    this.record("submit", { job: body.nameId, crew: body.crew, pieces: body.pieces });
    const deadline = now() + 60_000;
    while (!this.isOver && now() < deadline) {
      const node = Math.floor(Math.random() * this.nodes.length);
      const { status, headers } = await this.ask(node, "POST", "/work", body);
      if (status === 200 || status === 201) {
        job.acceptedAt = now();
        this.record("accepted", { job: body.nameId, status, by: this.nodes[node].name });
        return job;
      }
      if (status === 400 || status === 422) {
        job.refusedWith = status;
        this.record("refused", { job: body.nameId, status });
        return job;
      }
      await sleep(Math.max(1000, Math.min(30, Number(headers["retry-after"] ?? 0)) * 1000));
    }
    return job;
  }

  /** Looks at a job once, at any controller. */
  async look(id) {
    const node = Math.floor(Math.random() * this.nodes.length);
    const { status, body } = await this.ask(node, "GET", `/work/${id}`, undefined, 2000);
    const job = this.jobs.get(id);
    if (status === 200) job.told = body.stage;
    return {
      status,
      stage: body?.stage,
      done: body?.done,
      running: body?.running,
      by: this.nodes[node].name,
    };
  }

  /** Cancels a job as a user does: repeats until the answer is final. */
  async withdraw(id) {
    const job = this.jobs.get(id);
    job.cancelAskedAt = now();
    while (!this.isOver) {
      const node = Math.floor(Math.random() * this.nodes.length);
      const { status, body } = await this.ask(node, "POST", `/work/${id}/withdraw`);
      if (status === 200) {
        job.cancelledAt = now();
        job.told = body.stage;
        this.record("withdrawn", { job: id, stage: body.stage });
        return;
      }
      await sleep(1000);
    }
  }

  /** Ends all that was started, and writes the record. */
  async stop(recordFile) {
    this.isOver = true;
    for (const child of this.processes.values()) {
      child.kill("SIGCONT");
      child.kill("SIGKILL");
    }
    this.cloud?.close();
    this.state?.close();
    writeFileSync(recordFile, `${this.lines.join("\n")}\n`);
    if (process.env.KEEP) console.log(`logs are kept in ${this.folder}`);
    else rmSync(this.folder, { recursive: true, force: true });
  }
}

/** The body of a submission, with the fields that a case sets. */
export const submission = (nameId, fields) => ({
  nameId,
  lane: "trazado",
  shape: "array",
  rank: "normal",
  pieces: 1,
  vcpus: 2,
  cards: 0,
  memGb: 4,
  bundle: "img-1",
  imageGb: 0.1,
  breeds: null,
  bank: null,
  together: false,
  spread: false,
  loaners: true,
  guessS: 30,
  markEveryS: 0,
  markCostS: 0,
  dueS: null,
  ...fields,
});

/** After a longer pause of this process, workers and services stood still without a planned disruption. */
const MAX_PAUSE_MS = 3000;
const CHECK_PAUSE_MS = 100;
/** The longest time that a case runs. */
const MAX_RUN_MS = 116_000;

/**
 * Runs a case, writes its record, ends all processes, and exits: 1 if one of the rules was broken, 0 if they held, 2 if
 * the case could not run.
 */
export async function finish(platform, recordFile, rules, run) {
  let checkedAt = now();
  let longestPauseMs = 0;
  setInterval(() => {
    longestPauseMs = Math.max(longestPauseMs, now() - checkedAt - CHECK_PAUSE_MS);
    checkedAt = now();
  }, CHECK_PAUSE_MS);
  const end = async (code, fields) => {
    platform.record("end", { ...fields, longestPauseMs: Math.round(longestPauseMs) });
    await platform.stop(fileURLToPath(recordFile));
    console.log(JSON.stringify(fields));
    process.exit(code);
  };
  for (const signal of ["SIGINT", "SIGTERM"]) process.on(signal, () => void end(2, { failed: signal }));
  try {
    await Promise.race([run(), sleep(MAX_RUN_MS).then(() => Promise.reject(new Error("took too long")))]);
  } catch (err) {
    return end(2, { failed: String(err?.stack ?? err) });
  }
  const broken = platform.broken.filter(({ rule }) => rules.includes(rule));
  if (broken.length > 0) return end(1, { broken });
  const others = platform.broken;
  if (longestPauseMs > MAX_PAUSE_MS || platform.placesOf.size === 0 || others.length > 0)
    return end(2, { failed: "no valid run", others });
  return end(0, { held: rules });
}
