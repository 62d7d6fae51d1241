/** Writes that add machines to the records. */
import { keys } from "../state/keys.js";
import type { Write } from "../wire/index.js";
import { maxMachinesPerGroup, type MachineGroup } from "../workers/machine-records.js";

/** The shard and the pool that machines of one group have in common. */
export type MachineGroupAttributes = Omit<MachineGroup, "since" | "machines">;

/** Records for machines that come together, in as many groups as the limit of a value in bytes asks for. */
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
