/** The machine types that the cloud offers, read now and then and kept in the records for all controllers. */
import { keys, prefixes } from "../state/keys.js";
import type { Condition, MachineType } from "../wire/index.js";
import type { AutoscalerDependencies } from "./autoscaler-dependencies.js";

/** Types and prices are read again after so many passes. */
const PASSES_BETWEEN_READS = 60;

type MachineTypeCacheDependencies = Pick<AutoscalerDependencies, "cloud" | "operator" | "state" | "view">;

/** The latest machine types that this process knows of. */
export class MachineTypeCache {
  private latest: MachineType[] | null = null;
  private lastReadAt = -Infinity;

  constructor(private readonly dependencies: MachineTypeCacheDependencies) {}

  /** The types as the cloud last listed them to this process, or else as the records have them. */
  types(): MachineType[] {
    return this.latest ?? this.recordedTypes();
  }

  /** The usual boot time of a type as the records have it; null if they do not. */
  recordedBootMs(name: string): number | null {
    const type = this.recordedTypes().find((recorded) => recorded.name === name);
    return type === undefined ? null : type.bootS * 1000;
  }

  /**
   * Reads types and prices if it is time to, and records them, so that no other controller need ask the cloud.
   *
   * @returns whether the cloud was called
   * @throws {CloudError} where the cloud does not answer
   * @throws {StateStoreError} where the state store does not answer
   */
  async refresh(leaderCondition: Condition, now: number): Promise<boolean> {
    const { cloud, operator } = this.dependencies;
    if (now - this.lastReadAt < PASSES_BETWEEN_READS * operator.passSpacingMs) return false;
    if (!cloud.tryAcquireCall()) return false;
    const types = await cloud.listMachineTypes();
    this.lastReadAt = now;
    this.latest = types;
    for (const type of types) await this.recordType(leaderCondition, type);
    return true;
  }

  /** Reads types and prices, if a call is allowed, for the sake of the call: it shows whether the cloud is back. */
  async probeCloud(): Promise<void> {
    const { cloud } = this.dependencies;
    if (cloud.tryAcquireCall()) this.latest = await cloud.listMachineTypes();
  }

  private recordedTypes(): MachineType[] {
    return this.dependencies.view.list(prefixes.machineTypes).map((entry) => entry.value as MachineType);
  }

  private async recordType(leaderCondition: Condition, type: MachineType): Promise<void> {
    const { state, view } = this.dependencies;
    const key = keys.machineType(type.name);
    const recorded = view.get(key);
    if (recorded !== undefined && isEqualExceptSpotPrice(type, recorded.value as MachineType)) return;
    await state.compareAndSwap([leaderCondition], [{ put: key, value: type }], "ownership");
  }
}

/** Spot prices change all the time; only what lasts is worth a write. */
function isEqualExceptSpotPrice(type: MachineType, other: MachineType): boolean {
  return JSON.stringify({ ...type, spotPrice: 0 }) === JSON.stringify({ ...other, spotPrice: 0 });
}
