/** Creates the views of this controller's links that are attached to frames to peers. */
import type { SteadyClock } from "../runtime/clock.js";
import type { LinkTable } from "./link-table.js";
import { encodeView, VIEW_VERSION } from "./link-view.js";
import type { MisroutedWorkers } from "./misrouted-workers.js";
import type { StallAwareClock } from "./stall-aware-clock.js";

/** Dependencies of a `ViewSender`. */
export interface ViewSenderDependencies {
  readonly node: string;
  readonly incarnation: string;
  readonly clock: SteadyClock;
  readonly stallAwareClock: StallAwareClock;
  readonly table: LinkTable;
  readonly misrouted: MisroutedWorkers;
  /** The minimum time between two views sent to the same peer, in milliseconds. */
  readonly minIntervalMs: number;
}

/** Encodes views with increasing sequence numbers. */
export class ViewSender {
  private readonly sentAt = new Map<string, number>();
  private sequence = 0;

  constructor(private readonly dependencies: ViewSenderDependencies) {}

  /** Returns the view to attach to a frame to a peer; undefined if the last one was sent too recently. */
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
