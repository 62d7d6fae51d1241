/**
 * The actor that sizes while this process leads: it collects the owners' summaries and makes passes, each with at
 * most one call to the cloud. An order is recorded before it is sent, and its machines before they count.
 */
import * as z from "zod";
import { CloudFailure, type CloudClient } from "../cloud/client.js";
import type { OperatorSettings } from "../config/operator.js";
import type { Settings } from "../config/settings.js";
import type { PeerReply, PeerRequest, Summary } from "../peers/messages.js";
import { Actor } from "../runtime/actor.js";
import type { SteadyClock } from "../runtime/clock.js";
import type { Logger } from "../runtime/log.js";
import { StateFailure, type StateClient } from "../state/client.js";
import { keys, prefixes } from "../state/keys.js";
import type { ReplicaView } from "../state/replica.js";
import {
  MAX_RETURN,
  type Guard,
  type ListedMachine,
  type MachineType,
  type WorkerReport,
  type Write,
} from "../wire/index.js";
import type { Fleet } from "../workers/fleet.js";
import { groupSize, type MachineGroup } from "../workers/records.js";
import {
  decideScaling,
  marketKey,
  type Known,
  type Leave,
  type Market,
  type Move,
  type Order,
} from "./decide.js";
import { SummaryBook } from "./summary-book.js";
import { Listing } from "./listing.js";
import { UnregisteredMachines } from "./unregistered-machines.js";

const orderSchema = z.object({
  type: z.string(),
  zone: z.string(),
  spot: z.boolean(),
  count: z.int().positive(),
  parts: z.array(z.object({ shard: z.int().nonnegative(), count: z.int().positive() })),
  since: z.number(),
});
type OrderRecord = z.infer<typeof orderSchema>;

/** What the autoscaler is told. */
export type AutoscalerMessage =
  | { kind: "summary"; summary: Summary; reply: (accepted: boolean) => void }
  | { kind: "unknown_machine"; report: WorkerReport }
  | { kind: "tick" }
  | { kind: "pass_done" };

/** What the autoscaler needs of the rest of the process. */
export interface AutoscalerHooks {
  /** The version of the record that makes this process the leader, or null. */
  leadership(): number | null;
  /** Asks the owner of a shard, this process included. */
  askOwner(shard: number, request: PeerRequest): Promise<PeerReply>;
  /** Whether orders and returns may be recorded and sent now, as far as links go. */
  mayCallCloud(): boolean;
}

interface Refusal {
  until: number;
  pauseMs: number;
}

/** Runs the reconciliation passes while this process leads; does nothing while it does not. */
export class Autoscaler extends Actor<AutoscalerMessage> {
  private readonly summaries: SummaryBook;
  private readonly refusals = new Map<string, Refusal>();
  private readonly unregistered = new Map<string, Market>();
  private readonly unknown: UnregisteredMachines;
  /** Hosts returned lately: the lists go on showing them for a while. */
  private readonly returned = new Map<string, number>();
  /** What the cloud's lists have shown in this term. */
  private listing: Listing;
  private ledSince: number | null = null;
  private passing = false;
  private lastPass = -Infinity;
  private lastTypes = -Infinity;
  private lastList = -Infinity;
  private lastTransfer = -Infinity;
  private prices: MachineType[] | null = null;

  constructor(
    private readonly settings: Settings,
    private readonly operator: OperatorSettings,
    private readonly cloud: CloudClient,
    private readonly state: StateClient,
    private readonly view: ReplicaView,
    private readonly fleet: Fleet,
    private readonly clock: SteadyClock,
    private readonly hooks: AutoscalerHooks,
    log: Logger,
  ) {
    super(log);
    this.summaries = new SummaryBook(view, fleet, operator.passSpacingMs);
    this.unknown = new UnregisteredMachines(settings.workers.reportMs / 2, operator.maxMachines);
    this.listing = new Listing(settings.cloud.listLagMs);
  }

  protected override receive(message: AutoscalerMessage): void {
    switch (message.kind) {
      case "summary":
        this.summaries.add(message.summary, this.clock());
        message.reply(this.hooks.leadership() !== null);
        return;
      case "unknown_machine":
        this.hear(message.report);
        return;
      case "tick":
        this.pass();
        return;
      case "pass_done":
        this.passing = false;
        return;
    }
  }

  private hear(report: WorkerReport): void {
    const { host, type, zone, spot } = report;
    if (this.returned.has(host) || !this.unknown.hear(report, this.clock())) return;
    this.unregistered.set(host, { type, zone, spot });
  }

  private pass(): void {
    const now = this.clock();
    const leads = this.hooks.leadership();
    if (leads === null) {
      this.ledSince = null;
      return;
    }
    if (this.ledSince === null) this.beginTerm(now);
    if (this.passing || now - this.lastPass < this.operator.passSpacingMs) return;
    this.passing = true;
    this.lastPass = now;
    this.reconcile(leads, now)
      .catch((err: unknown) => {
        const expected = err instanceof CloudFailure || err instanceof StateFailure;
        if (expected) this.log.debug({ err: err.message }, "pass cut short");
        else this.log.error({ err }, "pass failed");
      })
      .finally(() => this.tell({ kind: "pass_done" }));
  }

  private beginTerm(now: number): void {
    this.ledSince = now;
    this.summaries.clear();
    this.listing = new Listing(this.settings.cloud.listLagMs);
    this.returned.clear();
    this.refusals.clear();
  }

  private async reconcile(leads: number, now: number): Promise<void> {
    const guard: Guard = { key: keys.leader, version: leads };
    await this.registerMachines(guard);
    if (await this.refreshTypes(guard, now)) return;
    const types = this.prices ?? this.recordedTypes();
    if (types.length === 0) return;
    const { order, move, cordon, transfer, drains } = decideScaling({
      types,
      summaries: Array.from({ length: this.settings.controllers }, (_, n) => this.summaries.latest(n, now)),
      machines: this.machines(),
      wallNow: Date.now(),
      refused: (market) => (this.refusals.get(marketKey(market))?.until ?? -Infinity) > now,
      caps: this.operator,
      leaseMs: this.settings.workers.leaseMs,
    });
    if (move !== null) await this.move(move);
    if (cordon !== null) await this.hooks.askOwner(cordon.shard, { cordon }).catch(() => undefined);
    if (transfer !== null && now - this.lastTransfer >= 2 * this.operator.passSpacingMs) {
      // The summary of a shard shows what has passed to it only after a while.
      this.lastTransfer = now;
      await this.hooks.askOwner(transfer.shard, { transfer }).catch(() => undefined);
    }
    await Promise.all(drains.map((drain) => this.drain(drain)));
    // Nothing is recorded that cannot be sent; asking for prices shows when the cloud is back.
    if (!this.hooks.mayCallCloud()) return this.probeCloud();
    // One call to the cloud a pass: what is under way first, then orders, then returns, then a look at the list.
    if (await this.resumeOrders(guard)) return;
    if (order !== null && this.cloud.mayCall()) return this.place(guard, order);
    if (await this.returnMachines(guard)) return;
    await this.readList(now);
  }

  private machines(): Known[] {
    return [...this.fleet.all()].map(([host, record]) => ({ ...record, host }));
  }

  private recordedTypes(): MachineType[] {
    return this.view.under(prefixes.types).map((entry) => entry.value as MachineType);
  }

  /** Reads types and prices now and then, and keeps them in the records, so that no other node need ask. */
  private async refreshTypes(guard: Guard, now: number): Promise<boolean> {
    if (now - this.lastTypes < 60 * this.operator.passSpacingMs || !this.cloud.mayCall()) return false;
    const types = await this.cloud.types();
    this.lastTypes = now;
    this.prices = types;
    for (const type of types) {
      const known = this.view.get(keys.type(type.name));
      // Spot prices wander; only what lasts is worth a write.
      const lasting = (t: MachineType): string => JSON.stringify({ ...t, spotPrice: 0 });
      if (known !== undefined && lasting(type) === lasting(known.value as MachineType)) continue;
      await this.state.commit([guard], [{ put: keys.type(type.name), value: type }], "ownership");
    }
    return true;
  }

  private async probeCloud(): Promise<void> {
    if (this.cloud.mayCall()) this.prices = await this.cloud.types();
  }

  private async place(guard: Guard, order: Order): Promise<void> {
    const record: OrderRecord = { ...order, since: Date.now() };
    // A name must never come twice, from any process.
    const name = `fp-${crypto.randomUUID()}`;
    const commit = await this.state.commit([guard], [{ put: keys.order(name), value: record }], "ownership");
    if (!commit.ok) return;
    this.log.info({ order: name, ...order }, "ordering");
    await this.send(guard, name, commit.revision, record);
  }

  /** Orders whose answer never came are sent again under their name, which rents nothing twice. */
  private async resumeOrders(guard: Guard): Promise<boolean> {
    const entry = this.view.under(prefixes.orders)[0];
    if (entry === undefined || !this.cloud.mayCall()) return entry !== undefined;
    const record = orderSchema.safeParse(entry.value);
    const name = entry.key.slice(prefixes.orders.length);
    if (record.success) await this.send(guard, name, entry.version, record.data);
    else await this.state.commit([guard], [{ remove: entry.key }], "ownership");
    return true;
  }

  private async send(guard: Guard, name: string, version: number, order: OrderRecord): Promise<void> {
    const rental = await this.cloud.rent({ ...order, name });
    const hosts = rental.kind === "rented" ? rental.hosts : [];
    this.log.info(
      { order: name, result: rental.kind, wanted: order.count, got: hosts.length },
      "order answered",
    );
    this.noteRefusal(order, hosts.length < order.count);
    const { type, zone, spot } = order;
    const fresh = hosts.filter((host) => this.fleet.get(host) === undefined);
    const groups = order.parts.flatMap(({ shard, count }) =>
      this.groupsOf(fresh.splice(0, count), { shard, type, zone, spot }),
    );
    // The order is still there, as it was sent: a late copy of this write brings no machine back.
    const guards = [guard, { key: keys.order(name), version }];
    // Machines past what one write holds are in no record: they are registered once they report.
    const writes = [...groups.slice(0, this.state.txnOps - 1), { remove: keys.order(name) }];
    await this.state.commit(guards, writes, "ownership");
  }

  /** Records for machines that come together, in as many groups as the limit of a value asks for. */
  private groupsOf(hosts: string[], of: Omit<MachineGroup, "since" | "machines">): Write[] {
    const size = groupSize(this.settings.state.valueBytes);
    const writes: Write[] = [];
    for (let i = 0; i < hosts.length; i += size) {
      const machines = Object.fromEntries(hosts.slice(i, i + size).map((host) => [host, "booting" as const]));
      const value: MachineGroup = { ...of, since: Date.now(), machines };
      writes.push({ put: keys.machines(crypto.randomUUID()), value });
    }
    return writes;
  }

  private noteRefusal(market: Market, refused: boolean): void {
    const key = marketKey(market);
    if (!refused) return void this.refusals.delete(key);
    const bootMs = (this.recordedTypes().find((t) => t.name === market.type)?.bootS ?? 30) * 1000;
    const pauseMs = Math.min((this.refusals.get(key)?.pauseMs ?? bootMs / 4) * 2, bootMs * 4);
    this.refusals.set(key, { until: this.clock() + pauseMs, pauseMs });
  }

  private async move(move: Move): Promise<void> {
    const { shard, to, hosts } = move;
    await this.hooks.askOwner(shard, { give: { shard, to, hosts } }).catch(() => undefined);
  }

  private async drain(drain: Leave): Promise<void> {
    await this.hooks.askOwner(drain.shard, { drain }).catch(() => undefined);
  }

  /** Returns what its owners have marked; the record goes once the cloud has said that the machine is gone. */
  private async returnMachines(guard: Guard): Promise<boolean> {
    const marked = this.machines().filter((m) => m.drain);
    // Only what one transaction takes out of the records: the rest would be returned again, pass after pass.
    const most = marked.slice(0, MAX_RETURN).map((m) => m.host);
    const { hosts } = this.fleet.change(most, null, this.state.txnOps);
    if (hosts.length === 0 || !this.cloud.mayCall()) return false;
    await this.cloud.returnMachines(hosts);
    for (const host of hosts) {
      this.returned.set(host, this.clock());
      this.unknown.forget(host);
    }
    this.log.info({ hosts }, "machines returned");
    const { guards, writes } = this.fleet.change(hosts, null, this.state.txnOps);
    // What has changed meanwhile is returned once more, which harms nobody, and removed then.
    await this.state.commit([guard, ...guards], writes, "ownership");
    return true;
  }

  /** Machines that report or are listed although no record names them: a late order, or there from the start. */
  private async registerMachines(guard: Guard): Promise<void> {
    const load = Array.from({ length: this.settings.controllers }, () => 0);
    for (const [, machine] of this.fleet.all()) load[machine.shard] = (load[machine.shard] ?? 0) + 1;
    const alike = new Map<string, { of: Omit<MachineGroup, "since" | "machines">; hosts: string[] }>();
    for (const [host, market] of this.unregistered) {
      if (this.fleet.get(host) !== undefined || this.returned.has(host)) continue;
      const shard = load.indexOf(Math.min(...load));
      load[shard]!++;
      const key = `${shard}/${marketKey(market)}`;
      const group = alike.get(key);
      if (group) group.hosts.push(host);
      else alike.set(key, { of: { ...market, shard }, hosts: [host] });
    }
    this.unregistered.clear();
    const writes = [...alike.values()].flatMap(({ of, hosts }) => this.groupsOf(hosts, of));
    if (writes.length === 0) return;
    this.log.info({ hosts: [...alike.values()].flatMap((g) => g.hosts) }, "registering machines");
    // Machines in no record cannot be guarded by their own; this key lets a late copy of the write fail.
    const registration = { key: keys.registration, version: this.view.get(keys.registration)?.version ?? 0 };
    const mark = { put: keys.registration, value: { machines: writes.length } };
    const room = this.state.txnOps - 1;
    await this.state.commit([guard, registration], [mark, ...writes.slice(0, room)], "ownership");
  }

  /** One page a pass: of a list that is under way, or of a new one now and then. */
  private async readList(now: number): Promise<void> {
    const spacing = Math.max(2 * this.settings.cloud.listLagMs, 10 * this.operator.passSpacingMs);
    const underWay = this.listing.underWay(now);
    if ((!underWay && now - this.lastList < spacing) || !this.cloud.mayCall()) return;
    if (!underWay) this.lastList = now;
    const page = await this.cloud.list(this.listing.after);
    const all = this.listing.take(page.machines, page.more, now);
    if (all === null) return;
    this.noteUnregistered(all, now);
    this.noteMissing(all, now);
  }

  private noteUnregistered(all: ListedMachine[], now: number): void {
    const lag = this.settings.cloud.listLagMs;
    for (const [host, at] of this.returned) if (now - at > 6 * lag) this.returned.delete(host);
    // A new leader does not know what its predecessor gave back; lists show such machines for a while.
    if (this.ledSince === null || now - this.ledSince < 6 * lag) return;
    for (const m of all) {
      if (this.fleet.get(m.host) !== undefined || this.returned.has(m.host) || m.ageS * 1000 < 2 * lag)
        continue;
      this.unregistered.set(m.host, { type: m.type, zone: m.zone, spot: m.spot });
    }
  }

  /** Machines that the lists have dropped are gone: their owners give them up like silent ones. */
  private noteMissing(all: ListedMachine[], now: number): void {
    const gone = new Map<number, string[]>();
    for (const host of this.listing.missing(all, (host) => this.fleet.get(host) !== undefined, now)) {
      const record = this.fleet.get(host);
      if (record === undefined || record.drain) continue;
      gone.set(record.shard, [...(gone.get(record.shard) ?? []), host]);
    }
    for (const [shard, hosts] of gone) void this.drain({ shard, hosts });
  }
}
