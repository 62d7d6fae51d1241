/** The machine records in the state service of a simulated deployment, for checks of which machines they name. */
import type { MachineGroup } from "../../src/workers/machine-records.js";
import type { Simulation } from "./simulation.js";

/** By host: the machine groups that name it, as "shard:stage" in order of keys. */
export function groupsByHost({ store }: Simulation): Map<string, string[]> {
  const groups = new Map<string, string[]>();
  for (const key of store.keys("fernpond/live/machines/").sort()) {
    const { shard, machines } = store.value(key) as MachineGroup;
    for (const [host, stage] of Object.entries(machines))
      groups.set(host, [...(groups.get(host) ?? []), `${shard}:${stage}`]);
  }
  return groups;
}

/** The machines that more than one group names, as "host shard:stage shard:stage". */
export const duplicateRecords = (simulation: Simulation): string[] =>
  [...groupsByHost(simulation)]
    .filter(([, groups]) => groups.length > 1)
    .map(([host, groups]) => [host, ...groups].join(" "));
