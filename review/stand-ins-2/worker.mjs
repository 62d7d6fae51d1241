/** A worker as the protocol page describes it: reports, leases, tokens, commands, image fetches and checkpoints. */
import { JsonConnection, now, sleep } from "./http.mjs";

const ANSWER_TIMEOUT_MS = 4000;
const MIN_REPORT_GAP_MS = 500;
const MAX_REPORT_BYTES = 64 * 1024;

/**
 * `world` has: controllers [{ name, address }], reportMs, leaseMs, job(id) -> the submitted body or undefined,
 * runMs(piece), fails(piece), note(event).
 */
export class Worker {
  constructor(machine, world) {
    Object.assign(this, machine); // host, breed, bank, loaners, vcpus, memGb, pullGbPerS
    this.world = world;
    this.tenure = 1;
    this.tick = 0;
    this.baton = 0;
    this.tasks = [];
    this.images = new Set();
    this.isGone = false;
    this.node = Math.floor(Math.random() * world.controllers.length);
    this.connection = null;
    this.wake = () => undefined;
    this.leaseEndsAt = now() + world.leaseMs;
    this.lastTokenChangeAt = -Infinity;
    this.run();
  }

  /** The tasks that have their image and have not ended. */
  get onMachine() {
    return this.tasks.filter(({ stage }) => stage === "running" || stage === "saving");
  }

  /** The machine is gone with all that is on it. */
  remove() {
    this.isGone = true;
    for (const task of this.onMachine) this.world.note({ kind: "ended", task, worker: this, why: "gone" });
    this.tasks = [];
    this.connection?.close();
    clearTimeout(this.leaseTimer);
    this.wake();
  }

  armLease() {
    clearTimeout(this.leaseTimer);
    this.leaseTimer = setTimeout(() => this.expire(), Math.max(0, this.leaseEndsAt - now()));
  }

  expire() {
    if (this.isGone) return;
    this.world.note({ kind: "lease_expired", worker: this });
    for (const task of this.onMachine) this.world.note({ kind: "ended", task, worker: this, why: "lease" });
    this.tasks = [];
    this.tenure++;
    this.leaseEndsAt = now() + this.world.leaseMs;
    this.armLease();
    this.wake();
  }

  changed() {
    this.hasChanged = true;
    this.wake();
  }

  async run() {
    this.armLease();
    while (!this.isGone) {
      const sentAt = now();
      const waitMs = await this.report(sentAt);
      if (this.isGone) return;
      // A change is reported at once, but never sooner than half a second after the last report.
      const dueAt = now() + waitMs;
      while (!this.isGone) {
        const soonest = sentAt + MIN_REPORT_GAP_MS;
        const until = this.hasChanged && this.isAnswered ? Math.min(dueAt, soonest) : dueAt;
        const left = until - now();
        if (left <= 0) break;
        await Promise.race([sleep(left), new Promise((resolve) => (this.wake = resolve))]);
      }
    }
  }

  /** Sends one report, and resolves to the time until the next one. */
  async report(sentAt) {
    const { world, tenure } = this;
    this.hasChanged = false;
    this.isAnswered = false;
    const text = JSON.stringify({
      host: this.host,
      addr: "127.0.0.1:1",
      breed: this.breed,
      bank: this.bank,
      loaners: this.loaners,
      tenure,
      tick: ++this.tick,
      baton: this.baton,
      recallS: null,
      pieces: this.tasks.map(({ piece, attempt, stage, cause, kept }) => ({
        piece,
        try: attempt,
        stage,
        ...(cause && { cause }),
        ...(kept && { kept }),
      })),
    });
    if (Buffer.byteLength(text) > MAX_REPORT_BYTES) world.note({ kind: "report_too_large", worker: this });
    const { name, address } = world.controllers[this.node];
    this.connection ??= new JsonConnection(address);
    let answer;
    try {
      answer = await this.connection.call("POST", "/agent/beat", text, ANSWER_TIMEOUT_MS);
    } catch {
      return this.moveTo(this.node + 1, 1000);
    }
    if (this.isGone) return 0;
    if (answer.status === 200) {
      this.take(answer.body, sentAt, tenure);
      this.isAnswered = true;
      return world.reportMs * (0.75 + Math.random() * 0.5) - (now() - sentAt);
    }
    const overseer = answer.status === 421 ? answer.body?.overseer : undefined;
    const owner = world.controllers.findIndex((controller) => controller.name === overseer);
    if (owner >= 0 && overseer !== name) return this.moveTo(owner, Math.random() * 500);
    return this.moveTo(this.node + 1, 1000);
  }

  moveTo(node, waitMs) {
    this.connection?.close();
    this.connection = null;
    this.node = node % this.world.controllers.length;
    return waitMs;
  }

  /** Takes an answer of status 200: drops it if its token or session is old, else executes its commands. */
  take({ baton, orders }, sentAt, tenure) {
    if (tenure !== this.tenure || baton === undefined || baton < this.baton) return;
    if (baton > this.baton) {
      this.baton = baton;
      if (now() - this.lastTokenChangeAt >= this.world.leaseMs / 2) {
        this.lastTokenChangeAt = now();
        this.changed();
      }
    }
    this.leaseEndsAt = Math.max(this.leaseEndsAt, sentAt + this.world.leaseMs);
    this.armLease();
    for (const order of orders ?? []) this.execute(order);
  }

  execute({ verb, piece, try: attempt, windDownS }) {
    const known = this.tasks.find((task) => task.piece === piece && task.attempt === attempt);
    if (verb === "start" && known === undefined) this.start(piece, attempt);
    if (verb === "reap" && known?.stage === "exited") this.tasks = this.tasks.filter((t) => t !== known);
    if (verb !== "halt" || known === undefined || known.stage === "exited") return;
    const { markEveryS = 0, markCostS = 0 } = this.world.job(piece.split("/")[0]) ?? {};
    if (known.stage === "running" && markEveryS > 0 && windDownS >= markCostS) {
      known.stage = "saving";
      this.changed();
      setTimeout(() => {
        known.kept = true;
        this.exit(known, "halted");
      }, markCostS * 1000);
    } else if (known.stage !== "saving" || windDownS === 0) this.exit(known, "halted");
  }

  start(piece, attempt) {
    const [id, index] = piece.split("/");
    const job = this.world.job(id);
    const task = { piece, attempt, stage: "fetching", vcpus: job?.vcpus ?? 0, memGb: job?.memGb ?? 0 };
    const others = this.tasks.filter(({ stage }) => stage !== "exited");
    const used = (field) => others.reduce((sum, other) => sum + other[field], 0);
    this.tasks.push(task);
    this.changed();
    if (job === undefined || Number(index) >= job.pieces) return this.exit(task, "no_such");
    if (others.some((other) => other.piece === piece)) return this.exit(task, "in_use");
    const hasRoom =
      used("vcpus") + job.vcpus <= this.vcpus + 1e-9 && used("memGb") + job.memGb <= this.memGb + 1e-9;
    if (!hasRoom) return this.exit(task, "no_room");
    const fetchMs = this.images.has(job.bundle) ? 0 : (job.imageGb / this.pullGbPerS) * 1000;
    if (fetchMs === 0) return this.begin(task, job);
    setTimeout(() => {
      this.images.add(job.bundle);
      this.begin(task, job);
    }, fetchMs);
  }

  begin(task, job) {
    if (this.isGone || !this.tasks.includes(task) || task.stage !== "fetching") return;
    task.stage = "running";
    this.world.note({ kind: "started", task, worker: this, job });
    this.changed();
    setTimeout(() => {
      if (!this.isGone && this.tasks.includes(task) && task.stage === "running") this.exit(task, "done");
    }, this.world.runMs(task.piece));
  }

  exit(task, cause) {
    if (this.isGone || !this.tasks.includes(task) || task.stage === "exited") return;
    const wasOnMachine = task.stage !== "fetching";
    task.stage = "exited";
    task.cause = cause;
    if (wasOnMachine) this.world.note({ kind: "ended", task, worker: this, why: cause });
    else this.world.note({ kind: "refused", task, worker: this, why: cause });
    this.changed();
  }
}
