/** Reconciles the rented machines with the demand of the shards. */
import { keys } from "../state/keys.js";
import type { Condition, MachineType } from "../wire/index.js";
import type { AutoscalerDependencies } from "./autoscaler-dependencies.js";
import { MachineListReader } from "./machine-list-reader.js";
import { MachineRecordCreator } from "./machine-record-creator.js";
import { MachineRegistration } from "./machine-registration.js";
import { MachineReturns } from "./machine-returns.js";
import { MachineTypeCache } from "./machine-type-cache.js";
import { PoolRefusals } from "./pool-refusals.js";
import { RentalOrders } from "./rental-orders.js";
import type { RentalPlan } from "./rental-plan.js";
import { ReturnedMachines } from "./returned-machines.js";
import { decideScaling, type ScalingActions } from "./scaling-policy.js";
import { ShardRequests } from "./shard-requests.js";
import { SummaryStore } from "./summary-store.js";
import { UnregisteredMachines } from "./unregistered-machines.js";

/** Runs reconciliation passes, each with at most one call to the cloud. */
export class Reconciler {
  /** The latest summaries received from the owners. */
  readonly summaries: SummaryStore;
  /** Registers machines that have no record. */
  readonly registration: MachineRegistration;
  private readonly refusals = new PoolRefusals();
  private readonly returnedMachines = new ReturnedMachines();
  private readonly machineTypes: MachineTypeCache;
  private readonly shardRequests: ShardRequests;
  private readonly rentalOrders: RentalOrders;
  private readonly machineReturns: MachineReturns;
  private readonly listReader: MachineListReader;

  constructor(private readonly dependencies: AutoscalerDependencies) {
    const { settings, operator, view, fleet, callbacks } = dependencies;
    const { refusals, returnedMachines } = this;
    const minHeartbeatGapMs = settings.workers.heartbeatIntervalMs / 2;
    const unregisteredMachines = new UnregisteredMachines(minHeartbeatGapMs, operator.maxMachines);
    this.summaries = new SummaryStore(view, fleet, operator.passSpacingMs);
    this.machineTypes = new MachineTypeCache(dependencies);
    this.shardRequests = new ShardRequests(callbacks, operator.passSpacingMs);
    const recordCreator = new MachineRecordCreator(dependencies);
    this.registration = new MachineRegistration({
      ...dependencies,
      recordCreator,
      unregisteredMachines,
      returnedMachines,
    });
    this.rentalOrders = new RentalOrders({
      ...dependencies,
      recordCreator,
      machineTypes: this.machineTypes,
      refusals,
    });
    this.machineReturns = new MachineReturns({ ...dependencies, unregisteredMachines, returnedMachines });
    this.listReader = new MachineListReader({
      ...dependencies,
      registration: this.registration,
      returnedMachines,
      drainMachines: (selection) => this.shardRequests.drainMachines(selection),
    });
  }

  /** Starts a term as leader, and discards the state of earlier terms because it may be outdated. */
  beginTerm(now: number): void {
    this.listReader.beginTerm(now);
    this.summaries.clear();
    this.returnedMachines.clear();
    this.refusals.clear();
  }

  /** Ends the term as leader. */
  endTerm(): void {
    this.listReader.endTerm();
  }

  /**
   * Runs one pass. Every write to the state store requires that the leader record is unchanged.
   *
   * @param leaderVersion the version of the leader record that names this process
   * @param now steady time, in milliseconds
   * @throws {CloudError} if the cloud returns no usable response
   * @throws {StateStoreError} if the state store returns no usable response
   */
  async reconcile(leaderVersion: number, now: number): Promise<void> {
    const leaderCondition: Condition = { key: keys.leader, version: leaderVersion };
    await this.registration.register(leaderCondition);
    if (await this.machineTypes.refresh(leaderCondition, now)) return;
    const types = this.machineTypes.types();
    if (types.length === 0) return;
    const actions = this.decide(types, now);
    await this.shardRequests.send(actions, now);
    await this.callCloud(leaderCondition, actions.rentalPlan, now);
  }

  private decide(types: MachineType[], now: number): ScalingActions {
    const { settings, operator, fleet } = this.dependencies;
    return decideScaling({
      types,
      summaries: Array.from({ length: settings.controllers }, (_, shard) =>
        this.summaries.latest(shard, now),
      ),
      machines: Array.from(fleet.all(), ([host, record]) => ({ ...record, host })),
      wallNow: Date.now(),
      isInBackoff: (pool) => this.refusals.isInBackoff(pool, now),
      caps: operator,
      leaseMs: settings.workers.leaseMs,
    });
  }

  /** Makes the pass's call to the cloud, in order of precedence: pending orders, a new order, returns, listing. */
  private async callCloud(
    leaderCondition: Condition,
    rentalPlan: RentalPlan | null,
    now: number,
  ): Promise<void> {
    const { cloud, callbacks } = this.dependencies;
    // No order is recorded while it cannot be sent; reading the types shows when the cloud is reachable again.
    if (!callbacks.canCallCloud()) return this.machineTypes.probeCloud();
    if (await this.rentalOrders.resume(leaderCondition)) return;
    if (rentalPlan !== null && cloud.tryAcquireCall())
      return this.rentalOrders.place(leaderCondition, rentalPlan);
    if (await this.machineReturns.returnDrained(leaderCondition)) return;
    await this.listReader.readPage(now);
  }
}
