/** Makes the views of this controller's links that are attached to frames to peers. */
import type { SteadyClock } from "../runtime/clock.js";
import type { LinkTable } from "./link-table.js";
import { encodeView, VIEW_VERSION } from "./link-view.js";
import type { MisroutedWorkers } from "./misrouted-workers.js";
import type { StallAwareClock } from "./stall-aware-clock.js";

/** What a sender is made from. */
export interface ViewSenderDependencies {
  readonly node: string;
  readonly incarnation: string;
  readonly clock: SteadyClock;
  readonly stallAwareClock: StallAwareClock;
  readonly table: LinkTable;
  readonly misrouted: MisroutedWorkers;
  /** The least time between two views to the same peer, in milliseconds. */
  readonly minIntervalMs: number;
}

/** Encodes views, each with a higher sequence number than the last. */
export class ViewSender {
  private readonly sentAt = new Map<string, number>();
  private sequence = 0;

  constructor(private readonly dependencies: ViewSenderDependencies) {}

  /** The view to attach to a frame to a peer; undefined if it is not time for one yet. */
  nextViewFor(peer: string): Uint8Array | undefined {
    const { node, incarnation, clock, table, misrouted, minIntervalMs } = this.dependencies;
    const now = clock();
    if (now - (this.sentAt.get(peer) ?? -Infinity) < minIntervalMs) return undefined;
    this.sentAt.set(peer, now);
    const links = Array.from(table.all(), ({ link, direction, tracker }) => {
      const state = this.dependencies.stallAwareClock.isDelayed ? ("unknown" as const) : tracker.state;
      return { link, direction, state };
    });
    return encodeView({
      version: VIEW_VERSION,
      node,
      incarnation,
      sequence: ++this.sequence,
      links,
      misrouted: misrouted.counts(now),
    });
  }
}
