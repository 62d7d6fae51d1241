/** The vocabulary of the link monitor: links, directions, observations and states. */

/** A connection that a controller depends on; one for each peer. */
export type LinkName = "state" | "workers" | "cloud" | "users" | `peer:${string}`;

/** The link to another controller. */
export const peerLink = (node: string): LinkName => `peer:${node}`;

/** Both ways of a link: what this controller sends, and what reaches it. */
export const DIRECTIONS = ["outbound", "inbound"] as const;
/** One way of a link. */
export type Direction = (typeof DIRECTIONS)[number];

/** `degraded`: it works, with failures or slowly, or it has worked again for a short time only. */
export const LINK_STATES = ["up", "degraded", "down", "unknown"] as const;
/** What is known of one direction of a link. */
export type LinkState = (typeof LINK_STATES)[number];

/** Why a call, or expected traffic, counts as failed. */
export type FailureCause =
  /** A call got no answer; whether the request or the answer was lost cannot be seen from here. */
  | "no_answer"
  /** The other side answered that it will not serve. */
  | "refused"
  /** Traffic that should have come did not. */
  | "silent"
  /** Answers went out, and peers see that they were not received. */
  | "answers_lost";

/** What a state rests on. */
export type Evidence =
  | FailureCause
  /** Traffic was seen to arrive. */
  | "delivered"
  /** Answers come, and most of them late. */
  | "slow"
  /** It has worked again since a failure, for less time than is needed to trust it. */
  | "recovering"
  /** Nothing was sent or expected lately. */
  | "no_traffic"
  /** This process itself stood still, so that silence proves nothing. */
  | "process_stalled"
  /** Silence that looks alike whether this controller or the other side is cut off. */
  | "uncorroborated";

/** Whom a failure concerns, as far as peers' views tell. */
export type Scope = "none" | "this_node" | "everyone" | "unclear";

/** One piece of evidence about one direction, or both, of a link. */
export type Observation =
  | { kind: "delivered"; link: LinkName; direction: Direction }
  /** A call was answered, after so long. */
  | { kind: "answered"; link: LinkName; latencyMs: number }
  /** A call was answered with a refusal: traffic passes both ways, and what was asked was not done. */
  | { kind: "refused"; link: LinkName }
  /** A call was not answered. */
  | { kind: "unanswered"; link: LinkName };

/** Takes in observations. */
export type ObservationSink = (observation: Observation) => void;

/** One direction of a link as it is reported. */
export interface DirectionReport {
  link: LinkName;
  direction: Direction;
  state: LinkState;
  /** How long it has been so, by the steady clock. */
  forMs: number;
  evidence: Evidence;
  scope: Scope;
}
