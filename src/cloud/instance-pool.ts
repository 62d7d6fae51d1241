/** Instance pools: the combinations of machine type, zone and spot or on-demand that the cloud rents separately. */

/** A pool of identical machines, with its own price and its own capacity. */
export interface InstancePool {
  /** The name of the machine type. */
  type: string;
  zone: string;
  /** Whether the machines are spot: cheaper, but the cloud can interrupt them. */
  spot: boolean;
}

/** A string that identifies a pool, for use as a map key. */
export function poolKey(pool: InstancePool): string {
  return `${pool.type}/${pool.zone}/${pool.spot ? "spot" : "ordinary"}`;
}
