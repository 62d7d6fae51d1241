/** The machine records in the state service of a simulated deployment, for checks of which machines they name. */
import type { MachineGroup, MachineStage } from "../../src/workers/machine-records.js";
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

/**
 * Adds a second record for every machine, as the version before could write it: in the same shard and in another one by
 * turns, under keys that are read before and after the first record.
 */
export function duplicateRecordsOfAll({ store }: Simulation, stage: MachineStage, shards: number): void {
  const groupKeys = store.keys("fernpond/live/machines/").sort();
  const copies = groupKeys.map((key, i) => {
    const group = store.value(key) as MachineGroup;
    const machines = Object.fromEntries(Object.keys(group.machines).map((host) => [host, stage]));
    const shard = (group.shard + (i % 2)) % shards;
    const name = `${i % 4 < 2 ? "0" : "z"}-copy-${i}`;
    return { put: `fernpond/live/machines/${name}`, value: { ...group, shard, machines } };
  });
  store.executeDelayed({ guards: [], apply: copies });
}

/** The machines that more than one group names, as "host shard:stage shard:stage". */
export const duplicateRecords = (simulation: Simulation): string[] =>
  [...groupsByHost(simulation)]
    .filter(([, groups]) => groups.length > 1)
    .map(([host, groups]) => [host, ...groups].join(" "));
