/** Returns drained machines to the cloud. */
import { MAX_RETURN, type Condition } from "../wire/index.js";
import type { AutoscalerDependencies } from "./autoscaler-dependencies.js";
import type { ReturnedMachines } from "./returned-machines.js";
import type { UnregisteredMachines } from "./unregistered-machines.js";

/** What returns are made from. */
export interface MachineReturnsDependencies extends Pick<
  AutoscalerDependencies,
  "cloud" | "state" | "fleet" | "clock" | "log"
> {
  readonly unregisteredMachines: UnregisteredMachines;
  readonly returnedMachines: ReturnedMachines;
}

/** Returns machines that their owners have marked as draining. */
export class MachineReturns {
  constructor(private readonly dependencies: MachineReturnsDependencies) {}

  /**
   * Returns drained machines; their records are removed once the cloud has confirmed that the machines are gone.
   *
   * @returns whether the cloud was called
   * @throws {CloudError} where the cloud does not answer
   * @throws {StateStoreError} where the state store does not answer
   */
  async returnDrained(leaderCondition: Condition): Promise<boolean> {
    const { cloud, state, fleet, log } = this.dependencies;
    // Only what one transaction takes out of the records: the rest would be returned again, pass after pass.
    const { hosts } = fleet.changeStage(this.drainedHosts(), null, state.txnOps);
    if (hosts.length === 0 || !cloud.tryAcquireCall()) return false;
    await cloud.returnMachines(hosts);
    this.recordReturn(hosts);
    log.info({ hosts }, "machines returned");
    const { conditions, writes } = fleet.changeStage(hosts, null, state.txnOps);
    // What has changed meanwhile is returned once more, which harms nobody, and removed then.
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
