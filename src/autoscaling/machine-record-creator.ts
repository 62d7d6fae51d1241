/**
 * Creates the first record of each machine, whichever code path learns of the machine first: its rental order's
 * response, its heartbeats or the cloud's list. Two transactions that are not computed from each other's outcome cannot
 * both succeed, so that no machine gets a second record.
 */
import { keys } from "../state/keys.js";
import type { Condition, Write } from "../wire/index.js";
import { maxMachinesPerGroup, type MachineGroup } from "../workers/machine-records.js";
import type { AutoscalerDependencies } from "./autoscaler-dependencies.js";

/** Dependencies of the creation of machine records. */
export type MachineRecordCreatorDependencies = Pick<
  AutoscalerDependencies,
  "settings" | "state" | "view" | "fleet" | "log"
>;

/** Machines of one instance pool that are assigned to one shard. */
export interface NewMachines {
  attributes: Omit<MachineGroup, "since" | "machines">;
  hosts: string[];
}

/** What the transaction that creates records requires and changes besides them. */
export interface AccompanyingChanges {
  conditions: Condition[];
  writes: Write[];
}

/** A machine group record to be created. */
interface NewGroup {
  key: string;
  value: MachineGroup;
}

/** Records new machines as booting. Only the leader does. */
export class MachineRecordCreator {
  /** The hosts that this process has recorded and its replica may not show yet. */
  private readonly unseenHosts = new Set<string>();
  /** The revision of the last creation by this process; 0 before the first one. */
  private lastRevision = 0;

  constructor(private readonly dependencies: MachineRecordCreatorDependencies) {}

  /** Whether a machine has a record, as far as this process knows: another process may have created one meanwhile. */
  isRecorded(host: string): boolean {
    const { fleet, view } = this.dependencies;
    if (view.revision >= this.lastRevision) this.unseenHosts.clear();
    return this.unseenHosts.has(host) || fleet.get(host) !== undefined;
  }

  /**
   * Records those of the machines that have no record, in one transaction with the accompanying changes. Machines that
   * exceed the transaction limit are left out; they are registered by their heartbeats.
   *
   * Guards against `ran_twice`: of a machine in two records, only one shows that it has reported, and an owner that goes
   * by the other does not wait for its tasks. The version required of the registration record is that on which
   * `isRecorded` is based, and every creation changes it. If the records have changed meanwhile, nothing is written.
   *
   * @throws {StateStoreError} if the state store returns no usable response
   */
  async create(machines: NewMachines[], accompanying: AccompanyingChanges): Promise<void> {
    const { state, log } = this.dependencies;
    const groups = this.newGroups(machines).slice(
      0,
      state.maxTransactionWrites - accompanying.writes.length - 1,
    );
    const hosts = groups.flatMap(({ value }) => Object.keys(value.machines));
    const conditions = [...accompanying.conditions];
    const writes: Write[] = [];
    if (hosts.length > 0) {
      conditions.push({ key: keys.machineRegistration, version: this.registrationVersion() });
      writes.push({ put: keys.machineRegistration, value: { machines: groups.length } });
    }
    writes.push(...groups.map(({ key, value }) => ({ put: key, value })), ...accompanying.writes);
    const result = await state.compareAndSwap(conditions, writes, "ownership");
    if (result.ok) this.remember(hosts, result.revision);
    else log.info({ hosts, failedKeys: result.failedKeys }, "machines not recorded: records have changed");
  }

  private newGroups(machines: NewMachines[]): NewGroup[] {
    const groupSize = maxMachinesPerGroup(this.dependencies.settings.state.valueBytes);
    const groups: NewGroup[] = [];
    for (const { attributes, hosts } of machines) {
      const newHosts = hosts.filter((host) => !this.isRecorded(host));
      for (let start = 0; start < newHosts.length; start += groupSize)
        groups.push(newGroup(attributes, newHosts.slice(start, start + groupSize)));
    }
    return groups;
  }

  /** The version of the registration record, either as in the replica or as last written by this process. */
  private registrationVersion(): number {
    return Math.max(this.dependencies.view.get(keys.machineRegistration)?.version ?? 0, this.lastRevision);
  }

  private remember(hosts: string[], revision: number): void {
    if (hosts.length === 0) return;
    this.lastRevision = revision;
    for (const host of hosts) this.unseenHosts.add(host);
  }
}

function newGroup(attributes: NewMachines["attributes"], hosts: string[]): NewGroup {
  const machines = Object.fromEntries(hosts.map((host) => [host, "booting" as const]));
  return {
    key: keys.machineGroup(crypto.randomUUID()),
    value: { ...attributes, since: Date.now(), machines },
  };
}
