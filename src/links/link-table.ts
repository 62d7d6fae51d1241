/** All links of one controller with the tracks of both their directions. */
import type { Diagnosis } from "./diagnosis.js";
import { DirectionTrack, type TrackTimings } from "./direction-track.js";
import { DIRECTIONS, peerLink, type Direction, type LinkName, type Observation } from "./model.js";

/** One direction of a link and the evidence about it. */
export interface TrackEntry {
  link: LinkName;
  direction: Direction;
  track: DirectionTrack;
  /** When it last changed its reported state, by the steady clock. */
  since: number;
  /** Since when it has been failing or recovering from that; null while it works. */
  failingSince: number | null;
  /** What is reported of it, as of the last review. */
  diagnosis: Diagnosis;
}

const UNDIAGNOSED: Diagnosis = { state: "unknown", evidence: "no_traffic", scope: "none" };

/** The tracks of all links, by link and direction. Their number is that of the controllers, not of the machines. */
export class LinkTable {
  private readonly entries = new Map<string, TrackEntry>();

  constructor(peers: Iterable<string>, timings: TrackTimings, now: number) {
    const links: LinkName[] = ["state", "workers", "cloud", "users", ...Array.from(peers, peerLink)];
    for (const link of links)
      for (const direction of DIRECTIONS) {
        const track = new DirectionTrack(timings);
        const entry = { link, direction, track, since: now, failingSince: null, diagnosis: UNDIAGNOSED };
        this.entries.set(keyOf(link, direction), entry);
      }
  }

  /** Both directions of all links. */
  all(): IterableIterator<TrackEntry> {
    return this.entries.values();
  }

  /** What is reported of one direction of a link. */
  diagnosis(link: LinkName, direction: Direction): Diagnosis {
    return this.entries.get(keyOf(link, direction))?.diagnosis ?? UNDIAGNOSED;
  }

  /** Undefined for a peer that the settings do not name. */
  track(link: LinkName, direction: Direction): DirectionTrack | undefined {
    return this.entries.get(keyOf(link, direction))?.track;
  }

  /** Brings an observation to the directions that it tells of. */
  observe(observation: Observation, now: number): void {
    const { link } = observation;
    // Most observations are of reports: they need one look-up.
    if (observation.kind === "delivered") {
      this.track(link, observation.direction)?.delivered(now);
      return;
    }
    const outbound = this.track(link, "outbound");
    const inbound = this.track(link, "inbound");
    switch (observation.kind) {
      case "answered":
        outbound?.answered(now, observation.latencyMs);
        inbound?.answered(now, observation.latencyMs);
        return;
      case "refused":
        outbound?.failed(now, "refused");
        inbound?.delivered(now);
        return;
      case "unanswered":
        outbound?.failed(now, "no_answer");
        inbound?.failed(now, "no_answer");
        return;
    }
  }
}

const keyOf = (link: LinkName, direction: Direction): string => `${link} ${direction}`;
