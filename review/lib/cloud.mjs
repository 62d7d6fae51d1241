/** A stand-in of the cloud, after the section "Controller nodes -> cloud" of PROTOCOL. */
import { serveJson } from "./http.mjs";
import { sleep } from "./record.mjs";
import { Worker } from "./worker.mjs";

export class Cloud {
  /**
   * @param options flavors, rps, listLagS, latencyMs, workerOptions(flavor), bootMs(flavor), capacity(flavor, zone, spot)
   */
  constructor(options, observer, record) {
    this.options = options;
    this.observer = observer;
    this.record = record;
    this.machines = new Map();
    this.answers = new Map();
    this.nextNumber = 1;
    this.snapshots = [];
    this.tokens = 2 * options.rps;
    this.at = performance.now();
  }

  async listen() {
    this.server = await serveJson((method, url, body) => this.handle(method, url, body));
    this.snapshotTimer = setInterval(() => this.takeSnapshot(), 500);
    return this.server.address;
  }

  close() {
    clearInterval(this.snapshotTimer);
    for (const { worker } of this.machines.values()) worker?.remove();
    this.server.close();
  }

  workers() {
    return [...this.machines.values()].flatMap(({ worker }) => (worker && !worker.isGone ? [worker] : []));
  }

  /** A machine stops by itself, with everything on it. */
  die(host) {
    const machine = this.machines.get(host);
    machine.worker?.remove();
    machine.diedAt = performance.now();
  }

  takeSnapshot() {
    const now = performance.now();
    const hosts = [...this.machines].map(([host, { machine, rentedAt, upAt, diedAt }]) => ({
      nameId: host,
      addr: machine.addr,
      breed: machine.breed,
      bank: machine.bank,
      loaners: machine.loaners,
      stage: diedAt !== undefined && now - diedAt > 30_000 ? "failed" : now < upAt ? "booting" : "running",
      heldS: (now - rentedAt) / 1000,
    }));
    this.snapshots.push({ at: now, hosts });
    const lagMs = this.options.listLagS * 1000;
    while (this.snapshots.length > 1 && this.snapshots[1].at < now - lagMs) this.snapshots.shift();
  }

  async handle(method, url, body) {
    const now = performance.now();
    this.tokens = Math.min(2 * this.options.rps, this.tokens + ((now - this.at) / 1000) * this.options.rps);
    this.at = now;
    if (this.tokens < 1) return { status: 429, body: {} };
    this.tokens -= 1;
    await sleep(this.options.latencyMs);
    if (url.pathname === "/flavors") return { status: 200, body: { breeds: this.options.flavors } };
    if (url.pathname === "/rentals/return") return this.giveBack(body.hosts);
    if (method === "POST") return this.rent(body);
    return this.list(url);
  }

  giveBack(hosts) {
    for (const host of hosts) {
      this.record.add("machine returned", { host });
      this.machines.get(host)?.worker?.remove();
      this.machines.delete(host);
    }
    return { status: 200 };
  }

  rent({ hire, breed, bank, loaners, count }) {
    if (this.answers.has(hire)) return { status: 200, body: { hosts: this.answers.get(hire) } };
    const flavor = this.options.flavors.find(({ label }) => label === breed);
    if (flavor === undefined || !flavor.banks.includes(bank) || count < 1 || count > 50)
      return { status: 400 };
    const granted = Math.min(count, this.options.capacity?.(flavor, bank, loaners, this) ?? Infinity);
    if (granted <= 0) {
      this.record.add("rental refused", { hire, breed, bank, loaners, count });
      return { status: 503, body: { error: "no capacity" } };
    }
    const hosts = Array.from({ length: granted }, () =>
      this.addMachine(flavor, bank, loaners, this.options.bootMs(flavor)),
    );
    this.answers.set(hire, hosts);
    this.record.add("machines rented", { hire, breed, bank, loaners, count, hosts });
    return { status: 200, body: { hosts } };
  }

  addMachine(flavor, bank, loaners, bootMs) {
    const number = this.nextNumber++;
    const host = `i-${String(number).padStart(6, "0")}`;
    const machine = { host, addr: `127.0.0.1:${20_000 + number}`, breed: flavor.label, bank, loaners };
    const now = performance.now();
    const entry = { machine, rentedAt: now, upAt: now + bootMs, worker: null };
    this.machines.set(host, entry);
    setTimeout(() => {
      if (this.machines.get(host) !== entry || entry.diedAt !== undefined) return;
      entry.worker = new Worker(machine, { ...this.options.workerOptions, type: flavor }, this.observer);
    }, bootMs);
    return host;
  }

  list(url) {
    const since = url.searchParams.get("since") ?? "";
    const limit = Math.min(500, Number(url.searchParams.get("limit") ?? 500));
    const later = (this.snapshots[0]?.hosts ?? [])
      .filter(({ nameId }) => nameId > since)
      .sort((a, b) => (a.nameId < b.nameId ? -1 : 1));
    return { status: 200, body: { hosts: later.slice(0, limit), truncated: later.length > limit } };
  }
}
