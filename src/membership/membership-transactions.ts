/**
 * Builds the transactions that change membership records. Each is conditional on the record versions on which its
 * decision was based, so that a delayed or duplicated request, from this process or from an earlier one on its node,
 * has no effect.
 */
import { keys } from "../state/keys.js";
import type { Condition, Write } from "../wire/index.js";
import {
  encodeController,
  type Cluster,
  type ControllerInstance,
  type ControllerRecord,
} from "./cluster-records.js";
import type { MembershipAction } from "./membership-planner.js";

/** Writes that are executed atomically, and only if all conditions hold. */
export interface ConditionalTransaction {
  conditions: Condition[];
  writes: Write[];
}

type AssignAction = Extract<MembershipAction, { kind: "assign" }>;

/**
 * Registers a controller as a member, with its record attached to its membership lease.
 * @param knownVersion the version of the node's current member record, 0 if there is none; with this condition, a
 * delayed registration of an earlier incarnation cannot overwrite this one
 */
export function joinTransaction(
  self: ControllerInstance,
  leaseId: number,
  knownVersion: number,
): ConditionalTransaction {
  const key = keys.member(self.node);
  return {
    conditions: [{ key, version: knownVersion }],
    writes: [{ put: key, value: encodeController(self), lease: leaseId }],
  };
}

/**
 * Hands a shard, whose current record is `record`, over to `successor`, provided that the successor's member record has
 * not changed since it was selected.
 */
export function handOverTransaction(
  shard: number,
  record: ControllerRecord,
  successor: ControllerRecord,
): ConditionalTransaction {
  const key = keys.shard(shard);
  return {
    conditions: [
      { key, version: record.version },
      { key: keys.member(successor.node), version: successor.version },
    ],
    writes: [{ put: key, value: encodeController(successor) }],
  };
}

/** Builds the transaction that executes an action of this process. */
export function transactionFor(
  action: Exclude<MembershipAction, { kind: "request_hand_over" }>,
  self: ControllerInstance,
  leaseId: number,
  cluster: Cluster,
): ConditionalTransaction {
  switch (action.kind) {
    case "lead":
      return {
        conditions: [{ key: keys.leader, version: action.formerLeader?.version ?? 0 }],
        writes: [{ put: keys.leader, value: encodeController(self), lease: leaseId }],
      };
    case "resume": {
      const key = keys.shard(action.shard);
      return {
        conditions: [{ key, version: action.record.version }],
        writes: [{ put: key, value: encodeController(self) }],
      };
    }
    case "assign":
      return assignTransaction(action, cluster);
  }
}

function assignTransaction(
  { shard, formerOwner, successor }: AssignAction,
  cluster: Cluster,
): ConditionalTransaction {
  const key = keys.shard(shard);
  const conditions = [
    { key: keys.leader, version: cluster.leader?.version ?? 0 },
    { key, version: formerOwner?.version ?? 0 },
    { key: keys.member(successor.node), version: successor.version },
  ];
  // The former owner's lease must have expired when the transaction is executed. The former owner stops acting before
  // that, since its local lease expiry is earlier.
  if (formerOwner !== null) conditions.push({ key: keys.member(formerOwner.node), version: 0 });
  return { conditions, writes: [{ put: key, value: encodeController(successor) }] };
}
