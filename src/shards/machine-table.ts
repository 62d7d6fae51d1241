/** The machines of one shard, followed from the records of their groups. */
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
 * How many removed machines are remembered, so that late copies of their heartbeats are recognised: more than a shard
 * with every machine of a large fleet loses within the minutes for which copies may be late.
 */
const REMEMBERED_REMOVED_MACHINES = 10_000;

const NO_HOSTS: ReadonlySet<string> = new Set();

/** How new the last heartbeat of a machine was. */
interface HeartbeatPosition {
  epoch: number;
  sequence: number;
}

/** What the machine table of one shard is made from. */
export interface MachineTableDependencies {
  readonly shard: number;
  readonly log: Logger;
  /** Called after a machine and its placements were removed: its record is gone, or names another shard. */
  readonly onRemoved: (machine: Machine, now: number) => void;
}

/** The machines of one shard. */
export class MachineTable {
  readonly byHost = new Map<string, Machine>();
  /** The hosts of this shard by the key of their group's record. */
  private readonly hostsByGroup = new Map<string, Set<string>>();
  private readonly removed = new LRUCache<string, HeartbeatPosition>({ max: REMEMBERED_REMOVED_MACHINES });

  constructor(private readonly dependencies: MachineTableDependencies) {}

  /** Whether everything that an earlier owner may have left running has been reported, or has surely ended. */
  get isReconciled(): boolean {
    for (const machine of this.byHost.values()) if (machine.mayHaveUnreportedTasks) return false;
    return true;
  }

  /** Applies a changed record of a machine group. */
  applyGroup({ key, value }: RecordChange, now: number): void {
    const group = value === undefined ? null : readMachineGroup(value);
    // A record that cannot be read proves nothing: what is on its machines still counts.
    if (group === null && value !== undefined) {
      this.dependencies.log.error({ key }, "unreadable machine record");
      return;
    }
    const formerHosts = this.hostsByGroup.get(key);
    const hosts = this.applyHosts(key, group, now);
    if (formerHosts !== undefined) this.removeFormerHosts(key, formerHosts, hosts, now);
  }

  /** Removes the groups that a complete reading of the records does not contain. */
  removeMissingGroups(view: ReplicaView, now: number): void {
    for (const key of [...this.hostsByGroup.keys()])
      if (view.get(key) === undefined) this.applyGroup({ key, value: undefined, version: 0 }, now);
  }

  /** Adds and updates the machines of a group that is this shard's, and returns their hosts. */
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

  /** Removes the machines that the group has no more, unless another group has taken them over. */
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
    // Guards against late copies from an earlier stay in this shard: they are no newer than what was seen then.
    const last = this.removed.get(host);
    if (last !== undefined) {
      machine.epoch = last.epoch;
      machine.sequence = last.sequence;
    }
    return machine;
  }

  /** A machine's record goes only after the cloud's 200 to its return, or when it is transferred empty. */
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
