/** Carries out the actions that the membership planner has chosen, one after the other. */
import { StateStoreError } from "../state/state-store-error.js";
import type { Cluster } from "./cluster-records.js";
import type { TransactionDependencies } from "./membership-messages.js";
import type { MembershipAction } from "./membership-planner.js";
import { transactionFor } from "./membership-transactions.js";

type HandOverAction = Extract<MembershipAction, { kind: "request_hand_over" }>;

/** What the execution of actions needs. */
export interface MembershipActionDependencies extends TransactionDependencies {
  /** The cluster as it is known when an action begins. */
  readonly currentCluster: () => Cluster;
  /** The id of the membership lease when an action begins; null if there is none. */
  readonly currentLeaseId: () => number | null;
  /** Passes a request to hand a shard over on to its owner. */
  readonly requestHandOver: (action: HandOverAction) => void;
}

/** Carries out membership actions. */
export class MembershipActions {
  constructor(private readonly dependencies: MembershipActionDependencies) {}

  /** Carries out all actions; one that fails does not keep the next ones from being tried. */
  async performAll(actions: MembershipAction[]): Promise<void> {
    const { log, onTransactionEnded } = this.dependencies;
    for (const action of actions) {
      try {
        await this.perform(action);
      } catch (err) {
        if (err instanceof StateStoreError)
          log.debug({ err, action: action.kind }, "membership action failed");
        else log.error({ err }, "membership action failed");
      }
    }
    onTransactionEnded();
  }

  private async perform(action: MembershipAction): Promise<void> {
    const { self, state, currentCluster, currentLeaseId, requestHandOver, log } = this.dependencies;
    if (action.kind === "request_hand_over") {
      requestHandOver(action);
      return;
    }
    const leaseId = currentLeaseId();
    if (leaseId === null) return;
    const { conditions, writes } = transactionFor(action, self, leaseId, currentCluster());
    const result = await state.compareAndSwap(conditions, writes, "ownership");
    if (!result.ok || action.kind !== "assign") return;
    const { shard, formerOwner, successor } = action;
    const token = result.revision;
    log.info({ shard, from: formerOwner?.node, to: successor.node, token }, "shard assigned");
  }
}
