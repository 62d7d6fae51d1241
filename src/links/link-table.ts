/** All links of one controller with the tracks of both their directions. */
import type { Diagnosis } from "./diagnosis.js";
import { DirectionTracker, type TrackerTimings } from "./direction-tracker.js";
import { DIRECTIONS, peerLink, type Direction, type LinkName, type Observation } from "./model.js";

/** One direction of a link and the evidence about it. */
export interface LinkTableEntry {
  link: LinkName;
  direction: Direction;
  tracker: DirectionTracker;
  /** When it last changed its reported state, by the steady clock. */
  stateChangedAt: number;
  /** Since when it has been failing or recovering from that; null while it works. */
  failingSince: number | null;
  /** What is reported of it, as of the last review. */
  diagnosis: Diagnosis;
}

const UNDIAGNOSED: Diagnosis = { state: "unknown", evidence: "no_traffic", scope: "none" };

/** The tracks of all links, by link and direction. Their number is that of the controllers, not of the machines. */
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

  /** Both directions of all links. */
  all(): IterableIterator<LinkTableEntry> {
    return this.entries.values();
  }

  /** What is reported of one direction of a link. */
  diagnosis(link: LinkName, direction: Direction): Diagnosis {
    return this.entries.get(keyOf(link, direction))?.diagnosis ?? UNDIAGNOSED;
  }

  /** Undefined for a peer that the settings do not name. */
  tracker(link: LinkName, direction: Direction): DirectionTracker | undefined {
    return this.entries.get(keyOf(link, direction))?.tracker;
  }

  /** Brings an observation to the directions that it tells of. */
  observe(observation: Observation, now: number): void {
    const { link } = observation;
    // Most observations are of reports: they need one look-up.
    if (observation.kind === "delivered") {
      this.tracker(link, observation.direction)?.recordDelivery(now);
      return;
    }
    const outbound = this.tracker(link, "outbound");
    const inbound = this.tracker(link, "inbound");
    switch (observation.kind) {
      case "answered":
        outbound?.recordAnswer(now, observation.latencyMs);
        inbound?.recordAnswer(now, observation.latencyMs);
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
