/** The machines of one shard, tracked through the records of their machine groups. */
import { releaseAll } from "../workers/placement.js";
import { Machine } from "../workers/machine.js";
import { LRUCache } from "lru-cache";
import type { Logger } from "../runtime/log.js";
import type { ReplicaView } from "../state/replica.js";
import type { RecordChange } from "../wire/index.js";
import { MachineGroupIndex } from "../workers/machine-group-index.js";
import { decodeMachineGroup, type MachineRecord } from "../workers/machine-records.js";

/**
 * Number of removed machines that are remembered, to recognise delayed duplicates of their heartbeats. Exceeds the
 * number of machines that a shard with every machine of a large fleet loses within the minutes for which duplicates may
 * be delayed.
 */
const REMEMBERED_REMOVED_MACHINES = 10_000;

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
  /** The groups of this shard. */
  private readonly groups = new MachineGroupIndex();
  private readonly removed = new LRUCache<string, HeartbeatPosition>({ max: REMEMBERED_REMOVED_MACHINES });

  constructor(private readonly dependencies: MachineTableDependencies) {}

  /** Whether every task that an earlier owner may have left running has been reported or has certainly ended. */
  get isReconciled(): boolean {
    for (const machine of this.byHost.values()) if (machine.isUnreconciled) return false;
    return true;
  }

  /** Applies a changed record of a machine group. */
  applyGroup({ key, value, version }: RecordChange, now: number): void {
    const group = value === undefined ? null : decodeMachineGroup(value);
    // An unreadable record proves nothing: the placements on its machines still count.
    if (group === null && value !== undefined) {
      this.dependencies.log.error({ key }, "unreadable machine group record; keeping the last known state");
      return;
    }
    const isInShard = group?.shard === this.dependencies.shard;
    const hosts = isInShard ? this.groups.put(key, { version, group }) : this.groups.delete(key);
    for (const host of hosts) this.updateMachine(host, now);
  }

  /** Removes the groups that a complete read of the records does not contain. */
  removeMissingGroups(view: ReplicaView, now: number): void {
    for (const key of [...this.groups.keys()])
      if (view.get(key) === undefined) this.applyGroup({ key, value: undefined, version: 0 }, now);
  }

  /** Adds, updates or removes a machine so that it matches the groups of the shard. */
  private updateMachine(host: string, now: number): void {
    const record = this.groups.recordOf(host);
    if (record === undefined) {
      this.remove(host, now);
      return;
    }
    const machine = this.byHost.get(host);
    if (machine) machine.record = record;
    else this.byHost.set(host, this.createMachine(host, record, now));
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
   * Removes a machine. Its record is removed only after the cloud has confirmed its return with status 200, or when the
   * machine is transferred while empty.
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
