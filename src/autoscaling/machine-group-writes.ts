/** Builds the state store writes that record new machines. */
import { keys } from "../state/keys.js";
import type { Write } from "../wire/index.js";
import { maxMachinesPerGroup, type MachineGroup } from "../workers/machine-records.js";

/** The shard and instance pool shared by all machines of a group. */
export type MachineGroupAttributes = Omit<MachineGroup, "since" | "machines">;

/** Writes that record machines as booting, split into groups that each fit into a value of `valueBytes` bytes. */
export function machineGroupWrites(
  hosts: string[],
  attributes: MachineGroupAttributes,
  valueBytes: number,
): Write[] {
  const groupSize = maxMachinesPerGroup(valueBytes);
  const writes: Write[] = [];
  for (let start = 0; start < hosts.length; start += groupSize) {
    const members = hosts.slice(start, start + groupSize);
    const machines = Object.fromEntries(members.map((host) => [host, "booting" as const]));
    const group: MachineGroup = { ...attributes, since: Date.now(), machines };
    writes.push({ put: keys.machineGroup(crypto.randomUUID()), value: group });
  }
  return writes;
}
