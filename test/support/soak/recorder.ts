/** Writes down with its time what users and machines see of a run, and whether this process itself stood still. */
import type { CloudObserver } from "../cloud.js";
import type { EndCause, FakeWorker } from "../worker.js";
import type { SoakEvent } from "./checker.js";

/** How often the recorder looks whether it has been kept from running. */
const LOOK_MS = 50;

/** A line of the merged timeline that is no event of the checker's. */
export interface Remark {
  at: number;
  text: string;
}

/** An event without its time, of whichever kind. */
type Untimed<E> = E extends unknown ? Omit<E, "at"> : never;

export class SoakRecorder implements CloudObserver {
  readonly events: SoakEvent[] = [];
  readonly remarks: Remark[] = [];
  /** The longest time for which this process, with all stand-ins in it, did not run. */
  longestPauseMs = 0;
  private lastLook = performance.now();
  private readonly watch = setInterval(() => {
    const now = performance.now();
    this.longestPauseMs = Math.max(this.longestPauseMs, now - this.lastLook - LOOK_MS);
    this.lastLook = now;
  }, LOOK_MS);

  get now(): number {
    return performance.now();
  }

  started(piece: string, { host, zone }: FakeWorker): void {
    this.add({ kind: "started", task: piece, host, zone });
  }

  completed(piece: string): void {
    this.add({ kind: "completed", task: piece });
  }

  ended(piece: string, { host }: FakeWorker, cause: EndCause, at: number): void {
    this.events.push({ at, kind: "ended", task: piece, host, cause });
  }

  add(event: Untimed<SoakEvent>): void {
    this.events.push({ at: this.now, ...event });
  }

  remark(text: string): void {
    this.remarks.push({ at: this.now, text });
  }

  close(): void {
    clearInterval(this.watch);
  }
}
