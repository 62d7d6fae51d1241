/** A cloud as the protocol page describes it: machine types, rentals by name, returns and a list that lags. */
import { now, serveJson, sleep } from "./http.mjs";
import { Worker } from "./worker.mjs";

export class Cloud {
  /**
   * `options`: types (the answer of `GET /flavors`), listLagMs, bootMs(), latencyMs(), capacity,
   * rentalAnswerHeldMs(order): for how long the network holds the answer to an order.
   */
  constructor(options, world) {
    this.options = options;
    this.world = world;
    this.machines = new Map();
    this.orders = new Map();
    this.nextHost = 1;
    this.snapshots = [];
    this.isDown = false;
  }

  async start() {
    this.server = await serveJson(async (method, url, body) => {
      const reply = await this.handle(method, url, body);
      await sleep(this.options.latencyMs() + (reply.heldMs ?? 0));
      return reply;
    });
    this.address = this.server.address;
    this.snapshotTimer = setInterval(() => this.snapshot(), 250);
    this.snapshot();
  }

  close() {
    clearInterval(this.snapshotTimer);
    for (const { worker, bootTimer } of this.machines.values()) {
      clearTimeout(bootTimer);
      worker?.remove();
    }
    this.server.close();
  }

  snapshot() {
    const at = now();
    const hosts = [...this.machines.values()].map(({ machine, worker, rentedAt }) => ({
      nameId: machine.host,
      addr: "127.0.0.1:1",
      breed: machine.breed,
      bank: machine.bank,
      loaners: machine.loaners,
      stage: worker === null ? "booting" : "running",
      heldS: (at - rentedAt) / 1000,
    }));
    this.snapshots.push({ at, hosts });
    if (this.snapshots.length > 400) this.snapshots.shift();
  }

  handle(method, url, body) {
    if (this.isDown) return { status: 503, body: { error: "trouble" } };
    const { pathname } = url;
    if (pathname === "/flavors") return { status: 200, body: { breeds: this.options.types } };
    if (pathname === "/rentals/return" && method === "POST") return this.take(body.hosts);
    if (pathname === "/rentals" && method === "POST") return this.rent(body);
    if (pathname === "/rentals") return this.list(url);
    return { status: 404, body: {} };
  }

  list(url) {
    const since = url.searchParams.get("since") ?? "";
    const limit = Math.min(500, Number(url.searchParams.get("limit") ?? 500));
    const until = now() - this.options.listLagMs;
    const seen = this.snapshots.findLast(({ at }) => at <= until)?.hosts ?? [];
    const hosts = seen.filter(({ nameId }) => nameId > since);
    return { status: 200, body: { hosts: hosts.slice(0, limit), truncated: hosts.length > limit } };
  }

  take(hosts) {
    for (const host of hosts) {
      const machine = this.machines.get(host);
      if (machine === undefined) continue;
      clearTimeout(machine.bootTimer);
      machine.worker?.remove();
      this.machines.delete(host);
      this.world.note({ kind: "returned", host });
    }
    return { status: 200, body: {} };
  }

  rent(order) {
    const { hire, breed, bank, loaners, count } = order;
    const type = this.options.types.find(({ label }) => label === breed);
    const isValid = type !== undefined && type.banks.includes(bank) && count >= 1 && count <= 50;
    if (!isValid) return { status: 400, body: { error: "malformed" } };
    const known = this.orders.get(hire);
    if (known !== undefined) {
      known.calls++;
      this.world.note({ kind: "rental_repeated", order, hosts: known.hosts });
      return { status: 200, body: { hosts: known.hosts } };
    }
    const granted = Math.min(count, this.options.capacity - this.machines.size);
    if (granted <= 0) return { status: 503, body: { error: "no capacity" } };
    const hosts = Array.from({ length: granted }, () => this.boot(type, bank, loaners));
    this.orders.set(hire, { hosts, calls: 1 });
    this.world.note({ kind: "rented", order, hosts });
    // An interruption of the network may hold the answer on its way to the controller.
    const heldMs = this.options.rentalAnswerHeldMs?.(order) ?? 0;
    if (heldMs > 0) this.world.note({ kind: "rental_answer_held", order, forMs: Math.round(heldMs) });
    return { status: 200, body: { hosts }, heldMs };
  }

  boot(type, bank, loaners) {
    const host = `i-${String(this.nextHost++).padStart(6, "0")}`;
    const { label, vcpus, memGb, pullGbPerS } = type;
    const machine = { host, breed: label, bank, loaners, vcpus, memGb, pullGbPerS };
    const entry = { machine, worker: null, rentedAt: now(), bootTimer: undefined };
    entry.bootTimer = setTimeout(() => {
      entry.worker = new Worker(machine, this.world);
      this.world.note({ kind: "up", host });
    }, this.options.bootMs());
    this.machines.set(host, entry);
    return host;
  }
}
