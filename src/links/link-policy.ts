/** What the rest of the process asks the link monitor, whether it runs or not. */
import type { Activity } from "./degradation-policy.js";

/** The degradation policy as it applies right now. */
export interface LinkPolicy {
  /** Whether this controller may do something itself. */
  allows(activity: Activity): boolean;
  /** Whether an activity is not even passed on to peers. */
  refuses(activity: Activity): boolean;
  /** Whether a shard may be handed over for the sake of its workers; asking counts as an attempt. */
  tryHandOver(shard: number): boolean;
  /** Whether a peer is known not to be reached by workers, so that it should not get shards. */
  isCutOffFromWorkers(node: string): boolean;
}

/** The policy while no monitor runs, or while it only observes. */
export const UNRESTRICTED: LinkPolicy = {
  allows: () => true,
  refuses: () => false,
  tryHandOver: () => true,
  isCutOffFromWorkers: () => false,
};
