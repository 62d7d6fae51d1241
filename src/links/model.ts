/** Shared types of the link monitor: links, directions, observations and states. */

/** A connection that a controller depends on. Each peer has a link of its own. */
export type LinkName = "state" | "workers" | "cloud" | "users" | `peer:${string}`;

/** Returns the name of the link to another controller. */
export const peerLink = (node: string): LinkName => `peer:${node}`;

/** The directions of a link: `outbound` is what this controller sends, `inbound` what it receives. */
export const DIRECTIONS = ["outbound", "inbound"] as const;
/** One direction of a link. */
export type Direction = (typeof DIRECTIONS)[number];

/** `degraded`: the link works, but with failures, slowly, or not yet long enough since it was down. */
export const LINK_STATES = ["up", "degraded", "down", "unknown"] as const;
/** The state of one direction of a link. */
export type LinkState = (typeof LINK_STATES)[number];

/** Why a call, or traffic that was expected, counts as failed. */
export type FailureCause =
  /** A call got no response. The caller cannot tell whether the request or the response was lost. */
  | "no_answer"
  /** The other side responded that it does not serve the request. */
  | "refused"
  /** Expected traffic did not arrive. */
  | "silent"
  /** Responses were sent, but peers' views show that they did not arrive. */
  | "answers_lost";

/** What a reported state is based on. */
export type Evidence =
  | FailureCause
  /** Traffic arrived. */
  | "delivered"
  /** Responses arrive, but most of them late. */
  | "slow"
  /** The link works again, but for less time than it takes to count as up. */
  | "recovering"
  /** Nothing was sent or received recently. */
  | "no_traffic"
  /** This process itself stalled, so missing traffic proves nothing. */
  | "process_stalled"
  /** Traffic is missing, and peers' views do not show that only this controller misses it. */
  | "uncorroborated";

/** Which controllers a failure affects, according to peers' views. */
export type Scope = "none" | "this_node" | "everyone" | "unclear";

/** Evidence about one or both directions of a link. */
export type Observation =
  | { kind: "delivered"; link: LinkName; direction: Direction }
  /** A call was answered after `latencyMs`. */
  | { kind: "answered"; link: LinkName; latencyMs: number }
  /** A call was answered with a refusal: traffic passes in both directions, but the request was not executed. */
  | { kind: "refused"; link: LinkName }
  /** A call was not answered. */
  | { kind: "unanswered"; link: LinkName };

/** Receives observations. */
export type ObservationSink = (observation: Observation) => void;

/** The reported state of one direction of a link. */
export interface DirectionReport {
  link: LinkName;
  direction: Direction;
  state: LinkState;
  /** How long the direction has been in this state, by the steady clock. */
  forMs: number;
  evidence: Evidence;
  scope: Scope;
}
