/**
 * The actor that sizes while this process leads: it collects the owners' summaries and makes passes, each with at
 * most one call to the cloud. An order is recorded before it is sent, and its machines before they count.
 */
import * as z from "zod";
import type { CloudClient } from "../cloud/cloud-client.js";
import { CloudError } from "../cloud/cloud-error.js";
import type { OperatorSettings } from "../config/operator.js";
import type { Settings } from "../config/settings.js";
import type { PeerReply, PeerRequest, ShardSummary } from "../peers/messages.js";
import { Actor } from "../runtime/actor.js";
import type { SteadyClock } from "../runtime/clock.js";
import type { Logger } from "../runtime/log.js";
import type { StateStoreClient } from "../state/state-store-client.js";
import { StateStoreError } from "../state/state-store-error.js";
import { keys, prefixes } from "../state/keys.js";
import type { ReplicaView } from "../state/replica.js";
import {
  MAX_RETURN,
  type Condition,
  type ListedMachine,
  type MachineType,
  type Heartbeat,
  type Write,
} from "../wire/index.js";
import type { Fleet } from "../workers/fleet.js";
import { maxMachinesPerGroup, type MachineGroup } from "../workers/machine-records.js";
import {
  decideScaling,
  poolKey,
  type RentedMachine,
  type MachineSelection,
  type Market,
  type MachineTransfer,
  type RentalPlan,
} from "./scaling-policy.js";
import { SummaryStore } from "./summary-store.js";
import { MachineListing } from "./machine-listing.js";
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
  | { kind: "summary"; summary: ShardSummary; reply: (accepted: boolean) => void }
  | { kind: "unknown_machine"; report: Heartbeat }
  | { kind: "tick" }
  | { kind: "pass_done" };

/** What the autoscaler needs of the rest of the process. */
export interface AutoscalerCallbacks {
  /** The version of the record that makes this process the leader, or null. */
  leadership(): number | null;
  /** Asks the owner of a shard, this process included. */
  requestOwner(shard: number, request: PeerRequest): Promise<PeerReply>;
  /** Whether orders and returns may be recorded and sent now, as far as links go. */
  mayCallCloud(): boolean;
}

interface Refusal {
  until: number;
  pauseMs: number;
}

/** Runs the reconciliation passes while this process leads; does nothing while it does not. */
export class Autoscaler extends Actor<AutoscalerMessage> {
  private readonly summaries: SummaryStore;
  private readonly refusals = new Map<string, Refusal>();
  private readonly unregistered = new Map<string, Market>();
  private readonly unknownMachines: UnregisteredMachines;
  /** Hosts returned lately: the lists go on showing them for a while. */
  private readonly returned = new Map<string, number>();
  /** What the cloud's lists have shown in this term. */
  private listing: MachineListing;
  private leadingSince: number | null = null;
  private passRunning = false;
  private lastPassAt = -Infinity;
  private lastTypesAt = -Infinity;
  private lastListAt = -Infinity;
  private lastMigrationAt = -Infinity;
  private currentTypes: MachineType[] | null = null;

  constructor(
    private readonly settings: Settings,
    private readonly operator: OperatorSettings,
    private readonly cloud: CloudClient,
    private readonly state: StateStoreClient,
    private readonly view: ReplicaView,
    private readonly fleet: Fleet,
    private readonly clock: SteadyClock,
    private readonly callbacks: AutoscalerCallbacks,
    log: Logger,
  ) {
    super(log);
    this.summaries = new SummaryStore(view, fleet, operator.passSpacingMs);
    this.unknownMachines = new UnregisteredMachines(settings.workers.reportMs / 2, operator.maxMachines);
    this.listing = new MachineListing(settings.cloud.listLagMs);
  }

  protected override receive(message: AutoscalerMessage): void {
    switch (message.kind) {
      case "summary":
        this.summaries.add(message.summary, this.clock());
        message.reply(this.callbacks.leadership() !== null);
        return;
      case "unknown_machine":
        this.hearUnknownMachine(message.report);
        return;
      case "tick":
        this.startPass();
        return;
      case "pass_done":
        this.passRunning = false;
        return;
    }
  }

  private hearUnknownMachine(report: Heartbeat): void {
    const { host, type, zone, spot } = report;
    if (this.returned.has(host) || !this.unknownMachines.confirm(report, this.clock())) return;
    this.unregistered.set(host, { type, zone, spot });
  }

  private startPass(): void {
    const now = this.clock();
    const leads = this.callbacks.leadership();
    if (leads === null) {
      this.leadingSince = null;
      return;
    }
    if (this.leadingSince === null) this.beginTerm(now);
    if (this.passRunning || now - this.lastPassAt < this.operator.passSpacingMs) return;
    this.passRunning = true;
    this.lastPassAt = now;
    this.reconcile(leads, now)
      .catch((err: unknown) => {
        const expected = err instanceof CloudError || err instanceof StateStoreError;
        if (expected) this.log.debug({ err: err.message }, "pass cut short");
        else this.log.error({ err }, "pass failed");
      })
      .finally(() => this.tell({ kind: "pass_done" }));
  }

  private beginTerm(now: number): void {
    this.leadingSince = now;
    this.summaries.clear();
    this.listing = new MachineListing(this.settings.cloud.listLagMs);
    this.returned.clear();
    this.refusals.clear();
  }

  private async reconcile(leads: number, now: number): Promise<void> {
    const guard: Condition = { key: keys.leader, version: leads };
    await this.registerMachines(guard);
    if (await this.refreshTypes(guard, now)) return;
    const types = this.currentTypes ?? this.recordedTypes();
    if (types.length === 0) return;
    const {
      order,
      machineTransfer: move,
      cordon,
      jobMigration: transfer,
      drains,
    } = decideScaling({
      types,
      summaries: Array.from({ length: this.settings.controllers }, (_, n) => this.summaries.latest(n, now)),
      machines: this.machines(),
      wallNow: Date.now(),
      hasRefusedLately: (market) => (this.refusals.get(poolKey(market))?.until ?? -Infinity) > now,
      caps: this.operator,
      leaseMs: this.settings.workers.leaseMs,
    });
    if (move !== null) await this.transferMachines(move);
    if (cordon !== null) await this.callbacks.requestOwner(cordon.shard, { cordon }).catch(() => undefined);
    if (transfer !== null && now - this.lastMigrationAt >= 2 * this.operator.passSpacingMs) {
      // The summary of a shard shows what has passed to it only after a while.
      this.lastMigrationAt = now;
      await this.callbacks.requestOwner(transfer.shard, { transfer }).catch(() => undefined);
    }
    await Promise.all(drains.map((drain) => this.drainMachines(drain)));
    // Nothing is recorded that cannot be sent; asking for prices shows when the cloud is back.
    if (!this.callbacks.mayCallCloud()) return this.probeCloud();
    // One call to the cloud a pass: what is under way first, then orders, then returns, then a look at the list.
    if (await this.resumeOrders(guard)) return;
    if (order !== null && this.cloud.tryAcquireCall()) return this.recordOrder(guard, order);
    if (await this.returnMachines(guard)) return;
    await this.readList(now);
  }

  private machines(): RentedMachine[] {
    return [...this.fleet.all()].map(([host, record]) => ({ ...record, host }));
  }

  private recordedTypes(): MachineType[] {
    return this.view.list(prefixes.machineTypes).map((entry) => entry.value as MachineType);
  }

  /** Reads types and prices now and then, and keeps them in the records, so that no other node need ask. */
  private async refreshTypes(guard: Condition, now: number): Promise<boolean> {
    if (now - this.lastTypesAt < 60 * this.operator.passSpacingMs || !this.cloud.tryAcquireCall())
      return false;
    const types = await this.cloud.listMachineTypes();
    this.lastTypesAt = now;
    this.currentTypes = types;
    for (const type of types) {
      const known = this.view.get(keys.machineType(type.name));
      // Spot prices wander; only what lasts is worth a write.
      const lasting = (t: MachineType): string => JSON.stringify({ ...t, spotPrice: 0 });
      if (known !== undefined && lasting(type) === lasting(known.value as MachineType)) continue;
      await this.state.compareAndSwap(
        [guard],
        [{ put: keys.machineType(type.name), value: type }],
        "ownership",
      );
    }
    return true;
  }

  private async probeCloud(): Promise<void> {
    if (this.cloud.tryAcquireCall()) this.currentTypes = await this.cloud.listMachineTypes();
  }

  private async recordOrder(guard: Condition, order: RentalPlan): Promise<void> {
    const record: OrderRecord = { ...order, since: Date.now() };
    // A name must never come twice, from any process.
    const name = `fp-${crypto.randomUUID()}`;
    const commit = await this.state.compareAndSwap(
      [guard],
      [{ put: keys.rentalOrder(name), value: record }],
      "ownership",
    );
    if (!commit.ok) return;
    this.log.info({ order: name, ...order }, "ordering");
    await this.sendOrder(guard, name, commit.revision, record);
  }

  /** Orders whose answer never came are sent again under their name, which rents nothing twice. */
  private async resumeOrders(guard: Condition): Promise<boolean> {
    const entry = this.view.list(prefixes.rentalOrders)[0];
    if (entry === undefined || !this.cloud.tryAcquireCall()) return entry !== undefined;
    const record = orderSchema.safeParse(entry.value);
    const name = entry.key.slice(prefixes.rentalOrders.length);
    if (record.success) await this.sendOrder(guard, name, entry.version, record.data);
    else await this.state.compareAndSwap([guard], [{ remove: entry.key }], "ownership");
    return true;
  }

  private async sendOrder(
    guard: Condition,
    name: string,
    version: number,
    order: OrderRecord,
  ): Promise<void> {
    const rental = await this.cloud.rentMachines({ ...order, name });
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
    const guards = [guard, { key: keys.rentalOrder(name), version }];
    // Machines past what one write holds are in no record: they are registered once they report.
    const writes = [...groups.slice(0, this.state.txnOps - 1), { remove: keys.rentalOrder(name) }];
    await this.state.compareAndSwap(guards, writes, "ownership");
  }

  /** Records for machines that come together, in as many groups as the limit of a value asks for. */
  private groupsOf(hosts: string[], of: Omit<MachineGroup, "since" | "machines">): Write[] {
    const size = maxMachinesPerGroup(this.settings.state.valueBytes);
    const writes: Write[] = [];
    for (let i = 0; i < hosts.length; i += size) {
      const machines = Object.fromEntries(hosts.slice(i, i + size).map((host) => [host, "booting" as const]));
      const value: MachineGroup = { ...of, since: Date.now(), machines };
      writes.push({ put: keys.machineGroup(crypto.randomUUID()), value });
    }
    return writes;
  }

  private noteRefusal(market: Market, refused: boolean): void {
    const key = poolKey(market);
    if (!refused) return void this.refusals.delete(key);
    const bootMs = (this.recordedTypes().find((t) => t.name === market.type)?.bootS ?? 30) * 1000;
    const pauseMs = Math.min((this.refusals.get(key)?.pauseMs ?? bootMs / 4) * 2, bootMs * 4);
    this.refusals.set(key, { until: this.clock() + pauseMs, pauseMs });
  }

  private async transferMachines(move: MachineTransfer): Promise<void> {
    const { shard, to, hosts } = move;
    await this.callbacks.requestOwner(shard, { give: { shard, to, hosts } }).catch(() => undefined);
  }

  private async drainMachines(drain: MachineSelection): Promise<void> {
    await this.callbacks.requestOwner(drain.shard, { drain }).catch(() => undefined);
  }

  /** Returns what its owners have marked; the record goes once the cloud has said that the machine is gone. */
  private async returnMachines(guard: Condition): Promise<boolean> {
    const marked = this.machines().filter((m) => m.draining);
    // Only what one transaction takes out of the records: the rest would be returned again, pass after pass.
    const most = marked.slice(0, MAX_RETURN).map((m) => m.host);
    const { hosts } = this.fleet.changeStage(most, null, this.state.txnOps);
    if (hosts.length === 0 || !this.cloud.tryAcquireCall()) return false;
    await this.cloud.returnMachines(hosts);
    for (const host of hosts) {
      this.returned.set(host, this.clock());
      this.unknownMachines.forget(host);
    }
    this.log.info({ hosts }, "machines returned");
    const { conditions: guards, writes } = this.fleet.changeStage(hosts, null, this.state.txnOps);
    // What has changed meanwhile is returned once more, which harms nobody, and removed then.
    await this.state.compareAndSwap([guard, ...guards], writes, "ownership");
    return true;
  }

  /** Machines that report or are listed although no record names them: a late order, or there from the start. */
  private async registerMachines(guard: Condition): Promise<void> {
    const load = Array.from({ length: this.settings.controllers }, () => 0);
    for (const [, machine] of this.fleet.all()) load[machine.shard] = (load[machine.shard] ?? 0) + 1;
    const alike = new Map<string, { of: Omit<MachineGroup, "since" | "machines">; hosts: string[] }>();
    for (const [host, market] of this.unregistered) {
      if (this.fleet.get(host) !== undefined || this.returned.has(host)) continue;
      const shard = load.indexOf(Math.min(...load));
      load[shard]!++;
      const key = `${shard}/${poolKey(market)}`;
      const group = alike.get(key);
      if (group) group.hosts.push(host);
      else alike.set(key, { of: { ...market, shard }, hosts: [host] });
    }
    this.unregistered.clear();
    const writes = [...alike.values()].flatMap(({ of, hosts }) => this.groupsOf(hosts, of));
    if (writes.length === 0) return;
    this.log.info({ hosts: [...alike.values()].flatMap((g) => g.hosts) }, "registering machines");
    // Machines in no record cannot be guarded by their own; this key lets a late copy of the write fail.
    const registration = {
      key: keys.machineRegistration,
      version: this.view.get(keys.machineRegistration)?.version ?? 0,
    };
    const mark = { put: keys.machineRegistration, value: { machines: writes.length } };
    const room = this.state.txnOps - 1;
    await this.state.compareAndSwap([guard, registration], [mark, ...writes.slice(0, room)], "ownership");
  }

  /** One page a pass: of a list that is under way, or of a new one now and then. */
  private async readList(now: number): Promise<void> {
    const spacing = Math.max(2 * this.settings.cloud.listLagMs, 10 * this.operator.passSpacingMs);
    const underWay = this.listing.isInProgress(now);
    if ((!underWay && now - this.lastListAt < spacing) || !this.cloud.tryAcquireCall()) return;
    if (!underWay) this.lastListAt = now;
    const page = await this.cloud.listMachines(this.listing.after);
    const all = this.listing.addPage(page.machines, page.more, now);
    if (all === null) return;
    this.noteUnregistered(all, now);
    this.noteMissing(all, now);
  }

  private noteUnregistered(all: ListedMachine[], now: number): void {
    const lag = this.settings.cloud.listLagMs;
    for (const [host, at] of this.returned) if (now - at > 6 * lag) this.returned.delete(host);
    // A new leader does not know what its predecessor gave back; lists show such machines for a while.
    if (this.leadingSince === null || now - this.leadingSince < 6 * lag) return;
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
      if (record === undefined || record.draining) continue;
      gone.set(record.shard, [...(gone.get(record.shard) ?? []), host]);
    }
    for (const [shard, hosts] of gone) void this.drainMachines({ shard, hosts });
  }
}
