/** Combines this controller's own evidence with its peers' votes into the reported state. */
import type { Direction, Evidence, LinkName, LinkState, Scope } from "./model.js";
import type { Votes } from "./peer-views.js";

/** What a controller observed itself, and what its peers report. */
export interface DiagnosisInput {
  link: LinkName;
  direction: Direction;
  state: LinkState;
  evidence: Evidence;
  /** Whether this process stalled recently: traffic that it missed then proves nothing. */
  isStalled: boolean;
  votes: Votes;
}

/** The state to report, what it is based on, and which controllers are affected. */
export interface Diagnosis {
  state: LinkState;
  evidence: Evidence;
  scope: Scope;
}

/**
 * Derives the state to report. An outage for all, a refusal of this controller alone and a stall of this process look
 * the same to a single controller; peers' views tell them apart. If they do not, silence alone is reported as unknown
 * instead of down.
 */
export function diagnose(input: DiagnosisInput): Diagnosis {
  const { state, evidence, votes } = input;
  if (state !== "down") return { state, evidence, scope: "none" };
  if (input.isStalled) return { state: "unknown", evidence: "process_stalled", scope: "unclear" };
  const scope = majorityScope(votes);
  // Workers that send heartbeats to no controller may have ended, and users may simply send no requests.
  if (evidence === "silent" && scope !== "this_node")
    return { state: "unknown", evidence: "uncorroborated", scope };
  return { state, evidence, scope };
}

/** The scope by majority of the votes; `unclear` on a tie or without votes. */
function majorityScope({ working, failing }: Votes): Scope {
  if (working.length > failing.length) return "this_node";
  if (failing.length > working.length) return "everyone";
  return "unclear";
}
