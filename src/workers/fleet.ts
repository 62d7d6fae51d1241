/** The rented machines by host, as read from the machine group records, and the writes that change these records. */
import type { Logger } from "../runtime/log.js";
import { keys, prefixes } from "../state/keys.js";
import type { ReplicaView } from "../state/replica.js";
import type { RecordChange, Condition, Write } from "../wire/index.js";
import { MachineGroupIndex } from "./machine-group-index.js";
import { decodeMachineGroup, type MachineRecord, type MachineStage } from "./machine-records.js";

/** A conditional change of machine group records, and the machines that it affects. */
export interface FleetChange {
  /** Conditions that the records are unchanged since the writes were computed. */
  conditions: Condition[];
  writes: Write[];
  /** The machines that the writes change. */
  hosts: string[];
}

/** All rented machines, as recorded in the state store. */
export class Fleet {
  private readonly groups = new MachineGroupIndex();
  private readonly machines = new Map<string, MachineRecord>();

  constructor(private readonly log: Logger) {}

  /** The record of one machine; undefined if there is none. */
  get(host: string): MachineRecord | undefined {
    return this.machines.get(host);
  }

  /** All machines with their hosts. */
  all(): IterableIterator<[string, MachineRecord]> {
    return this.machines.entries();
  }

  /** The number of machines. */
  get size(): number {
    return this.machines.size;
  }

  /** Applies changed records. `changes` is null if any record may have changed: all of them are then read again. */
  applyChanges(view: ReplicaView, changes: RecordChange[] | null): void {
    if (changes === null) {
      for (const key of [...this.groups.keys()]) if (view.get(key) === undefined) this.dropGroup(key);
      changes = view.list(prefixes.machineGroups);
    }
    for (const change of changes) if (change.key.startsWith(prefixes.machineGroups)) this.applyGroup(change);
  }

  private applyGroup(change: RecordChange): void {
    if (change.value === undefined) {
      this.dropGroup(change.key);
      return;
    }
    const group = decodeMachineGroup(change.value);
    // An unreadable record proves nothing about its machines, so their last known state is kept.
    if (group === null) {
      this.log.error({ key: change.key }, "unreadable machine group record; keeping the last known state");
      return;
    }
    this.updateMachines(this.groups.put(change.key, { version: change.version, group }));
  }

  private dropGroup(key: string): void {
    this.updateMachines(this.groups.delete(key));
  }

  private updateMachines(hosts: Iterable<string>): void {
    for (const host of hosts) {
      const record = this.groups.recordOf(host);
      if (record === undefined) this.machines.delete(host);
      else this.machines.set(host, record);
    }
  }

  /**
   * Builds the writes that change the stage of machines, or that remove them from their records if `stage` is null:
   * one write for each group, conditional on the group being unchanged. Groups beyond `maxWrites` writes are left out.
   */
  changeStage(hosts: string[], stage: MachineStage | null, maxWrites: number): FleetChange {
    const change: FleetChange = { conditions: [], writes: [], hosts: [] };
    for (const [key, members] of this.hostsByGroup(hosts)) {
      if (change.writes.length >= maxWrites) break;
      const { version, group } = this.groups.get(key)!;
      const others = Object.entries(group.machines).filter(([host]) => !members.includes(host));
      const changed = stage === null ? [] : members.map((host) => [host, stage] as const);
      const machines = Object.fromEntries([...others, ...changed]);
      change.conditions.push({ key, version });
      const isEmpty = Object.keys(machines).length === 0;
      change.writes.push(isEmpty ? { remove: key } : { put: key, value: { ...group, machines } });
      change.hosts.push(...members);
    }
    return change;
  }

  /**
   * Builds the writes that transfer machines to another shard, by moving them from their groups to new ones. Groups
   * beyond `maxWrites` writes are left out.
   *
   * @param newGroupName returns a group name that has never been used before
   */
  transferToShard(
    hosts: string[],
    shard: number,
    newGroupName: () => string,
    maxWrites: number,
  ): FleetChange {
    const change: FleetChange = { conditions: [], writes: [], hosts: [] };
    for (const [key, members] of this.hostsByGroup(hosts)) {
      if (change.writes.length + 2 > maxWrites) break;
      const removal = this.changeStage(members, null, 1);
      const { group } = this.groups.get(key)!;
      const machines = Object.fromEntries(members.map((host) => [host, group.machines[host]!]));
      const newKey = keys.machineGroup(newGroupName());
      change.conditions.push(...removal.conditions, { key: newKey, version: 0 });
      change.writes.push(...removal.writes, { put: newKey, value: { ...group, shard, machines } });
      change.hosts.push(...members);
    }
    return change;
  }

  private hostsByGroup(hosts: string[]): Map<string, string[]> {
    const groups = new Map<string, string[]>();
    for (const host of hosts) {
      const key = this.machines.get(host)?.groupKey;
      if (key === undefined) continue;
      const members = groups.get(key);
      if (members) members.push(host);
      else groups.set(key, [host]);
    }
    return groups;
  }
}
