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

/** A machine that a shard's records name although another record counts for it. */
export interface DuplicateRecord {
  host: string;
  /** The shard of the record that counts. */
  countingShard: number;
}

/** All rented machines, as recorded in the state store. */
export class Fleet {
  private readonly groups = new MachineGroupIndex();
  private readonly machines = new Map<string, MachineRecord>();
  /** The machines that several records name. */
  private readonly duplicateHosts = new Set<string>();

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
      if (this.groups.keysOf(host).length > 1) this.duplicateHosts.add(host);
      else this.duplicateHosts.delete(host);
    }
  }

  /**
   * Builds the writes that change the stage of machines: one for each group, conditional on the group being unchanged.
   * Left out are groups beyond `maxWrites`, and machines that belong to another shard.
   */
  changeStage(shard: number, hosts: string[], stage: MachineStage, maxWrites: number): FleetChange {
    const ofShard = hosts.filter((host) => this.get(host)?.shard === shard);
    return this.rewriteGroups(ofShard, stage, (host) => [this.machines.get(host)!.groupKey], maxWrites);
  }

  /**
   * Builds the writes that remove machines that no longer exist from all records that name them, each conditional on
   * the group being unchanged. Machines whose groups exceed `maxWrites` writes are left out.
   */
  removeMachines(hosts: string[], maxWrites: number): FleetChange {
    return this.rewriteGroups(hosts, null, (host) => this.groups.keysOf(host), maxWrites);
  }

  /**
   * Builds the writes that transfer machines to another shard, by moving them from their groups to new ones. Left out
   * are groups beyond `maxWrites` writes, and machines that several records name.
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
    const inOneGroup = hosts.filter((host) => this.groups.keysOf(host).length === 1);
    const { membersByGroup } = selectMembers(inOneGroup, (host) => this.groups.keysOf(host), maxWrites / 2);
    for (const [key, members] of membersByGroup) {
      const { group } = this.groups.get(key)!;
      const machines = Object.fromEntries(members.map((host) => [host, group.machines[host]!]));
      const newKey = keys.machineGroup(newGroupName());
      change.conditions.push(this.unchanged(key), { key: newKey, version: 0 });
      change.writes.push(this.rewriteGroup(key, members, null), {
        put: newKey,
        value: { ...group, shard, machines },
      });
      change.hosts.push(...members);
    }
    return change;
  }

  /** The machines that records of a shard name although another record counts for them. */
  duplicatesIn(shard: number): DuplicateRecord[] {
    return [...this.duplicateHosts]
      .filter((host) => this.duplicateKeys(host, shard).length > 0)
      .map((host) => ({ host, countingShard: this.machines.get(host)!.shard }));
  }

  /**
   * Builds the writes that remove machines from those records of a shard that do not count for them, conditional on
   * these and the records that count being unchanged. Machines beyond `maxWrites` writes are left out.
   */
  removeDuplicates(shard: number, hosts: string[], maxWrites: number): FleetChange {
    // Each machine adds up to one condition besides those of the writes.
    const limited = hosts.slice(0, maxWrites);
    const change = this.rewriteGroups(limited, null, (host) => this.duplicateKeys(host, shard), maxWrites);
    const conditionKeys = new Set(change.conditions.map(({ key }) => key));
    for (const host of change.hosts) conditionKeys.add(this.machines.get(host)!.groupKey);
    return { ...change, conditions: [...conditionKeys].map((key) => this.unchanged(key)) };
  }

  private duplicateKeys(host: string, shard: number): string[] {
    const countingKey = this.machines.get(host)?.groupKey;
    return this.groups
      .keysOf(host)
      .filter((key) => key !== countingKey && this.groups.get(key)!.group.shard === shard);
  }

  /** Builds the writes that change the stage of machines in some of their groups; null removes them from these. */
  private rewriteGroups(
    hosts: string[],
    stage: MachineStage | null,
    keysOf: (host: string) => readonly string[],
    maxWrites: number,
  ): FleetChange {
    const selected = selectMembers(hosts, keysOf, maxWrites);
    const groups = [...selected.membersByGroup];
    return {
      conditions: groups.map(([key]) => this.unchanged(key)),
      writes: groups.map(([key, members]) => this.rewriteGroup(key, members, stage)),
      hosts: selected.hosts,
    };
  }

  private unchanged(key: string): Condition {
    return { key, version: this.groups.get(key)!.version };
  }

  private rewriteGroup(key: string, members: string[], stage: MachineStage | null): Write {
    const { group } = this.groups.get(key)!;
    const others = Object.entries(group.machines).filter(([host]) => !members.includes(host));
    const changed = stage === null ? [] : members.map((host) => [host, stage] as const);
    const machines = Object.fromEntries([...others, ...changed]);
    const isEmpty = Object.keys(machines).length === 0;
    return isEmpty ? { remove: key } : { put: key, value: { ...group, machines } };
  }
}

/** Selects the machines whose groups are among the first `maxGroups`, and groups them by these. */
function selectMembers(
  hosts: string[],
  keysOf: (host: string) => readonly string[],
  maxGroups: number,
): { hosts: string[]; membersByGroup: Map<string, string[]> } {
  const membersByGroup = new Map<string, string[]>();
  const selected: string[] = [];
  for (const host of hosts) {
    const groupKeys = keysOf(host);
    const added = groupKeys.filter((key) => !membersByGroup.has(key));
    if (groupKeys.length === 0 || membersByGroup.size + added.length > maxGroups) continue;
    for (const key of groupKeys) membersByGroup.set(key, [...(membersByGroup.get(key) ?? []), host]);
    selected.push(host);
  }
  return { hosts: selected, membersByGroup };
}
