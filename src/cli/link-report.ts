/** The `links` subcommand: asks every controller that it reaches for its links, and prints them. */
import type { Settings } from "../config/settings.js";
import {
  hasLostLink,
  parseLinkStatus,
  restrictionLines,
  statusRows,
  type LinkStatus,
} from "../links/status.js";
import type { PeerNetwork } from "../peers/peer-network.js";

/** What a controller answered, or null where it did not. */
export interface NodeReport {
  node: string;
  status: LinkStatus | null;
}

/** Exit codes, for scripts. */
export const LINK_EXIT_CODES = {
  /** Every controller answered, and none has lost a link. */
  fine: 0,
  /** Some controller has lost a link. */
  lost: 1,
  /** Some controller did not answer, and none of the others has lost a link. */
  unreached: 3,
  /** Some controller's monitor is off, so that it cannot say; none has lost a link, and all answered. */
  off: 4,
} as const;

/** Asks the controller that the settings are for, and all that they name. */
export async function collectLinkReports(
  settings: Pick<Settings, "node" | "peers">,
  network: Pick<PeerNetwork, "request">,
): Promise<NodeReport[]> {
  const nodes = [settings.node, ...settings.peers.map((peer) => peer.node)];
  return Promise.all(nodes.map((node) => askForLinks(node, network)));
}

async function askForLinks(node: string, network: Pick<PeerNetwork, "request">): Promise<NodeReport> {
  try {
    const reply = await network.request(node, { linkStatus: {} });
    return { node, status: "linkReport" in reply ? parseLinkStatus(reply.linkReport.json) : null };
  } catch {
    return { node, status: null };
  }
}

/** The exit code that sums up all reports. */
export function linkExitCode(reports: NodeReport[]): number {
  if (reports.some(({ status }) => status !== null && hasLostLink(status))) return LINK_EXIT_CODES.lost;
  if (reports.some(({ status }) => status === null)) return LINK_EXIT_CODES.unreached;
  return reports.some(({ status }) => status?.mode === "off") ? LINK_EXIT_CODES.off : LINK_EXIT_CODES.fine;
}

/** A table for people. The library is loaded only here: the daemon goes without. */
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
  return [table.toString(), ...reports.flatMap(notesOn)].join("\n");
}

function notesOn({ node, status }: NodeReport): string[] {
  return status === null ? [] : restrictionLines(status).map((line) => `${node}: ${line}`);
}
