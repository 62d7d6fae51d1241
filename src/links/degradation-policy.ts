/**
 * The degradation policy: which activities a controller may perform while some of its links are down, which it
 * delegates to peers, and what each needs as proof. The table in the operators' documentation is printed from it.
 *
 * The policy never relaxes a safety rule: leases, fencing tokens and guarded transactions apply whatever it allows. It
 * only keeps a controller from starting work that it could not record or that a peer can do better.
 */

/**
 * The connections that can be lost. `state_for_all`: most peers report the state store as down too. `peers`: no peer
 * can be reached; peers count as one connection.
 */
export const LOSSES = ["state", "state_for_all", "workers", "peers", "cloud", "users"] as const;
/** A connection that can be lost; a row of the policy table. */
export type Loss = (typeof LOSSES)[number];

/** The activities that the policy governs. */
export const ACTIVITIES = [
  "accept",
  "cancel",
  "poll",
  "start",
  "stop",
  "order",
  "return",
  "move",
  "lead",
] as const;
/** An activity that the policy governs; a column of the policy table. */
export type Activity = (typeof ACTIVITIES)[number];

/** `delegated`: passed to a peer that can perform the activity, or refused if no peer is reached. */
export const DECISIONS = ["allowed", "delegated", "refused"] as const;
/** Whether a controller performs an activity itself. */
export type Decision = (typeof DECISIONS)[number];

/** What an activity requires before it takes effect. */
type Proof =
  | "none"
  /** A transaction that the state store confirmed. */
  | "recorded"
  /** A read that was sent after the request arrived. */
  | "fresh_read"
  /** A valid membership lease, counted from when its last renewal was sent, and a sufficiently recent record. */
  | "held_lease"
  /** A hand-over transaction conditional on the shard's version, after the owner has stopped acting for the shard. */
  | "guarded_transfer"
  /** The cloud's response. */
  | "cloud_answer";

/** One cell of the table. */
export interface Rule {
  decision: Decision;
  proof: Proof;
  /** Shown to operators if the decision is not `allowed`. */
  reason: string;
}

/** One rule for each activity. */
export type Rules = Record<Activity, Rule>;

const allowed = (proof: Proof): Rule => ({ decision: "allowed", proof, reason: "" });
const delegated = (proof: Proof, reason: string): Rule => ({ decision: "delegated", proof, reason });
const refused = (reason: string): Rule => ({ decision: "refused", proof: "none", reason });

/** The rules while every link works. */
export const NORMAL_RULES: Rules = {
  accept: allowed("recorded"),
  cancel: allowed("recorded"),
  poll: allowed("fresh_read"),
  start: allowed("held_lease"),
  stop: allowed("held_lease"),
  order: allowed("recorded"),
  return: allowed("recorded"),
  move: allowed("guarded_transfer"),
  lead: allowed("held_lease"),
};

const STATE_SERVICE_UNREACHED = "the state service is not reached, so nothing can be recorded";

/** The rules that differ from `NORMAL_RULES` after a single loss. */
export const RULES_BY_LOSS: Record<Loss, Partial<Rules>> = {
  state: {
    accept: delegated("recorded", STATE_SERVICE_UNREACHED),
    cancel: delegated("recorded", STATE_SERVICE_UNREACHED),
    poll: delegated("fresh_read", "records cannot be read"),
    start: refused("a cancellation or a change of owner would not be seen"),
    stop: refused("what is stopped to make room could not be started again"),
    order: refused(STATE_SERVICE_UNREACHED),
    return: refused(STATE_SERVICE_UNREACHED),
    move: refused(STATE_SERVICE_UNREACHED),
  },
  // During an outage for all, no controller can confirm a cancellation or take over a shard: the lease is proof enough.
  state_for_all: {
    accept: refused("the state service is down for all"),
    cancel: refused("the state service is down for all"),
    poll: refused("the state service is down for all"),
    order: refused(STATE_SERVICE_UNREACHED),
    return: refused(STATE_SERVICE_UNREACHED),
    move: refused(STATE_SERVICE_UNREACHED),
  },
  workers: {
    start: refused("workers are not reached, or their reports do not arrive"),
    stop: refused("workers are not reached, or their reports do not arrive"),
    return: refused("machines that are not heard here may be at work"),
    move: delegated("guarded_transfer", "the shard passes to a controller that hears its workers"),
  },
  peers: {
    move: refused("the other owners cannot be asked to step back"),
  },
  cloud: {
    order: refused("the cloud does not answer"),
    return: refused("the cloud does not answer"),
    lead: delegated("recorded", "another controller reaches the cloud"),
  },
  users: {},
};

const STRICTNESS: Record<Decision, number> = { allowed: 0, delegated: 1, refused: 2 };

/**
 * Combines the rules for a set of losses: the strictest rule for each activity. With `hasNoPeers`, nothing can be
 * delegated.
 */
export function rulesForLosses(lost: ReadonlySet<Loss>, hasNoPeers = lost.has("peers")): Rules {
  const rules = { ...NORMAL_RULES };
  for (const loss of LOSSES) {
    if (!lost.has(loss)) continue;
    for (const activity of ACTIVITIES) {
      const rule = RULES_BY_LOSS[loss][activity];
      if (rule !== undefined && STRICTNESS[rule.decision] > STRICTNESS[rules[activity].decision])
        rules[activity] = rule;
    }
  }
  return hasNoPeers ? refuseDelegated(rules) : rules;
}

/** Refuses what would be delegated, except `lead`: without a reachable peer no better leader is known. */
function refuseDelegated(rules: Rules): Rules {
  const effective = { ...rules };
  for (const activity of ACTIVITIES) {
    const rule = effective[activity];
    if (rule.decision !== "delegated") continue;
    effective[activity] =
      activity === "lead" ? NORMAL_RULES.lead : refused(`${rule.reason}, and no peer is reached`);
  }
  return effective;
}
