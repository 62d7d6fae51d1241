/** All rented machines by host, as read from the records of their groups; and the writes that change these records. */
import type { Logger } from "../runtime/log.js";
import { keys, prefixes } from "../state/keys.js";
import type { ReplicaView } from "../state/replica.js";
import type { RecordChange, Condition, Write } from "../wire/index.js";
import {
  machineRecordFrom,
  readMachineGroup,
  type MachineGroup,
  type MachineRecord,
  type MachineStage,
} from "./machine-records.js";

/** A group as its record has it. */
interface KnownGroup {
  /** The version of the record. */
  version: number;
  group: MachineGroup;
}

/** Writes that change machine records, and which machines they are about. */
export interface FleetChange {
  /** That the records are still as they were when the writes were made. */
  conditions: Condition[];
  writes: Write[];
  /** The machines that the writes change. */
  hosts: string[];
}

/** All rented machines, as the records have them. */
export class Fleet {
  private readonly groups = new Map<string, KnownGroup>();
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

  /** How many machines there are. */
  get size(): number {
    return this.machines.size;
  }

  /** Applies changed records; where `changes` is null, everything may have changed and is read again. */
  applyChanges(view: ReplicaView, changes: RecordChange[] | null): void {
    if (changes === null) {
      for (const key of this.groups.keys()) if (view.get(key) === undefined) this.dropGroup(key);
      changes = view.list(prefixes.machineGroups);
    }
    for (const change of changes) if (change.key.startsWith(prefixes.machineGroups)) this.applyGroup(change);
  }

  private applyGroup(change: RecordChange): void {
    if (change.value === undefined) {
      this.dropGroup(change.key);
      return;
    }
    const group = readMachineGroup(change.value);
    // A record that cannot be read proves nothing: its machines stay as they were known.
    if (group === null) {
      this.log.error({ key: change.key }, "machine record unreadable");
      return;
    }
    this.dropGroup(change.key);
    this.groups.set(change.key, { version: change.version, group });
    for (const host of Object.keys(group.machines))
      this.machines.set(host, machineRecordFrom(change.key, group, host));
  }

  private dropGroup(key: string): void {
    const known = this.groups.get(key);
    if (known === undefined) return;
    this.groups.delete(key);
    for (const host of Object.keys(known.group.machines))
      if (this.machines.get(host)?.groupKey === key) this.machines.delete(host);
  }

  /**
   * The writes that bring machines to another stage, or remove them from their records (null): one a group, each on
   * the condition that the group is unchanged. Groups past `maxWrites` are left out.
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
   * The writes that transfer machines to another shard: out of their groups, into new ones. Groups past `maxWrites`
   * are left out.
   *
   * @param newGroupName gives a name that was never used before
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
