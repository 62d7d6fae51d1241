/** The `links` subcommand: collects the link status of all controllers and formats it. */
import type { Settings } from "../config/settings.js";
import {
  hasLostLink,
  parseLinkStatus,
  restrictionLines,
  statusRows,
  type LinkStatus,
} from "../links/status.js";
import type { PeerNetwork } from "../peers/peer-network.js";

/** The link status of one controller. */
export interface NodeReport {
  /** The controller's name. */
  node: string;
  /** Null if the controller did not respond with a valid status. */
  status: LinkStatus | null;
}

/**
 * Exit codes for scripts. A lost link takes precedence over a missing response, and that over a monitor that is off.
 */
export const LINK_EXIT_CODES = {
  /** All controllers responded, all their monitors are on, and no link is lost. */
  ok: 0,
  /** At least one controller has lost a link. */
  linkLost: 1,
  /** At least one controller did not respond; none of the others has lost a link. */
  noResponse: 3,
  /** All controllers responded and none has lost a link, but at least one monitor is off and cannot detect a loss. */
  monitorOff: 4,
} as const;

/** Requests reports from the controller that the settings belong to, and from all its peers. */
export async function collectLinkReports(
  settings: Pick<Settings, "node" | "peers">,
  network: Pick<PeerNetwork, "request">,
): Promise<NodeReport[]> {
  const nodes = [settings.node, ...settings.peers.map((peer) => peer.node)];
  return Promise.all(nodes.map((node) => requestReport(node, network)));
}

async function requestReport(node: string, network: Pick<PeerNetwork, "request">): Promise<NodeReport> {
  try {
    const reply = await network.request(node, { linkStatus: {} });
    return { node, status: "linkReport" in reply ? parseLinkStatus(reply.linkReport.json) : null };
  } catch {
    return { node, status: null };
  }
}

/** The exit code for all reports together. */
export function linkExitCode(reports: NodeReport[]): number {
  if (reports.some(({ status }) => status !== null && hasLostLink(status))) return LINK_EXIT_CODES.linkLost;
  if (reports.some(({ status }) => status === null)) return LINK_EXIT_CODES.noResponse;
  return reports.some(({ status }) => status?.mode === "off")
    ? LINK_EXIT_CODES.monitorOff
    : LINK_EXIT_CODES.ok;
}

/** Formats all reports as a table. The table library is loaded only here, so that the controller runs without it. */
export async function linkTable(reports: NodeReport[]): Promise<string> {
  const { default: Table } = await import("cli-table3");
  const table = new Table({
    head: ["controller", "link", "direction", "state", "for", "evidence"],
    style: { head: [], border: [] },
  });
  for (const { node, status } of reports) {
    const rows = status === null ? [] : statusRows(status);
    if (rows.length === 0) table.push([node, { colSpan: 5, content: status?.mode ?? "no answer" }]);
    for (const { link, direction, state, since, evidence } of rows)
      table.push([node, link, direction, state, since, evidence]);
  }
  return [table.toString(), ...reports.flatMap(restrictionNotes)].join("\n");
}

function restrictionNotes({ node, status }: NodeReport): string[] {
  return status === null ? [] : restrictionLines(status).map((line) => `${node}: ${line}`);
}
