/** Records the events of a run that users and machines observe, and the pauses of this process, with their times. */
import type { CloudObserver } from "../cloud.js";
import type { EndCause, FakeWorker } from "../worker.js";
import type { SoakEvent } from "./checker.js";

/** How often the recorder checks whether this process was suspended. */
const CHECK_INTERVAL_MS = 50;

/** A line of the merged timeline that is not an event for the checker. */
export interface TimelineNote {
  at: number;
  text: string;
}

/** An event of any kind without its time. */
type Untimed<E> = E extends unknown ? Omit<E, "at"> : never;

/** Collects the events for the checker and the notes for the timeline. */
export class SoakRecorder implements CloudObserver {
  readonly events: SoakEvent[] = [];
  readonly notes: TimelineNote[] = [];
  /** The longest time for which this process, which contains all fakes, did not run. */
  longestPauseMs = 0;
  private lastCheckAt = performance.now();
  private readonly pauseDetector = setInterval(() => {
    const now = performance.now();
    this.longestPauseMs = Math.max(this.longestPauseMs, now - this.lastCheckAt - CHECK_INTERVAL_MS);
    this.lastCheckAt = now;
  }, CHECK_INTERVAL_MS);

  get now(): number {
    return performance.now();
  }

  started(task: string, { host, zone }: FakeWorker): void {
    this.add({ kind: "started", task, host, zone });
  }

  completed(task: string): void {
    this.add({ kind: "completed", task });
  }

  ended(task: string, { host }: FakeWorker, cause: EndCause, at: number): void {
    this.events.push({ at, kind: "ended", task, host, cause });
  }

  /** Adds an event at the current time. */
  add(event: Untimed<SoakEvent>): void {
    this.events.push({ at: this.now, ...event });
  }

  /** Adds a line to the timeline at the current time. */
  note(text: string): void {
    this.notes.push({ at: this.now, text });
  }

  close(): void {
    clearInterval(this.pauseDetector);
  }
}
