/** What operators are shown of one controller's links, as JSON and as text. */
import * as z from "zod";
import { DIRECTIONS, LINK_STATES, type Direction, type LinkState } from "./model.js";
import { ACTIVITIES, DECISIONS, LOSSES } from "./degradation-policy.js";
import { MONITOR_MODES } from "./settings.js";

/** Checked where it comes from another controller; fields of a newer program are ignored. */
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
  /** Peers' views that were dropped since the start, by reason. */
  droppedViews: z.record(z.string(), z.int().nonnegative()),
});

/** One controller's links, and what it may do. */
export type LinkStatus = z.infer<typeof linkStatusSchema>;

/** What a controller answers whose monitor is off. */
export const statusWhileOff = (node: string): LinkStatus => ({
  node,
  mode: "off",
  links: [],
  lost: [],
  activities: [],
  droppedViews: {},
});

/** Reads a status that came as text; null where it is none. */
export function parseLinkStatus(text: string): LinkStatus | null {
  let raw: unknown;
  try {
    raw = JSON.parse(text);
  } catch {
    return null;
  }
  return linkStatusSchema.safeParse(raw).data ?? null;
}

/** Whether something is lost, or a direction is down. */
export function hasLostLink({ links, lost }: LinkStatus): boolean {
  return lost.length > 0 || links.some((link) => link.state === "down");
}

/** One line of a status for people. */
export interface StatusRow {
  link: string;
  direction: Direction;
  state: LinkState;
  since: string;
  evidence: string;
}

/** The links of a status as rows of a table. */
export function statusRows({ links }: LinkStatus): StatusRow[] {
  return links.map(({ link, direction, state, forMs, evidence, scope }) => ({
    link,
    direction,
    state,
    since: `${(forMs / 1000).toFixed(1)} s`,
    evidence: scope === "none" ? evidence : `${evidence} (${scope})`,
  }));
}

/** What is not allowed now, a line for each activity. */
export function restrictionLines({ activities, mode }: LinkStatus): string[] {
  const verb = mode === "enforce" ? "is" : "would be";
  return activities
    .filter(({ decision }) => decision !== "allowed")
    .map(({ activity, decision, reason }) => `${activity} ${verb} ${decision}: ${reason}`);
}
