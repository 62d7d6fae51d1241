/** Returns drained machines to the cloud. */
import { MAX_RETURN, type Condition } from "../wire/index.js";
import type { AutoscalerDependencies } from "./autoscaler-dependencies.js";
import type { ReturnedMachines } from "./returned-machines.js";
import type { UnregisteredMachines } from "./unregistered-machines.js";

/** Dependencies of machine returns. */
export interface MachineReturnsDependencies extends Pick<
  AutoscalerDependencies,
  "cloud" | "state" | "fleet" | "clock" | "log"
> {
  readonly unregisteredMachines: UnregisteredMachines;
  readonly returnedMachines: ReturnedMachines;
}

/** Returns machines whose records mark them as draining, and removes the records. */
export class MachineReturns {
  constructor(private readonly dependencies: MachineReturnsDependencies) {}

  /**
   * Returns drained machines, and removes their records once the cloud has confirmed that the machines are gone.
   *
   * @returns whether the cloud was called
   * @throws {CloudError} if the cloud returns no usable response
   * @throws {StateStoreError} if the state store returns no usable response
   */
  async returnDrained(leaderCondition: Condition): Promise<boolean> {
    const { cloud, state, fleet, log } = this.dependencies;
    // Limited to what one transaction can remove from the records: any others would be returned again in every pass.
    const { hosts } = fleet.removeMachines(this.drainedHosts(), state.maxTransactionWrites);
    if (hosts.length === 0 || !cloud.tryAcquireCall()) return false;
    await cloud.returnMachines(hosts);
    this.recordReturn(hosts);
    log.info({ hosts }, "machines returned");
    const { conditions, writes } = fleet.removeMachines(hosts, state.maxTransactionWrites);
    // Machines whose records changed meanwhile are returned again by a later pass, which is harmless, and removed then.
    await state.compareAndSwap([leaderCondition, ...conditions], writes, "ownership");
    return true;
  }

  private drainedHosts(): string[] {
    return [...this.dependencies.fleet.all()]
      .filter(([, machine]) => machine.isDraining)
      .slice(0, MAX_RETURN)
      .map(([host]) => host);
  }

  private recordReturn(hosts: string[]): void {
    const { clock, returnedMachines, unregisteredMachines } = this.dependencies;
    for (const host of hosts) {
      returnedMachines.add(host, clock());
      unregisteredMachines.forget(host);
    }
  }
}
