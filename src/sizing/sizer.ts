/**
 * The actor that sizes while this process leads: it collects the owners' summaries and makes passes, each with at
 * most one call to the cloud. An order is recorded before it is sent, and its machines before they count.
 */
import { randomUUID } from "node:crypto";
import { z } from "zod";
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
import { MAX_RETURN, type Guard, type ListedMachine, type MachineType, type Write } from "../wire/index.js";
import { readMachine, type MachineRecord } from "../workers/records.js";
import {
  decideSizing,
  marketKey,
  type Known,
  type Leave,
  type Market,
  type Move,
  type Order,
} from "./size.js";

const orderSchema = z.object({
  share: z.int(),
  type: z.string(),
  zone: z.string(),
  spot: z.boolean(),
  count: z.int().positive(),
  since: z.number(),
});
type OrderRecord = z.infer<typeof orderSchema>;

export type SizerMessage =
  | { kind: "summary"; summary: Summary; reply: (accepted: boolean) => void }
  | { kind: "unknown_machine"; host: string; type: string; zone: string; spot: boolean }
  | { kind: "tick" }
  | { kind: "pass_over" };

export interface SizerHooks {
  /** The version of the record that makes this process the leader, or null. */
  leadership(): number | null;
  /** Asks the owner of a share, this process included. */
  askOwner(share: number, request: PeerRequest): Promise<PeerReply>;
}

interface Refusal {
  until: number;
  pauseMs: number;
}

export class Sizer extends Actor<SizerMessage> {
  private readonly summaries: { summary: Summary; at: number }[] = [];
  private readonly refusals = new Map<string, Refusal>();
  private readonly strangers = new Map<string, Omit<MachineRecord, "drain" | "since" | "share" | "up">>();
  /** Hosts given back lately: the lists go on showing them for a while. */
  private readonly returned = new Map<string, number>();
  /** Hosts that a list of this term has shown, and when a list first missed them again. */
  private readonly listed = new Map<string, { missingSince: number | null }>();
  private ledSince: number | null = null;
  private passing = false;
  private lastPass = -Infinity;
  private lastTypes = -Infinity;
  private lastList = -Infinity;
  private prices: MachineType[] | null = null;

  constructor(
    private readonly settings: Settings,
    private readonly operator: OperatorSettings,
    private readonly cloud: CloudClient,
    private readonly state: StateClient,
    private readonly view: ReplicaView,
    private readonly clock: SteadyClock,
    private readonly hooks: SizerHooks,
    log: Logger,
  ) {
    super(log);
  }

  protected override receive(message: SizerMessage): void {
    switch (message.kind) {
      case "summary":
        this.summaries[message.summary.share] = { summary: message.summary, at: this.clock() };
        message.reply(this.hooks.leadership() !== null);
        return;
      case "unknown_machine": {
        const { host, type, zone, spot } = message;
        if (this.strangers.size < MAX_RETURN) this.strangers.set(host, { type, zone, spot });
        return;
      }
      case "tick":
        this.pass();
        return;
      case "pass_over":
        this.passing = false;
        return;
    }
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
    this.passOnce(leads, now)
      .catch((err: Error) => {
        const expected = err instanceof CloudFailure || err instanceof StateFailure;
        if (expected) this.log.debug({ err: err.message }, "pass cut short");
        else this.log.error({ err }, "pass failed");
      })
      .finally(() => this.tell({ kind: "pass_over" }));
  }

  private beginTerm(now: number): void {
    this.ledSince = now;
    this.summaries.length = 0;
    this.listed.clear();
    this.returned.clear();
    this.refusals.clear();
  }

  private async passOnce(leads: number, now: number): Promise<void> {
    const guard: Guard = { key: keys.leader, version: leads };
    await this.adoptStrangers(guard);
    if (await this.refreshTypes(guard, now)) return;
    const types = this.prices ?? this.recordedTypes();
    if (types.length === 0) return;
    const { order, move, drain } = decideSizing({
      types,
      summaries: Array.from({ length: this.settings.controllers }, (_, n) => this.freshSummary(n, now)),
      machines: this.machines(),
      wallNow: Date.now(),
      refused: (market) => (this.refusals.get(marketKey(market))?.until ?? -Infinity) > now,
      caps: this.operator,
      leaseMs: this.settings.workers.leaseMs,
    });
    if (move !== null) await this.move(move);
    if (drain !== null) await this.drain(drain);
    // One call to the cloud a pass: what is under way first, then orders, then returns, then a look at the list.
    if (await this.resumeOrders(guard)) return;
    if (order !== null && this.cloud.mayCall()) return this.place(guard, order);
    if (await this.giveBack(guard)) return;
    await this.readList(now);
  }

  private machines(): Known[] {
    const known: Known[] = [];
    for (const entry of this.view.under(prefixes.machines)) {
      const record = readMachine(entry.value);
      if (record !== null) known.push({ ...record, host: entry.key.slice(prefixes.machines.length) });
    }
    return known;
  }

  private recordedTypes(): MachineType[] {
    return this.view.under(prefixes.types).map((entry) => entry.value as MachineType);
  }

  /** Summaries of owners that have gone quiet say nothing any more. */
  private freshSummary(share: number, now: number): Summary | undefined {
    const known = this.summaries[share];
    return known !== undefined && now - known.at < 4 * this.operator.passSpacingMs
      ? known.summary
      : undefined;
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
      await this.state.commit([guard], [{ put: keys.type(type.name), value: type }]);
    }
    return true;
  }

  private async place(guard: Guard, order: Order): Promise<void> {
    const record: OrderRecord = { ...order, since: Date.now() };
    // A name must never come twice, from any process.
    const name = `fp-${randomUUID()}`;
    const commit = await this.state.commit([guard], [{ put: keys.order(name), value: record }]);
    if (!commit.ok) return;
    this.log.info({ order: name, ...order }, "ordering");
    await this.send(guard, name, record);
  }

  /** Orders whose answer never came are sent again under their name, which rents nothing twice. */
  private async resumeOrders(guard: Guard): Promise<boolean> {
    const entry = this.view.under(prefixes.orders)[0];
    if (entry === undefined || !this.cloud.mayCall()) return entry !== undefined;
    const record = orderSchema.safeParse(entry.value);
    const name = entry.key.slice(prefixes.orders.length);
    if (record.success) await this.send(guard, name, record.data);
    else await this.state.commit([guard], [{ remove: entry.key }]);
    return true;
  }

  private async send(guard: Guard, name: string, order: OrderRecord): Promise<void> {
    const rental = await this.cloud.rent({ ...order, name });
    const hosts = rental.kind === "rented" ? rental.hosts : [];
    this.log.info(
      { order: name, result: rental.kind, wanted: order.count, got: hosts.length },
      "order answered",
    );
    this.noteRefusal(order, hosts.length < order.count);
    const { share, type, zone, spot } = order;
    const value: MachineRecord = { share, type, zone, spot, since: Date.now(), drain: false, up: false };
    const fresh = hosts.filter((host) => !this.view.get(keys.machine(host)));
    const writes: Write[] = [
      ...fresh.map((h) => ({ put: keys.machine(h), value })),
      { remove: keys.order(name) },
    ];
    for (let i = 0; i < writes.length; i += this.state.txnOps) {
      const part = writes.slice(i, i + this.state.txnOps);
      // The order is still there and each machine new: a late copy of this write changes nothing.
      const guards = part.flatMap((w) => ("put" in w ? [{ key: w.put, version: 0 }] : []));
      const commit = await this.state.commit([guard, ...guards], part);
      if (!commit.ok) return;
    }
  }

  private noteRefusal(market: Market, refused: boolean): void {
    const key = marketKey(market);
    if (!refused) return void this.refusals.delete(key);
    const bootMs = (this.recordedTypes().find((t) => t.name === market.type)?.bootS ?? 30) * 1000;
    const pauseMs = Math.min((this.refusals.get(key)?.pauseMs ?? bootMs / 4) * 2, bootMs * 4);
    this.refusals.set(key, { until: this.clock() + pauseMs, pauseMs });
  }

  private async move(move: Move): Promise<void> {
    const { share, to, hosts } = move;
    await this.hooks.askOwner(share, { give: { share, to, hosts } }).catch(() => undefined);
  }

  private async drain(drain: Leave): Promise<void> {
    await this.hooks.askOwner(drain.share, { drain }).catch(() => undefined);
  }

  /** Returns what its owners have marked; the record goes once the cloud has said that the machine is gone. */
  private async giveBack(guard: Guard): Promise<boolean> {
    const marked = this.machines().filter((m) => m.drain);
    const hosts = marked.slice(0, MAX_RETURN).map((m) => m.host);
    if (hosts.length === 0 || !this.cloud.mayCall()) return false;
    await this.cloud.giveBack(hosts);
    for (const host of hosts) this.returned.set(host, this.clock());
    this.log.info({ hosts }, "machines returned");
    for (let i = 0; i < hosts.length; i += this.state.txnOps) {
      const part = hosts.slice(i, i + this.state.txnOps);
      await this.state.commit(
        [guard],
        part.map((host) => ({ remove: keys.machine(host) })),
      );
    }
    return true;
  }

  /** Machines that report or are listed although no record names them: a late order, or there from the start. */
  private async adoptStrangers(guard: Guard): Promise<void> {
    const machines = this.machines();
    const known = new Set(machines.map((m) => m.host));
    const load = Array.from(
      { length: this.settings.controllers },
      (_, n) => machines.filter((m) => m.share === n).length,
    );
    const writes: Write[] = [];
    const guards: Guard[] = [guard];
    for (const [host, machine] of this.strangers) {
      if (known.has(host) || this.returned.has(host)) {
        this.strangers.delete(host);
        continue;
      }
      if (writes.length >= this.state.txnOps) break;
      const share = load.indexOf(Math.min(...load));
      load[share]!++;
      const value: MachineRecord = { ...machine, share, since: Date.now(), drain: false, up: false };
      writes.push({ put: keys.machine(host), value });
      guards.push({ key: keys.machine(host), version: 0 });
      this.strangers.delete(host);
    }
    if (writes.length === 0) return;
    this.log.info({ hosts: guards.slice(1).map((g) => g.key) }, "adopting machines");
    await this.state.commit(guards, writes);
  }

  private async readList(now: number): Promise<void> {
    const lag = this.settings.cloud.listLagMs;
    if (now - this.lastList < Math.max(2 * lag, 10 * this.operator.passSpacingMs) || !this.cloud.mayCall())
      return;
    this.lastList = now;
    const all: ListedMachine[] = [];
    for (let more = true, after: string | undefined; more;) {
      const page = await this.cloud.list(after);
      all.push(...page.machines);
      after = page.machines.at(-1)?.host;
      more = page.more && after !== undefined && this.cloud.mayCall();
      // A list that was cut short by the budget says nothing about who is missing.
      if (page.more && !more) return this.adoptListed(all, now);
    }
    this.adoptListed(all, now);
    this.noteMissing(all, now);
  }

  private adoptListed(all: ListedMachine[], now: number): void {
    const lag = this.settings.cloud.listLagMs;
    for (const [host, at] of this.returned) if (now - at > 6 * lag) this.returned.delete(host);
    // A new leader does not know what its predecessor gave back; lists show such machines for a while.
    if (this.ledSince === null || now - this.ledSince < 6 * lag) return;
    for (const m of all) {
      if (this.view.get(keys.machine(m.host)) || this.returned.has(m.host) || m.ageS * 1000 < 2 * lag)
        continue;
      if (this.strangers.size < MAX_RETURN)
        this.strangers.set(m.host, { type: m.type, zone: m.zone, spot: m.spot });
    }
  }

  /** Machines that the lists have dropped, twice and for longer than a list may be old, are gone. */
  private noteMissing(all: ListedMachine[], now: number): void {
    const live = new Set(all.filter((m) => m.state !== "failed").map((m) => m.host));
    for (const host of live) this.listed.set(host, { missingSince: null });
    const gone: Leave[] = [];
    for (const [host, seen] of this.listed) {
      if (live.has(host)) continue;
      const record = readMachine(this.view.get(keys.machine(host))?.value);
      if (record === null) {
        this.listed.delete(host);
        continue;
      }
      seen.missingSince ??= now;
      if (now - seen.missingSince >= 2 * this.settings.cloud.listLagMs && !record.drain)
        gone.push({ share: record.share, hosts: [host] });
    }
    for (const leave of gone) void this.drain(leave);
  }
}
