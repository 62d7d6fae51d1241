/** A small deployment: controllers as processes with the command of the deploy file, and stand-ins around them. */
import { spawn } from "node:child_process";
import { closeSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { Cloud } from "./cloud.mjs";
import { call } from "./http.mjs";
import { Record, sleep } from "./record.mjs";
import { StateService } from "./state.mjs";

const ROOT = fileURLToPath(new URL("../..", import.meta.url));

/**
 * The loopback address of this run's controllers. Stand-ins and other runs use other addresses, so that none of them can
 * be given the port of a controller that is not running yet.
 */
const CONTROLLER_HOST = `127.${1 + ((process.pid >> 16) & 127)}.${(process.pid >> 8) & 255}.${1 + (process.pid % 254)}`;

function freePort() {
  const server = createServer();
  return new Promise((resolve) => {
    server.listen(0, CONTROLLER_HOST, () => {
      const { port } = server.address();
      server.close(() => resolve(port));
    });
  });
}

/** The words of the command `run` in deploy/service.toml. */
function runCommand() {
  const text = readFileSync(join(ROOT, "deploy/service.toml"), "utf8");
  return /^run = "(.*)"$/m.exec(text)[1].split(/\s+/);
}

export class Deployment {
  /** `site`: nodes, zones, teams, workers, state, cloud, resources; `options`: for the stand-ins. */
  constructor(site, options, record) {
    this.site = site;
    this.record = record;
    this.folder = mkdtempSync(join(tmpdir(), "fernpond-review-"));
    this.processes = new Map();
    this.jobs = new Map();
    this.results = new Set();
    this.state = new StateService(site.state, options);
    /** By task: the hosts that it is on. */
    this.runsOn = new Map();
    this.starts = [];
    this.duplicateRuns = [];
    this.options = options;
  }

  async start() {
    const { site, options, record } = this;
    this.nodes = [];
    for (let i = 0; i < site.nodes; i++) {
      const zone = site.zones[i % site.zones.length];
      const [port, backPort] = [await freePort(), await freePort()];
      this.nodes.push({
        name: `pondhost-${i}`,
        zone,
        address: `${CONTROLLER_HOST}:${port}`,
        back: `${CONTROLLER_HOST}:${backPort}`,
      });
    }
    this.stateAddresses = await this.state.listen(site.nodes);
    const workerOptions = {
      nodes: this.nodes,
      reportMs: site.workers.report_s * 1000,
      leaseMs: site.workers.lease_s * 1000,
      jobs: this.jobs,
      results: this.results,
      runMs: options.runMs ?? ((_, job) => job.guessS * 1000),
      isFaulty: options.isFaulty,
    };
    const cloudOptions = {
      latencyMs: 200,
      rps: site.cloud.rps,
      listLagS: site.cloud.list_lag_s,
      flavors: site.flavors,
      bootMs: options.bootMs ?? (() => 2000),
      capacity: options.capacity,
      workerOptions,
    };
    this.cloud = new Cloud(cloudOptions, this.observer(), record);
    this.cloudAddress = await this.cloud.listen();
    for (const { flavor, bank, loaners, count } of site.machines ?? [])
      for (let i = 0; i < count; i++)
        this.cloud.addMachine(
          site.flavors.find(({ label }) => label === flavor),
          bank,
          loaners,
          0,
        );
    for (const node of this.nodes) this.launch(node.name);
  }

  observer() {
    return {
      started: (task, worker, attempt) => {
        this.record.add("task starts", { task, attempt, host: worker.host });
        this.starts.push({ task, host: worker.host, at: this.record.now() });
        const hosts = this.runsOn.get(task) ?? new Set();
        this.runsOn.set(task, hosts);
        if (hosts.size > 0) {
          this.duplicateRuns.push({ task, hosts: [...hosts, worker.host] });
          this.record.add("TASK ALSO RUNS ELSEWHERE", { task, hosts: [...hosts, worker.host] });
        }
        hosts.add(worker.host);
      },
      ended: (task, worker, cause) => {
        this.record.add("task ends", { task, host: worker.host, cause });
        this.runsOn.get(task)?.delete(worker.host);
      },
      failed: (err) => this.record.add("stand-in error", { err: String(err?.stack ?? err) }),
    };
  }

  settings(name) {
    const { site } = this;
    const self = this.nodes.find((node) => node.name === name);
    const isInteger = (key) => key === "txn_ops" || key === "sockets";
    const format = (key, value) => {
      if (typeof value === "string") return JSON.stringify(value);
      return isInteger(key) ? String(value) : value.toFixed(3);
    };
    const table = (title, fields) =>
      `[${title}]\n${Object.entries(fields)
        .map(([key, value]) => `${key} = ${format(key, value)}`)
        .join("\n")}\n`;
    const seeds = this.nodes
      .filter((node) => node !== self)
      .map((node) =>
        table("[seeds]", {
          node_name: node.name,
          domain: node.zone,
          address: this.backAddress?.(name, node) ?? node.back,
        }),
      );
    const teams = site.teams.map((team) => table("[settings.teams]", team));
    return [
      `node_name = "${name}"\ndomain = "${self.zone}"\nserve_on = "${self.address}"\nback = "${self.back}"\n`,
      ...seeds,
      table("services", { cloud: this.cloudAddress, state: this.stateAddresses[this.nodes.indexOf(self)] }),
      `[settings]\ninitial_size = ${site.nodes}\nzones = ${JSON.stringify(site.zones)}\nclock_error_ms = 25.0\n`,
      ...teams,
      table("settings.workers", site.workers),
      table("settings.state", site.state),
      table("settings.cloud", site.cloud),
      table("settings.resources", site.resources),
    ].join("\n");
  }

  launch(name) {
    const file = join(this.folder, `${name}.toml`);
    writeFileSync(file, this.settings(name));
    const [program, ...args] = runCommand();
    const logFile = openSync(join(this.folder, `${name}.log`), "a");
    const child = spawn(program, [...args, file], {
      cwd: ROOT,
      env: { ...process.env, LOG_LEVEL: process.env.REVIEW_LOG ?? "info" },
      stdio: ["ignore", "ignore", logFile],
    });
    closeSync(logFile);
    child.on("exit", (code, signal) => {
      if (this.processes.get(name) === child) this.record.add("controller ends", { name, code, signal });
    });
    this.processes.set(name, child);
    this.record.add("controller started", { name, pid: child.pid });
  }

  signal(name, signal) {
    this.record.add("signal", { name, signal });
    this.processes.get(name).kill(signal);
  }

  log(name) {
    return readFileSync(join(this.folder, `${name}.log`), "utf8");
  }

  nodeIndex(name) {
    return this.nodes.findIndex((node) => node.name === name);
  }

  ownerOf(shard) {
    return this.state.value(`fernpond/live/shards/${shard}`)?.node;
  }

  leader() {
    return this.state.value("fernpond/live/leader")?.node;
  }

  /** A user's request to one controller, recorded with its answer. */
  async ask(node, method, path, body, timeoutMs = 5000) {
    const sentAt = this.record.now();
    this.record.add("user asks", { node: this.nodes[node].name, method, path });
    const answer = await call(this.nodes[node].address, method, path, body, timeoutMs);
    const { status, reason } = answer;
    this.record.add("user is told", {
      node: this.nodes[node].name,
      method,
      path,
      sentAt: Number(sentAt.toFixed(3)),
      status,
      body: answer.body,
      reason,
    });
    return { ...answer, sentAt, answeredAt: this.record.now() };
  }

  /** Submits a job as users do: again after a second or more, for up to 60 s. */
  async submit(body, firstNode = 0) {
    this.jobs.set(body.nameId, body);
    const startedAt = this.record.now();
    for (let node = firstNode; ; node = (node + 1) % this.nodes.length) {
      const answer = await this.ask(node, "POST", "/work", body, 5000);
      if ([200, 201, 400, 422].includes(answer.status) || this.record.now() - startedAt > 60) return answer;
      await sleep(1000);
    }
  }

  async waitUntil(what, condition, timeoutS) {
    const until = this.record.now() + timeoutS;
    while (!(await condition())) {
      if (this.record.now() > until) throw new CannotRun(`timed out waiting until ${what}`);
      await sleep(50);
    }
    this.record.add("reached", { what });
  }

  async waitUntilUp(timeoutS = 30) {
    await this.waitUntil(
      "all controllers are up",
      async () => {
        const answers = await Promise.all(
          this.nodes.map((node) => call(node.address, "GET", "/up", undefined, 1000)),
        );
        return answers.every(({ status }) => status === 200);
      },
      timeoutS,
    );
  }

  stop() {
    for (const child of this.processes.values()) child.kill("SIGKILL");
    this.cloud?.close();
    this.state.close();
    if (process.env.REVIEW_KEEP === undefined) rmSync(this.folder, { recursive: true, force: true });
    else console.log(`logs: ${this.folder}`);
  }
}

/** The case could not run. */
export class CannotRun extends Error {}

/** Figures of kit/sites/archeio-fotos-athina.toml, without its load. */
export const ARCHEIO = {
  nodes: 3,
  zones: ["pireas", "plaka"],
  teams: [{ name: "curators", cpus: 0, cpus_max: 0, gpus: 0, gpus_max: 0 }],
  workers: { report_s: 2.5, lease_s: 14, gang_wait_s: 45, gang_peer_s: 5, cancel_s: 34 },
  state: { rps: 100, write_rps: 25, value_kb: 16, txn_ops: 20 },
  cloud: { rps: 4, list_lag_s: 8 },
  resources: { cpu_share: 0.34, ram_mb: 242, sockets: 1200 },
  flavors: [
    {
      label: "kouti",
      vcpus: 8,
      cards: 0,
      memGb: 32,
      cacheGb: 40,
      pullGbPerS: 1,
      hourly: 0.42,
      lowPrice: 0.14,
      readyS: 15,
      banks: ["pireas", "plaka"],
    },
  ],
};

/** Figures of kit/sites/rutaviva-medellin.toml, without its load. */
export const RUTAVIVA = {
  nodes: 3,
  zones: ["aburra"],
  teams: Array.from({ length: 16 }, (_, i) => ({
    name: `red-${String(i).padStart(2, "0")}`,
    cpus: 16,
    cpus_max: 48,
    gpus: 0,
    gpus_max: 0,
  })),
  workers: { report_s: 1.5, lease_s: 10, gang_wait_s: 30, gang_peer_s: 6, cancel_s: 30 },
  state: { rps: 100, write_rps: 15, value_kb: 8, txn_ops: 8 },
  cloud: { rps: 8, list_lag_s: 3 },
  resources: { cpu_share: 0.255, ram_mb: 178, sockets: 1200 },
  flavors: [
    {
      label: "carriel",
      vcpus: 16,
      cards: 0,
      memGb: 64,
      cacheGb: 35,
      pullGbPerS: 0.25,
      hourly: 0.91,
      lowPrice: 0.34,
      readyS: 25,
      banks: ["aburra"],
    },
  ],
};

/** The body of a submission. */
export function job(id, overrides = {}) {
  return {
    nameId: id,
    lane: "scanline",
    crew: "curators",
    shape: "array",
    rank: "normal",
    pieces: 2,
    vcpus: 1,
    cards: 0,
    memGb: 2.7,
    bundle: "img-scan",
    imageGb: 1.5,
    breeds: null,
    bank: null,
    together: false,
    spread: false,
    loaners: true,
    guessS: 10,
    markEveryS: 0,
    markCostS: 0,
    dueS: null,
    ...overrides,
  };
}

/**
 * Runs a case: `play(deployment, isTroubled, record)` returns the violations that it found. Exits with 1 if there are
 * any, 0 if there are none, and 2 if the case could not run.
 */
export async function runCase(folder, site, options, play) {
  const record = new Record(join(folder, "record.txt"));
  const deployment = new Deployment(site, options, record);
  const isTroubled = process.env.TROUBLE !== "0";
  let code = 2;
  const finish = (exitCode) => {
    deployment.stop();
    record.add("end", { exitCode });
    record.save();
    process.exit(exitCode);
  };
  const watchdog = setTimeout(() => {
    record.add("case could not run", { reason: "out of time" });
    finish(2);
  }, 116_000);
  for (const signal of ["SIGINT", "SIGTERM", "SIGHUP"]) process.on(signal, () => finish(2));
  for (const event of ["uncaughtException", "unhandledRejection"])
    process.on(event, (err) => {
      record.add("case could not run", { reason: String(err?.stack ?? err) });
      finish(2);
    });
  record.add("run", { trouble: isTroubled });
  try {
    await deployment.start();
    const violations = await play(deployment, isTroubled, record);
    for (const violation of violations) {
      record.add("VIOLATION", violation);
      console.log("violation:", JSON.stringify(violation));
    }
    code = violations.length > 0 ? 1 : 0;
  } catch (err) {
    record.add("case could not run", { reason: String(err?.stack ?? err) });
    console.log("could not run:", err?.message ?? err);
  }
  clearTimeout(watchdog);
  console.log(`exit ${code}`);
  finish(code);
}
