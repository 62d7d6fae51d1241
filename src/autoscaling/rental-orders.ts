/** Rental orders: each is recorded before it is sent, and its machines are recorded before they are used. */
import { keys, prefixes } from "../state/keys.js";
import type { Condition } from "../wire/index.js";
import type { AutoscalerDependencies } from "./autoscaler-dependencies.js";
import type { MachineRecordCreator, NewMachines } from "./machine-record-creator.js";
import type { MachineTypeCache } from "./machine-type-cache.js";
import type { PoolRefusals } from "./pool-refusals.js";
import { decodeRentalOrder, toRentalOrderRecord, type RentalOrderRecord } from "./rental-order-record.js";
import type { RentalPlan } from "./rental-plan.js";
import { DEFAULT_BOOT_S } from "./scaling-view.js";

/** Dependencies of rental orders. */
export interface RentalOrdersDependencies extends Pick<
  AutoscalerDependencies,
  "cloud" | "state" | "view" | "clock" | "log"
> {
  readonly recordCreator: MachineRecordCreator;
  readonly machineTypes: MachineTypeCache;
  readonly refusals: PoolRefusals;
}

/** An order whose record is in the state store. */
interface RecordedOrder {
  /** Idempotency key: the cloud executes an order of this name only once. */
  name: string;
  /** The version of the order's record. */
  version: number;
  record: RentalOrderRecord;
}

/** Records rental orders, sends them and records the machines rented. */
export class RentalOrders {
  constructor(private readonly dependencies: RentalOrdersDependencies) {}

  /**
   * Records an order and sends it; the caller must have acquired the call to the cloud.
   *
   * @throws {CloudError} if the cloud returns no usable response
   * @throws {StateStoreError} if the state store returns no usable response
   */
  async place(leaderCondition: Condition, plan: RentalPlan): Promise<void> {
    const { state, log } = this.dependencies;
    const record = toRentalOrderRecord(plan, Date.now());
    // Must be unique across all processes: the cloud executes only one order of each name.
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
   * Sends a recorded order again if its machines have not been recorded, for example because the response was lost. The
   * name is the same, so that no machine is rented twice. A malformed record is removed.
   *
   * @returns whether there is such an order, even if the rate limit permits no call to the cloud now
   * @throws {CloudError} if the cloud returns no usable response
   * @throws {StateStoreError} if the state store returns no usable response
   */
  async resume(leaderCondition: Condition): Promise<boolean> {
    const { cloud, state, view } = this.dependencies;
    const entry = view.list(prefixes.rentalOrders)[0];
    if (entry === undefined) return false;
    if (!cloud.tryAcquireCall()) return true;
    const record = decodeRentalOrder(entry.value);
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
    else
      refusals.recordRefusal(
        order,
        machineTypes.recordedBootMs(order.type) ?? DEFAULT_BOOT_S * 1000,
        clock(),
      );
  }

  /** Records the machines rented. If that fails, the order remains recorded, and a later pass resumes it. */
  private async recordMachines(
    leaderCondition: Condition,
    { name, version, record }: RecordedOrder,
    hosts: string[],
  ): Promise<void> {
    const { recordCreator } = this.dependencies;
    const { type, zone, spot, parts } = record;
    const newHosts = hosts.filter((host) => !recordCreator.isRecorded(host));
    const machines: NewMachines[] = parts.map(({ shard, count }) => ({
      attributes: { shard, type, zone, spot },
      hosts: newHosts.splice(0, count),
    }));
    // The order's record must be unchanged, so that a delayed copy of this write cannot restore removed machines.
    const conditions = [leaderCondition, { key: keys.rentalOrder(name), version }];
    await recordCreator.create(machines, { conditions, writes: [{ remove: keys.rentalOrder(name) }] });
  }
}
