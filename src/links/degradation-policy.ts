/**
 * The degradation policy: what a controller may do while some of its links are down, who does it otherwise, and what
 * proof it needs. One table, from which the operators' page is made as well. Pure.
 *
 * Nothing here relaxes a rule: leases, fencing tokens and guarded transactions hold whatever the policy allows. It only
 * keeps a controller from beginning what it could not record, or what another can do better.
 */

/**
 * What can be lost. The state service counts as lost for all where most peers say so too; peers count as one link, which
 * is lost when none of them answers.
 */
export const LOSSES = ["state", "state_for_all", "workers", "peers", "cloud", "users"] as const;
/** A row of the table. */
export type Loss = (typeof LOSSES)[number];

/** What controllers do. */
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
/** A column of the table. */
export type Activity = (typeof ACTIVITIES)[number];

/** `delegated`: not done here but passed to a controller that can; where there is none it is refused. */
export const DECISIONS = ["allowed", "delegated", "refused"] as const;
/** Whether an activity goes on. */
export type Decision = (typeof DECISIONS)[number];

/** What an activity rests on where it goes on. */
type Proof =
  | "none"
  /** A transaction of the state service that was answered with success. */
  | "recorded"
  /** A read that was sent after the question came. */
  | "fresh_read"
  /** The membership lease, counted from when its last renewal was sent, and a record that is not too old. */
  | "held_lease"
  /** A hand-over transaction on the condition of the shard's version, after stepping back. */
  | "guarded_transfer"
  /** The cloud's answer. */
  | "cloud_answer";

/** One cell of the table. */
export interface Rule {
  decision: Decision;
  proof: Proof;
  /** Shown to operators wherever the decision is not `allowed`. */
  reason: string;
}

/** The rules for all activities. */
export type Rules = Record<Activity, Rule>;

const allowed = (proof: Proof): Rule => ({ decision: "allowed", proof, reason: "" });
const delegated = (proof: Proof, reason: string): Rule => ({ decision: "delegated", proof, reason });
const refused = (reason: string): Rule => ({ decision: "refused", proof: "none", reason });

/** What holds while every link works. */
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

/** What changes with one loss; all else is as in `NORMAL_RULES`. */
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
  // Nobody can confirm a cancellation or take a shard over meanwhile, so that the lease is proof enough for starts.
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

/** The rules for a set of losses: the strictest of each. `alone`: there is no peer to pass anything to. */
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

/** Without peers there is nobody to pass anything to. A leader then stays: nobody is known to do better. */
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
