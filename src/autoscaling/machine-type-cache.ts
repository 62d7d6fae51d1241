/** Caches the machine types that the cloud offers, and records them in the state store for all controllers. */
import { keys, prefixes } from "../state/keys.js";
import type { Condition, MachineType } from "../wire/index.js";
import type { AutoscalerDependencies } from "./autoscaler-dependencies.js";

/** Types and prices are read again after this many passes. */
const PASSES_BETWEEN_READS = 60;

type MachineTypeCacheDependencies = Pick<AutoscalerDependencies, "cloud" | "operator" | "state" | "view">;

/** The latest machine types and prices known to this process. */
export class MachineTypeCache {
  private latest: MachineType[] | null = null;
  private lastReadAt = -Infinity;

  constructor(private readonly dependencies: MachineTypeCacheDependencies) {}

  /** The types that this process last read from the cloud; the recorded ones if it has read none. */
  types(): MachineType[] {
    return this.latest ?? this.recordedTypes();
  }

  /** The recorded typical boot time of a type, in milliseconds; null if the type is not recorded. */
  recordedBootMs(name: string): number | null {
    const type = this.recordedTypes().find((recorded) => recorded.name === name);
    return type === undefined ? null : type.bootS * 1000;
  }

  /**
   * Reads types and prices if they are due. Records changed types so that other controllers need not call the cloud.
   *
   * @returns whether the cloud was called
   * @throws {CloudError} if the cloud returns no usable response
   * @throws {StateStoreError} if the state store returns no usable response
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

  /**
   * Reads types and prices, if the rate limit permits a call, to detect whether the cloud is reachable again.
   *
   * @throws {CloudError} if the cloud returns no usable response
   */
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

/** Ignores the spot price: it changes too often to justify a write each time. */
function isEqualExceptSpotPrice(type: MachineType, other: MachineType): boolean {
  return JSON.stringify({ ...type, spotPrice: 0 }) === JSON.stringify({ ...other, spotPrice: 0 });
}
