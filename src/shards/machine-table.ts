/** The machines of one shard, tracked through the records of their machine groups. */
import { releaseAll } from "../workers/placement.js";
import { Machine } from "../workers/machine.js";
import { LRUCache } from "lru-cache";
import type { Logger } from "../runtime/log.js";
import type { ReplicaView } from "../state/replica.js";
import type { RecordChange } from "../wire/index.js";
import {
  machineRecordFrom,
  readMachineGroup,
  type MachineGroup,
  type MachineRecord,
} from "../workers/machine-records.js";

/**
 * Number of removed machines that are remembered, to recognise delayed duplicates of their heartbeats. Exceeds the
 * number of machines that a shard with every machine of a large fleet loses within the minutes for which duplicates may
 * be delayed.
 */
const REMEMBERED_REMOVED_MACHINES = 10_000;

const NO_HOSTS: ReadonlySet<string> = new Set();

/** Epoch and sequence number of a machine's last heartbeat. */
interface HeartbeatPosition {
  epoch: number;
  sequence: number;
}

/** Dependencies of a shard's machine table. */
export interface MachineTableDependencies {
  readonly shard: number;
  readonly log: Logger;
  /** Called after a machine and its placements were removed, because its record was removed or names another shard. */
  readonly onRemoved: (machine: Machine, now: number) => void;
}

/** The machines of one shard. */
export class MachineTable {
  readonly byHost = new Map<string, Machine>();
  /** Hosts of this shard, by the key of their group's record. */
  private readonly hostsByGroup = new Map<string, Set<string>>();
  private readonly removed = new LRUCache<string, HeartbeatPosition>({ max: REMEMBERED_REMOVED_MACHINES });

  constructor(private readonly dependencies: MachineTableDependencies) {}

  /** Whether every task that an earlier owner may have left running has been reported or has certainly ended. */
  get isReconciled(): boolean {
    for (const machine of this.byHost.values()) if (machine.isUnreconciled) return false;
    return true;
  }

  /** Applies a changed record of a machine group. */
  applyGroup({ key, value }: RecordChange, now: number): void {
    const group = value === undefined ? null : readMachineGroup(value);
    // An unreadable record proves nothing: the placements on its machines still count.
    if (group === null && value !== undefined) {
      this.dependencies.log.error({ key }, "unreadable machine record");
      return;
    }
    const formerHosts = this.hostsByGroup.get(key);
    const hosts = this.applyHosts(key, group, now);
    if (formerHosts !== undefined) this.removeFormerHosts(key, formerHosts, hosts, now);
  }

  /** Removes the groups that a complete read of the records does not contain. */
  removeMissingGroups(view: ReplicaView, now: number): void {
    for (const key of [...this.hostsByGroup.keys()])
      if (view.get(key) === undefined) this.applyGroup({ key, value: undefined, version: 0 }, now);
  }

  /** Adds and updates the machines of a group if it belongs to this shard, and returns their hosts. */
  private applyHosts(key: string, group: MachineGroup | null, now: number): ReadonlySet<string> {
    if (group?.shard !== this.dependencies.shard) {
      this.hostsByGroup.delete(key);
      return NO_HOSTS;
    }
    const hosts = new Set(Object.keys(group.machines));
    if (hosts.size > 0) this.hostsByGroup.set(key, hosts);
    else this.hostsByGroup.delete(key);
    for (const host of hosts) {
      const record = machineRecordFrom(key, group, host);
      const machine = this.byHost.get(host);
      if (machine) machine.record = record;
      else this.byHost.set(host, this.createMachine(host, record, now));
    }
    return hosts;
  }

  /** Removes the machines that are no longer in the group, unless they are now in another group. */
  private removeFormerHosts(
    key: string,
    formerHosts: ReadonlySet<string>,
    hosts: ReadonlySet<string>,
    now: number,
  ): void {
    for (const host of formerHosts)
      if (!hosts.has(host) && this.byHost.get(host)?.record.groupKey === key) this.remove(host, now);
  }

  private createMachine(host: string, record: MachineRecord, now: number): Machine {
    const machine = new Machine(host, record, now);
    // Delayed duplicates of heartbeats from an earlier time in this shard must not count as new.
    const last = this.removed.get(host);
    if (last !== undefined) {
      machine.epoch = last.epoch;
      machine.sequence = last.sequence;
    }
    return machine;
  }

  /**
   * Removes a machine. Its record is removed only after the cloud has answered its return with 200, or when the machine
   * is transferred while empty.
   */
  private remove(host: string, now: number): void {
    const machine = this.byHost.get(host);
    if (machine === undefined) return;
    releaseAll(machine);
    this.byHost.delete(host);
    const { epoch, sequence } = machine;
    this.removed.set(host, { epoch, sequence });
    this.dependencies.onRemoved(machine, now);
  }
}
