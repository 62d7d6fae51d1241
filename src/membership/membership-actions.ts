/** Executes the actions of the membership planner, one at a time. */
import { StateStoreError } from "../state/state-store-error.js";
import type { Cluster } from "./cluster-records.js";
import type { TransactionDependencies } from "./membership-messages.js";
import type { MembershipAction } from "./membership-planner.js";
import { transactionFor } from "./membership-transactions.js";

type HandOverAction = Extract<MembershipAction, { kind: "request_hand_over" }>;

/** Dependencies of `MembershipActions`. */
export interface MembershipActionDependencies extends TransactionDependencies {
  /** Returns the latest known cluster; called when each action starts. */
  readonly currentCluster: () => Cluster;
  /** Returns the id of the membership lease, or null if there is none; called when each action starts. */
  readonly currentLeaseId: () => number | null;
  /** Forwards a hand-over request to the owner of the shard. */
  readonly requestHandOver: (action: HandOverAction) => void;
}

/** Executes membership actions as transactions on the state store or as requests to other controllers. */
export class MembershipActions {
  constructor(private readonly dependencies: MembershipActionDependencies) {}

  /** Executes all actions in order; the failure of one action is logged and does not stop the others. */
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
