/** Rental orders: each is recorded before it is sent, and its machines before they count. */
import { keys, prefixes } from "../state/keys.js";
import type { Condition } from "../wire/index.js";
import type { AutoscalerDependencies } from "./autoscaler-dependencies.js";
import { machineGroupWrites } from "./machine-group-writes.js";
import type { MachineTypeCache } from "./machine-type-cache.js";
import type { PoolRefusals } from "./pool-refusals.js";
import { readRentalOrder, toRentalOrderRecord, type RentalOrderRecord } from "./rental-order-record.js";
import type { RentalPlan } from "./rental-plan.js";

/** The usual boot time of a machine type that no record describes. */
const DEFAULT_BOOT_MS = 30_000;

/** What rental orders are made from. */
export interface RentalOrdersDependencies extends Pick<
  AutoscalerDependencies,
  "settings" | "cloud" | "state" | "view" | "fleet" | "clock" | "log"
> {
  readonly machineTypes: MachineTypeCache;
  readonly refusals: PoolRefusals;
}

/** An order whose record is in the state store. */
interface RecordedOrder {
  /** Under which the cloud rents nothing twice. */
  name: string;
  /** The version of its record. */
  version: number;
  record: RentalOrderRecord;
}

/** Records rental orders, sends them and records the machines that they bring. */
export class RentalOrders {
  constructor(private readonly dependencies: RentalOrdersDependencies) {}

  /** Records an order and sends it; the caller has acquired the call to the cloud. */
  async place(leaderCondition: Condition, plan: RentalPlan): Promise<void> {
    const { state, log } = this.dependencies;
    const record = toRentalOrderRecord(plan, Date.now());
    // A name must never come twice, from any process.
    const name = `fp-${crypto.randomUUID()}`;
    const result = await state.compareAndSwap(
      [leaderCondition],
      [{ put: keys.rentalOrder(name), value: record }],
      "ownership",
    );
    if (!result.ok) return;
    log.info({ order: name, ...plan }, "rental order recorded");
    await this.send(leaderCondition, { name, version: result.revision, record });
  }

  /**
   * Sends an order whose response never came again under its name, which rents nothing twice.
   *
   * @returns whether there is such an order, also if no call to the cloud is allowed now
   */
  async resume(leaderCondition: Condition): Promise<boolean> {
    const { cloud, state, view } = this.dependencies;
    const entry = view.list(prefixes.rentalOrders)[0];
    if (entry === undefined) return false;
    if (!cloud.tryAcquireCall()) return true;
    const record = readRentalOrder(entry.value);
    const name = entry.key.slice(prefixes.rentalOrders.length);
    if (record === null) await state.compareAndSwap([leaderCondition], [{ remove: entry.key }], "ownership");
    else await this.send(leaderCondition, { name, version: entry.version, record });
    return true;
  }

  private async send(leaderCondition: Condition, order: RecordedOrder): Promise<void> {
    const { cloud, log } = this.dependencies;
    const { name, record } = order;
    const rental = await cloud.rentMachines({ ...record, name });
    const hosts = rental.kind === "rented" ? rental.hosts : [];
    log.info(
      { order: name, result: rental.kind, wanted: record.count, got: hosts.length },
      "rental order completed",
    );
    this.recordOutcome(record, hosts.length);
    await this.recordMachines(leaderCondition, order, hosts);
  }

  private recordOutcome(order: RentalOrderRecord, rentedCount: number): void {
    const { refusals, machineTypes, clock } = this.dependencies;
    if (rentedCount >= order.count) refusals.recordSuccess(order);
    else refusals.recordRefusal(order, machineTypes.recordedBootMs(order.type) ?? DEFAULT_BOOT_MS, clock());
  }

  private async recordMachines(
    leaderCondition: Condition,
    { name, version, record }: RecordedOrder,
    hosts: string[],
  ): Promise<void> {
    const { settings, state, fleet } = this.dependencies;
    const { type, zone, spot, parts } = record;
    const newHosts = hosts.filter((host) => fleet.get(host) === undefined);
    const groups = parts.flatMap(({ shard, count }) =>
      machineGroupWrites(newHosts.splice(0, count), { shard, type, zone, spot }, settings.state.valueBytes),
    );
    // The order is still there, as it was sent: a late copy of this write brings no machine back.
    const conditions = [leaderCondition, { key: keys.rentalOrder(name), version }];
    // Machines past what one write holds are in no record: they are registered once their heartbeats come.
    const writes = [...groups.slice(0, state.maxTransactionWrites - 1), { remove: keys.rentalOrder(name) }];
    await state.compareAndSwap(conditions, writes, "ownership");
  }
}
