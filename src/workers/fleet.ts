/** All rented machines by name, followed from their groups' records; and how records change with their machines. */
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

interface KnownGroup {
  version: number;
  group: MachineGroup;
}

/** Writes that change machine records, and which machines they are about. */
export interface FleetChange {
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

  get(host: string): MachineRecord | undefined {
    return this.machines.get(host);
  }

  all(): IterableIterator<[string, MachineRecord]> {
    return this.machines.entries();
  }

  get size(): number {
    return this.machines.size;
  }

  /** Takes in changed records; null: everything may be different. */
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
      this.log.error({ key: change.key }, "unreadable machine record");
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
   * The writes that bring machines to another stage, or take them out of their records (null): one a group, each on
   * the condition that the group is as we know it. What is over `room` writes is left out.
   */
  changeStage(hosts: string[], to: MachineStage | null, room: number): FleetChange {
    const guards: Condition[] = [];
    const writes: Write[] = [];
    const changed: string[] = [];
    for (const [key, members] of this.hostsByGroup(hosts)) {
      if (writes.length >= room) break;
      const { version, group } = this.groups.get(key)!;
      const others = Object.entries(group.machines).filter(([host]) => !members.includes(host));
      const moved = to === null ? [] : members.map((host) => [host, to] as const);
      const machines = Object.fromEntries([...others, ...moved]);
      guards.push({ key, version });
      const empty = Object.keys(machines).length === 0;
      writes.push(empty ? { remove: key } : { put: key, value: { ...group, machines } });
      changed.push(...members);
    }
    return { conditions: guards, writes, hosts: changed };
  }

  /** The writes that pass machines to another shard: out of their groups, into new ones under names not used before. */
  transferToShard(hosts: string[], shard: number, name: () => string, room: number): FleetChange {
    const found: FleetChange = { conditions: [], writes: [], hosts: [] };
    for (const [key, members] of this.hostsByGroup(hosts)) {
      if (found.writes.length + 2 > room) break;
      const out = this.changeStage(members, null, 1);
      const { group } = this.groups.get(key)!;
      const machines = Object.fromEntries(members.map((host) => [host, group.machines[host]!]));
      const fresh = keys.machineGroup(name());
      found.conditions.push(...out.conditions, { key: fresh, version: 0 });
      found.writes.push(...out.writes, { put: fresh, value: { ...group, shard, machines } });
      found.hosts.push(...members);
    }
    return found;
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
