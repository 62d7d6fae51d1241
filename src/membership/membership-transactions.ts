/**
 * The transactions that change membership records. Each is conditional on the versions that its decision was made on, so
 * that a copy that arrives late, from this process or an earlier one of its node, changes nothing.
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

/** Writes that are executed only if all conditions hold. */
export interface ConditionalTransaction {
  conditions: Condition[];
  writes: Write[];
}

type AssignAction = Extract<MembershipAction, { kind: "assign" }>;

/**
 * Registers a controller as a member, under its membership lease.
 * @param knownVersion the version of the member's present record, 0 if there is none: a late copy of the registration of
 * an earlier life does not overwrite this one
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

/** Hands a shard, whose record is `record`, over to a member that is still the instance it was chosen as. */
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

/** The transaction that carries out an action of this process. */
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
  // The former owner's lease must have ended *when this is executed*; the former owner counts it as ended before that.
  if (formerOwner !== null) conditions.push({ key: keys.member(formerOwner.node), version: 0 });
  return { conditions, writes: [{ put: key, value: encodeController(successor) }] };
}
