/** The latest views of all peers, as long as they count, and what they say together. */
import type { Direction, LinkName, LinkState } from "./model.js";
import { decodeView, type DecodedView, type LinkView } from "./link-view.js";

/** A peer's view and when it came. */
interface ReceivedView {
  view: LinkView;
  receivedAt: number;
}

/** How many peers, by their latest views, find a link working and failing. */
export interface Votes {
  working: string[];
  failing: string[];
}

/** Processes that have been replaced, remembered per peer: late copies of their views come seconds later at the most. */
const MAX_REPLACED_INCARNATIONS = 8;

/** Takes in views, drops what cannot be believed, and counts votes. */
export class PeerViews {
  private readonly latest = new Map<string, ReceivedView>();
  private readonly replacedIncarnations = new Map<string, string[]>();

  constructor(
    /** The controllers that the settings name, this one not among them. */
    private readonly peers: ReadonlySet<string>,
    private readonly ttlMs: number,
  ) {}

  /** Takes in a view if it is newer than all from the same peer. */
  receive(bytes: Uint8Array, now: number): DecodedView {
    const decoded = decodeView(bytes);
    if (!decoded.ok) return decoded;
    const { view } = decoded;
    if (!this.peers.has(view.node)) return { ok: false, reason: "unknown_node" };
    const known = this.latest.get(view.node)?.view;
    if (this.replacedIncarnations.get(view.node)?.includes(view.incarnation))
      return { ok: false, reason: "outdated" };
    if (known?.incarnation === view.incarnation) {
      if (view.sequence < known.sequence) return { ok: false, reason: "outdated" };
      if (view.sequence === known.sequence && JSON.stringify(view) !== JSON.stringify(known))
        return { ok: false, reason: "contradictory" };
    } else if (known !== undefined) this.rememberReplaced(known);
    this.latest.set(view.node, { view, receivedAt: now });
    return decoded;
  }

  /** The views that still count. */
  current(now: number): LinkView[] {
    const views: LinkView[] = [];
    for (const { view, receivedAt } of this.latest.values())
      if (now - receivedAt <= this.ttlMs) views.push(view);
    return views;
  }

  /** A peer's view, if it still counts. */
  currentOf(node: string, now: number): LinkView | undefined {
    const received = this.latest.get(node);
    return received !== undefined && now - received.receivedAt <= this.ttlMs ? received.view : undefined;
  }

  /**
   * What the peers say of their own links to the same service, by views that came since a given time. Peers whose link is
   * degraded or unknown abstain: it may be about to fail, too.
   */
  votes(link: LinkName, direction: Direction, now: number, since: number): Votes {
    const votes: Votes = { working: [], failing: [] };
    for (const { view, receivedAt } of this.latest.values()) {
      if (receivedAt < since || now - receivedAt > this.ttlMs) continue;
      const state = linkStateIn(view, link, direction);
      if (state === "up") votes.working.push(view.node);
      if (state === "down") votes.failing.push(view.node);
    }
    return votes;
  }

  /** When the latest view of a peer came. */
  receivedAt(node: string): number {
    return this.latest.get(node)?.receivedAt ?? -Infinity;
  }

  private rememberReplaced({ node, incarnation }: LinkView): void {
    const earlier = this.replacedIncarnations.get(node) ?? [];
    this.replacedIncarnations.set(node, [...earlier, incarnation].slice(-MAX_REPLACED_INCARNATIONS));
  }
}

/** What a view says of one direction of a link. */
export function linkStateIn(view: LinkView, link: LinkName, direction: Direction): LinkState | undefined {
  return view.links.find((note) => note.link === link && note.direction === direction)?.state;
}
