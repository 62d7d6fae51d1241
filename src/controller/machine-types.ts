/** The machine types that the cloud offers, as stored in the records. */
import { prefixes } from "../state/keys.js";
import type { Replica } from "../state/replica.js";
import type { MachineType } from "../wire/index.js";

/** The machine types in the records, by name. */
export class MachineTypes {
  private typesByName = new Map<string, MachineType>();

  /** The types as of the last load; each load creates a new map. */
  get byName(): Map<string, MachineType> {
    return this.typesByName;
  }

  /** Reads all machine types from the replica. */
  load(replica: Replica): void {
    this.typesByName = new Map(
      replica
        .list(prefixes.machineTypes)
        .map((entry) => [(entry.value as MachineType).name, entry.value as MachineType]),
    );
  }
}
