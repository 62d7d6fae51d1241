/** The record of one run: what was sent, answered and run, with the seconds since the start. */
import { writeFileSync } from "node:fs";

export class Record {
  constructor(path) {
    this.path = path;
    this.startedAt = performance.now();
    this.lines = [];
  }

  /** Seconds since the start of the run. */
  now() {
    return (performance.now() - this.startedAt) / 1000;
  }

  add(kind, details = {}) {
    this.lines.push(`${this.now().toFixed(3).padStart(8)} ${kind} ${JSON.stringify(details)}`);
  }

  save() {
    writeFileSync(this.path, `${this.lines.join("\n")}\n`);
  }
}

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));
