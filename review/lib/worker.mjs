/** A stand-in of a worker, after the section "Workers -> controller nodes" of PROTOCOL. */
import { call, keepAliveAgent } from "./http.mjs";

const ANSWER_TIMEOUT_MS = 4000;
const MIN_REPORT_GAP_MS = 500;
const NEXT_NODE_MS = 1000;

export class Worker {
  /**
   * @param machine host, addr, breed, bank, loaners
   * @param options nodes (name, address), reportMs, leaseMs, jobs (descriptions by id), type, runMs(task), faulty
   * @param observer started(task, worker), ended(task, worker, cause)
   */
  constructor(machine, options, observer) {
    this.machine = machine;
    this.options = options;
    this.observer = observer;
    this.tenure = 1;
    this.tick = 0;
    this.baton = 0;
    this.recallS = null;
    /** By "task#attempt". */
    this.tasks = new Map();
    this.images = new Map();
    this.node = Math.floor(Math.random() * options.nodes.length);
    this.agent = keepAliveAgent();
    this.isGone = false;
    this.isHung = false;
    this.leaseFrom = performance.now();
    this.lastReportAt = -Infinity;
    this.isReporting = false;
    this.lastTokenChangeAt = -Infinity;
    this.leaseTimer = setInterval(() => this.checkLease(), 20);
    this.schedule(0);
  }

  get host() {
    return this.machine.host;
  }

  /** The tasks on the machine: those with their image that have not ended. */
  tasksOnMachine() {
    return [...this.tasks.values()]
      .filter(({ stage }) => stage === "running" || stage === "saving")
      .map(({ piece }) => piece);
  }

  /** Removes the machine and all that is on it. */
  remove() {
    if (this.isGone) return;
    this.isGone = true;
    clearInterval(this.leaseTimer);
    clearTimeout(this.reportTimer);
    this.killAll("machine gone");
    this.agent.destroy();
  }

  killAll(cause) {
    for (const task of this.tasks.values()) this.stopTimers(task, cause);
    this.tasks.clear();
  }

  stopTimers(task, cause) {
    clearTimeout(task.timer);
    if (task.stage === "running" || task.stage === "saving") this.observer.ended(task.piece, this, cause);
  }

  checkLease() {
    if (this.isGone || this.isHung || performance.now() - this.leaseFrom <= this.options.leaseMs) return;
    this.killAll("lease over");
    this.tenure++;
    this.leaseFrom = performance.now();
    this.changed();
  }

  /** Reports soon because something has changed. */
  changed() {
    if (this.isReporting) this.reportAgain = true;
    else this.schedule(Math.max(0, this.lastReportAt + MIN_REPORT_GAP_MS - performance.now()));
  }

  schedule(ms) {
    if (this.isGone) return;
    clearTimeout(this.reportTimer);
    this.reportTimer = setTimeout(() => void this.report(), ms);
  }

  report() {
    if (this.isReporting || this.isGone) return;
    return this.exchange().catch((err) => {
      this.isReporting = false;
      this.schedule(NEXT_NODE_MS);
      this.observer.failed?.(err);
    });
  }

  body() {
    const { host, addr, breed, bank, loaners } = this.machine;
    const pieces = [...this.tasks.values()].map(({ piece, attempt, stage, cause, kept }) => ({
      piece,
      try: attempt,
      stage,
      ...(cause === undefined ? {} : { cause }),
      ...(kept ? { kept: true } : {}),
    }));
    const { tenure, baton, recallS } = this;
    return { host, addr, breed, bank, loaners, tenure, tick: ++this.tick, baton, recallS, pieces };
  }

  async exchange() {
    this.isReporting = true;
    this.reportAgain = false;
    const sentAt = performance.now();
    this.lastReportAt = sentAt;
    const { tenure } = this;
    const { nodes, reportMs } = this.options;
    const answer = await call(
      nodes[this.node].address,
      "POST",
      "/agent/beat",
      this.body(),
      ANSWER_TIMEOUT_MS,
      this.agent,
    );
    this.isReporting = false;
    if (this.isGone) return;
    if (answer.status === 200) {
      this.receive(answer.body, tenure, sentAt);
      const usualMs = reportMs * (0.75 + Math.random() / 2);
      this.schedule(this.reportAgain ? Math.max(0, sentAt + MIN_REPORT_GAP_MS - performance.now()) : usualMs);
      return;
    }
    this.agent.destroy();
    this.agent = keepAliveAgent();
    const overseer =
      answer.status === 421 ? nodes.findIndex(({ name }) => name === answer.body.overseer) : -1;
    if (overseer >= 0 && overseer !== this.node) {
      this.node = overseer;
      this.schedule(Math.random() * 500);
    } else {
      this.node = (this.node + 1) % nodes.length;
      this.schedule(NEXT_NODE_MS);
    }
  }

  receive({ baton, orders }, tenure, sentAt) {
    if (tenure !== this.tenure || typeof baton !== "number" || baton < this.baton) return;
    this.leaseFrom = Math.max(this.leaseFrom, sentAt);
    if (baton > this.baton) {
      this.baton = baton;
      const now = performance.now();
      if (now - this.lastTokenChangeAt >= this.options.leaseMs / 2) {
        this.lastTokenChangeAt = now;
        this.changed();
        this.reportAgain = true;
      }
    }
    for (const order of orders ?? []) this.execute(order);
  }

  execute({ verb, piece, try: attempt, windDownS }) {
    const key = `${piece}#${attempt}`;
    const known = this.tasks.get(key);
    this.observer.ordered?.(verb, piece, attempt, this);
    if (verb === "reap") {
      if (known?.stage === "exited") this.tasks.delete(key);
      return;
    }
    if (verb === "halt") {
      if (known !== undefined && known.stage !== "exited") this.halt(known, windDownS);
      return;
    }
    if (verb === "start" && known === undefined) this.start(piece, attempt, key);
  }

  start(piece, attempt, key) {
    const task = { piece, attempt, stage: "fetching", cause: undefined, kept: false, timer: undefined };
    this.tasks.set(key, task);
    const slash = piece.indexOf("/");
    const job = this.options.jobs.get(piece.slice(0, slash));
    const others = [...this.tasks.values()].filter((other) => other !== task && other.stage !== "exited");
    if (job === undefined || Number(piece.slice(slash + 1)) >= job.pieces) return this.exit(task, "no_such");
    if (others.some((other) => other.piece === piece)) return this.exit(task, "in_use");
    const { type } = this.options;
    let vcpus = job.vcpus;
    let memGb = job.memGb;
    for (const other of others) {
      const { vcpus: cpus, memGb: memory } = this.options.jobs.get(
        other.piece.slice(0, other.piece.indexOf("/")),
      );
      vcpus += cpus;
      memGb += memory;
    }
    if (vcpus > type.vcpus + 1e-6 || memGb > type.memGb + 1e-6) return this.exit(task, "no_room");
    this.changed();
    const readyAt = this.images.get(job.bundle) ?? performance.now() + (job.imageGb / type.pullGbPerS) * 1000;
    this.images.set(job.bundle, readyAt);
    task.timer = setTimeout(() => this.run(task, job), Math.max(0, readyAt - performance.now()));
  }

  run(task, job) {
    if (this.options.results.has(task.piece)) return this.exit(task, "done");
    task.stage = "running";
    this.observer.started(task.piece, this, task.attempt);
    this.changed();
    if (this.options.isFaulty?.(task.piece, this)) return this.exit(task, "error");
    task.timer = setTimeout(
      () => {
        this.options.results.add(task.piece);
        this.exit(task, "done");
      },
      this.options.runMs(task.piece, job),
    );
  }

  halt(task, windDownS) {
    const job = this.options.jobs.get(task.piece.slice(0, task.piece.indexOf("/")));
    if (task.stage === "saving") {
      if (windDownS === 0) this.exit(task, "halted");
      return;
    }
    if (task.stage === "running" && job.markEveryS > 0 && windDownS >= job.markCostS) {
      clearTimeout(task.timer);
      task.stage = "saving";
      task.timer = setTimeout(() => {
        task.kept = true;
        this.exit(task, "halted");
      }, job.markCostS * 1000);
      this.changed();
      return;
    }
    this.exit(task, "halted");
  }

  exit(task, cause) {
    this.stopTimers(task, cause);
    task.stage = "exited";
    task.cause = cause;
    this.changed();
  }
}
