/** The latest views of all peers until they expire, and the votes derived from them. */
import type { Direction, LinkName, LinkState } from "./model.js";
import { decodeView, type DecodedView, type LinkView } from "./link-view.js";

/** A peer's view and when it was received. */
interface ReceivedView {
  view: LinkView;
  receivedAt: number;
}

/** The peers that report a link as working and as failing, by their latest views. */
export interface Votes {
  working: string[];
  failing: string[];
}

/** Replaced incarnations kept per peer. A few are enough, since late copies of views arrive within seconds. */
const MAX_REPLACED_INCARNATIONS = 8;

/** Receives views, drops invalid and outdated ones, and counts votes. */
export class PeerViews {
  private readonly latest = new Map<string, ReceivedView>();
  private readonly replacedIncarnations = new Map<string, string[]>();

  constructor(
    /** The controllers that the settings name, except this one. */
    private readonly peers: ReadonlySet<string>,
    private readonly ttlMs: number,
  ) {}

  /** Stores a view unless it is invalid or older than the latest one of the same peer. */
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

  /** Returns the views that have not expired. */
  current(now: number): LinkView[] {
    const views: LinkView[] = [];
    for (const { view, receivedAt } of this.latest.values())
      if (now - receivedAt <= this.ttlMs) views.push(view);
    return views;
  }

  /** Returns a peer's view unless it has expired. */
  currentOf(node: string, now: number): LinkView | undefined {
    const received = this.latest.get(node);
    return received !== undefined && now - received.receivedAt <= this.ttlMs ? received.view : undefined;
  }

  /**
   * Counts the peers' votes on their own links to the same service, by views received since a given time. A peer whose
   * link is degraded or unknown abstains, since the link may be about to fail too.
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

  /** When the latest view of a peer was received; `-Infinity` if none was. */
  receivedAt(node: string): number {
    return this.latest.get(node)?.receivedAt ?? -Infinity;
  }

  private rememberReplaced({ node, incarnation }: LinkView): void {
    const earlier = this.replacedIncarnations.get(node) ?? [];
    this.replacedIncarnations.set(node, [...earlier, incarnation].slice(-MAX_REPLACED_INCARNATIONS));
  }
}

/** Returns the state that a view gives for one direction of a link. */
export function linkStateIn(view: LinkView, link: LinkName, direction: Direction): LinkState | undefined {
  return view.links.find((note) => note.link === link && note.direction === direction)?.state;
}
