/** The `links` subcommand: requests the state of their links from all controllers, and formats it. */
import type { Settings } from "../config/settings.js";
import {
  hasLostLink,
  parseLinkStatus,
  restrictionLines,
  statusRows,
  type LinkStatus,
} from "../links/status.js";
import type { PeerNetwork } from "../peers/peer-network.js";

/** The state of one controller's links. */
export interface NodeReport {
  /** The controller's name. */
  node: string;
  /** Null where the controller did not answer with a status that can be read. */
  status: LinkStatus | null;
}

/** Exit codes, for scripts; a lost link comes before a controller without an answer, and that before a monitor that is off. */
export const LINK_EXIT_CODES = {
  /** Every controller answered, and none has lost a link. */
  ok: 0,
  /** Some controller has lost a link. */
  linkLost: 1,
  /** Some controller did not answer, and none of the others has lost a link. */
  noResponse: 3,
  /** Some controller's monitor is off, so that it cannot say; none has lost a link, and all answered. */
  monitorOff: 4,
} as const;

/** Requests reports from the controller that the settings are for, and from all its peers. */
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

/** Formats all reports as a table for people. The library is loaded only here, so that the daemon runs without it. */
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
