/** All links of one controller, with a tracker for each direction. */
import type { Diagnosis } from "./diagnosis.js";
import { DirectionTracker, type TrackerTimings } from "./direction-tracker.js";
import { DIRECTIONS, peerLink, type Direction, type LinkName, type Observation } from "./model.js";

/** One direction of a link and the evidence about it. */
export interface LinkTableEntry {
  link: LinkName;
  direction: Direction;
  tracker: DirectionTracker;
  /** When the reported state last changed, by the steady clock. */
  stateChangedAt: number;
  /** When the direction started failing, if it is failing or recovering; null while it works. */
  failingSince: number | null;
  /** The reported state, as of the last tick. */
  diagnosis: Diagnosis;
}

const UNDIAGNOSED: Diagnosis = { state: "unknown", evidence: "no_traffic", scope: "none" };

/** The trackers by link and direction. Their number depends on the number of controllers, not of machines. */
export class LinkTable {
  private readonly entries = new Map<string, LinkTableEntry>();

  constructor(peers: Iterable<string>, timings: TrackerTimings, now: number) {
    const links: LinkName[] = ["state", "workers", "cloud", "users", ...Array.from(peers, peerLink)];
    for (const link of links)
      for (const direction of DIRECTIONS) {
        const tracker = new DirectionTracker(timings);
        const entry = {
          link,
          direction,
          tracker,
          stateChangedAt: now,
          failingSince: null,
          diagnosis: UNDIAGNOSED,
        };
        this.entries.set(keyOf(link, direction), entry);
      }
  }

  /** Returns both directions of all links. */
  all(): IterableIterator<LinkTableEntry> {
    return this.entries.values();
  }

  /** Returns the reported state of one direction of a link. */
  diagnosis(link: LinkName, direction: Direction): Diagnosis {
    return this.entries.get(keyOf(link, direction))?.diagnosis ?? UNDIAGNOSED;
  }

  /** Returns the tracker of one direction of a link; undefined for a peer that the settings do not name. */
  tracker(link: LinkName, direction: Direction): DirectionTracker | undefined {
    return this.entries.get(keyOf(link, direction))?.tracker;
  }

  /** Records an observation in the trackers of the directions that it concerns. */
  observe(observation: Observation, now: number): void {
    const { link } = observation;
    // Most observations are heartbeats, so this path takes a single look-up.
    if (observation.kind === "delivered") {
      this.tracker(link, observation.direction)?.recordDelivery(now);
      return;
    }
    const outbound = this.tracker(link, "outbound");
    const inbound = this.tracker(link, "inbound");
    switch (observation.kind) {
      case "answered":
        outbound?.recordResponse(now, observation.latencyMs);
        inbound?.recordResponse(now, observation.latencyMs);
        return;
      case "refused":
        outbound?.recordFailure(now, "refused");
        inbound?.recordDelivery(now);
        return;
      case "unanswered":
        outbound?.recordFailure(now, "no_answer");
        inbound?.recordFailure(now, "no_answer");
        return;
    }
  }
}

const keyOf = (link: LinkName, direction: Direction): string => `${link} ${direction}`;
