/** Registers machines that have no record, such as those of a late rental or those that existed from the start. */
import { poolKey, type InstancePool } from "../cloud/instance-pool.js";
import type { Condition, Heartbeat } from "../wire/index.js";
import type { AutoscalerDependencies } from "./autoscaler-dependencies.js";
import type { MachineRecordCreator, NewMachines } from "./machine-record-creator.js";
import type { ReturnedMachines } from "./returned-machines.js";
import type { UnregisteredMachines } from "./unregistered-machines.js";

/** Dependencies of machine registration. */
export interface MachineRegistrationDependencies extends Pick<
  AutoscalerDependencies,
  "settings" | "fleet" | "clock" | "log"
> {
  readonly recordCreator: MachineRecordCreator;
  readonly unregisteredMachines: UnregisteredMachines;
  readonly returnedMachines: ReturnedMachines;
}

/** Collects machines that have no record, assigns them to shards and records them. */
export class MachineRegistration {
  private readonly poolsByHost = new Map<string, InstancePool>();

  constructor(private readonly dependencies: MachineRegistrationDependencies) {}

  /** Handles the heartbeat of a machine that has no record, and adds the machine once its existence is confirmed. */
  receiveHeartbeat(heartbeat: Heartbeat): void {
    const { unregisteredMachines, returnedMachines, clock } = this.dependencies;
    const { host, type, zone, spot } = heartbeat;
    if (returnedMachines.has(host) || !unregisteredMachines.confirm(heartbeat, clock())) return;
    this.add(host, { type, zone, spot });
  }

  /** Adds a machine to those that the next pass records. */
  add(host: string, pool: InstancePool): void {
    this.poolsByHost.set(host, pool);
  }

  /**
   * Records the machines added since the last pass, up to the transaction limit; the others are dropped and added again
   * by later heartbeats or lists.
   *
   * @throws {StateStoreError} if the state store returns no usable response
   */
  async register(leaderCondition: Condition): Promise<void> {
    const { recordCreator, log } = this.dependencies;
    const machines = this.assignToShards();
    this.poolsByHost.clear();
    if (machines.length === 0) return;
    log.info({ hosts: machines.flatMap(({ hosts }) => hosts) }, "registering machines");
    await recordCreator.create(machines, { conditions: [leaderCondition], writes: [] });
  }

  /** Assigns each machine to the shard with the fewest machines, and groups the machines by shard and pool. */
  private assignToShards(): NewMachines[] {
    const { recordCreator, returnedMachines } = this.dependencies;
    const machineCounts = this.countMachinesByShard();
    const groups = new Map<string, NewMachines>();
    for (const [host, pool] of this.poolsByHost) {
      if (recordCreator.isRecorded(host) || returnedMachines.has(host)) continue;
      const shard = machineCounts.indexOf(Math.min(...machineCounts));
      machineCounts[shard]!++;
      const key = `${shard}/${poolKey(pool)}`;
      const group = groups.get(key);
      if (group) group.hosts.push(host);
      else groups.set(key, { attributes: { ...pool, shard }, hosts: [host] });
    }
    return [...groups.values()];
  }

  private countMachinesByShard(): number[] {
    const { settings, fleet } = this.dependencies;
    const counts = Array.from({ length: settings.controllers }, () => 0);
    for (const [, machine] of fleet.all()) counts[machine.shard] = (counts[machine.shard] ?? 0) + 1;
    return counts;
  }
}
