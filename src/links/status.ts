/** The status of one controller's links that operators see, as JSON and as text. */
import * as z from "zod";
import { DIRECTIONS, LINK_STATES, type Direction, type LinkState } from "./model.js";
import { ACTIVITIES, DECISIONS, LOSSES } from "./degradation-policy.js";
import { MONITOR_MODES } from "./settings.js";

/** Validates a status received from another controller. Fields of a newer version are ignored. */
const linkStatusSchema = z.object({
  node: z.string(),
  mode: z.enum(MONITOR_MODES),
  links: z.array(
    z.object({
      link: z.string(),
      direction: z.enum(DIRECTIONS),
      state: z.enum(LINK_STATES),
      forMs: z.number().nonnegative(),
      evidence: z.string(),
      scope: z.string(),
    }),
  ),
  lost: z.array(z.enum(LOSSES)),
  activities: z.array(
    z.object({
      activity: z.enum(ACTIVITIES),
      decision: z.enum(DECISIONS),
      proof: z.string(),
      reason: z.string(),
    }),
  ),
  /** Number of peers' views dropped since the process started, by reason. */
  droppedViews: z.record(z.string(), z.int().nonnegative()),
});

/** The states of one controller's links, and the activities that its policy allows. */
export type LinkStatus = z.infer<typeof linkStatusSchema>;

/** The status of a controller whose link monitor is off. */
export const statusWhileOff = (node: string): LinkStatus => ({
  node,
  mode: "off",
  links: [],
  lost: [],
  activities: [],
  droppedViews: {},
});

/** Parses a status from JSON text; returns null if it is invalid. */
export function parseLinkStatus(text: string): LinkStatus | null {
  let raw: unknown;
  try {
    raw = JSON.parse(text);
  } catch {
    return null;
  }
  return linkStatusSchema.safeParse(raw).data ?? null;
}

/** Whether a connection is lost or a direction of a link is down. */
export function hasLostLink({ links, lost }: LinkStatus): boolean {
  return lost.length > 0 || links.some((link) => link.state === "down");
}

/** A row of the link status table. */
export interface StatusRow {
  link: string;
  direction: Direction;
  state: LinkState;
  since: string;
  evidence: string;
}

/** Formats the links of a status as table rows. */
export function statusRows({ links }: LinkStatus): StatusRow[] {
  return links.map(({ link, direction, state, forMs, evidence, scope }) => ({
    link,
    direction,
    state,
    since: `${(forMs / 1000).toFixed(1)} s`,
    evidence: scope === "none" ? evidence : `${evidence} (${scope})`,
  }));
}

/** Describes each activity that is not allowed now in one line. */
export function restrictionLines({ activities, mode }: LinkStatus): string[] {
  const verb = mode === "enforce" ? "is" : "would be";
  return activities
    .filter(({ decision }) => decision !== "allowed")
    .map(({ activity, decision, reason }) => `${activity} ${verb} ${decision}: ${reason}`);
}
