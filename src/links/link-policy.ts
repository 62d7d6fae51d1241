/** The link monitor's interface for the rest of the process, whether the monitor runs or not. */
import type { Activity } from "./degradation-policy.js";

/** The degradation policy in its current state. */
export interface LinkPolicy {
  /** Whether this controller may perform an activity itself. */
  allows(activity: Activity): boolean;
  /** Whether an activity is refused and not delegated to peers either. */
  refuses(activity: Activity): boolean;
  /** Whether a shard may be handed over because its workers reach a peer instead. If true, it counts as an attempt. */
  tryHandOver(shard: number): boolean;
  /** Whether a peer is known to have lost its workers, so that it should not be assigned shards. */
  isCutOffFromWorkers(node: string): boolean;
}

/** The policy while no monitor runs. */
export const UNRESTRICTED: LinkPolicy = {
  allows: () => true,
  refuses: () => false,
  tryHandOver: () => true,
  isCutOffFromWorkers: () => false,
};
