/** The machine groups by key and by host. Of a machine that several groups name, one group's record counts. */
import { isLaterStage, machineRecordFrom, type MachineGroup, type MachineRecord } from "./machine-records.js";

/** A machine group as last read from its record. */
export interface KnownGroup {
  /** The version of the record. */
  version: number;
  group: MachineGroup;
}

/**
 * An index of machine groups. Each machine is named by one group; earlier versions could record a machine in two.
 * Guards against `ran_twice`: which of them counts must not depend on the order in which they are read, and a machine
 * that has reported according to any of them may run tasks.
 */
export class MachineGroupIndex {
  private readonly groups = new Map<string, KnownGroup>();
  private readonly keysByHost = new Map<string, string[]>();

  /** The group of a key; undefined if there is none. */
  get(key: string): KnownGroup | undefined {
    return this.groups.get(key);
  }

  /** The keys of all groups. */
  keys(): IterableIterator<string> {
    return this.groups.keys();
  }

  /** The keys of the groups that name a machine. */
  keysOf(host: string): readonly string[] {
    return this.keysByHost.get(host) ?? [];
  }

  /** Replaces a group; returns the hosts that it names or named before. */
  put(key: string, known: KnownGroup): Set<string> {
    const affected = this.delete(key);
    this.groups.set(key, known);
    for (const host of Object.keys(known.group.machines)) {
      affected.add(host);
      this.keysByHost.set(host, [...this.keysOf(host), key]);
    }
    return affected;
  }

  /** Removes a group; returns the hosts that it named. */
  delete(key: string): Set<string> {
    const hosts = Object.keys(this.groups.get(key)?.group.machines ?? {});
    this.groups.delete(key);
    for (const host of hosts) this.removeKey(host, key);
    return new Set(hosts);
  }

  /**
   * The record of a machine: that of the group in which it is in the latest stage, and of equal ones that with the first
   * key. Undefined if no group names the machine.
   */
  recordOf(host: string): MachineRecord | undefined {
    const [first, ...others] = this.keysOf(host);
    if (first === undefined) return undefined;
    const key = others.reduce((best, other) => (this.precedes(host, other, best) ? other : best), first);
    return machineRecordFrom(key, this.groups.get(key)!.group, host);
  }

  private precedes(host: string, key: string, other: string): boolean {
    const stage = this.groups.get(key)!.group.machines[host]!;
    const otherStage = this.groups.get(other)!.group.machines[host]!;
    return stage === otherStage ? key < other : isLaterStage(stage, otherStage);
  }

  private removeKey(host: string, key: string): void {
    const others = this.keysOf(host).filter((other) => other !== key);
    if (others.length > 0) this.keysByHost.set(host, others);
    else this.keysByHost.delete(host);
  }
}
