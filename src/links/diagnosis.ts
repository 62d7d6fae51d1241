/** From this controller's own evidence and its peers' votes to the reported state. Pure. */
import type { Direction, Evidence, LinkName, LinkState, Scope } from "./model.js";
import type { Votes } from "./peer-views.js";

/** What one controller sees by itself, and what its peers say. */
export interface DiagnosisInput {
  link: LinkName;
  direction: Direction;
  state: LinkState;
  evidence: Evidence;
  /** Whether this process stood still lately: whatever it missed meanwhile proves nothing. */
  isStalled: boolean;
  votes: Votes;
}

/** What is reported: the state and what it rests on. */
export interface Diagnosis {
  state: LinkState;
  evidence: Evidence;
  scope: Scope;
}

/**
 * An outage for all, a refusal of this controller alone and a stall of its own look alike from one controller. Peers'
 * views tell them apart; where they do not, silence alone counts as unknown and not as down.
 */
export function diagnose(finding: DiagnosisInput): Diagnosis {
  const { state, evidence, votes } = finding;
  if (state !== "down") return { state, evidence, scope: "none" };
  if (finding.isStalled) return { state: "unknown", evidence: "process_stalled", scope: "unclear" };
  const scope = majorityScope(votes);
  // Workers that report nowhere may have ended, and users may just not ask.
  if (evidence === "silent" && scope !== "this_node")
    return { state: "unknown", evidence: "uncorroborated", scope };
  return { state, evidence, scope };
}

/** The majority of those who can say; a tie, or nobody, leaves it unclear. */
function majorityScope({ working, failing }: Votes): Scope {
  if (working.length > failing.length) return "this_node";
  if (failing.length > working.length) return "everyone";
  return "unclear";
}
