/** What the cloud rents separately: a machine type in a zone, spot or on demand. */

/** A pool of like machines; it has a price, and refusals, of its own. */
export interface InstancePool {
  /** The name of the machine type. */
  type: string;
  zone: string;
  /** Spot machines cost less, and the cloud may interrupt them. */
  spot: boolean;
}

/** A pool as a key of maps. */
export function poolKey(pool: InstancePool): string {
  return `${pool.type}/${pool.zone}/${pool.spot ? "spot" : "ordinary"}`;
}
