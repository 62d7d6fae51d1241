/**
 * Makes sure that this node's copy of the records is as new as any answer that any node has given. One small read
 * serves all who ask before it is sent, so that what it costs does not grow with the number of users.
 */
import { StateFailure, type StateClient } from "./client.js";
import type { Replica } from "./replica.js";

interface Asking {
  resolve: () => void;
  reject: (err: Error) => void;
}

/** Waits until the replica is as new as the service was when somebody asked. */
export class Freshness {
  private asking: Asking[] = [];
  private reading = false;

  constructor(
    private readonly state: Pick<StateClient, "revision">,
    private readonly replica: Pick<Replica, "reach">,
    private readonly queueTimeoutMs: number,
  ) {}

  /** Resolves once the copy holds all that was durable when this was called; fails if that takes too long. */
  now(): Promise<void> {
    return new Promise((resolve, reject) => {
      this.asking.push({ resolve, reject });
      if (!this.reading) void this.read();
    });
  }

  private async read(): Promise<void> {
    this.reading = true;
    while (this.asking.length > 0) {
      // Only those who asked before the read is sent are answered by it.
      const served = this.asking;
      this.asking = [];
      try {
        await this.reached(await this.state.revision());
        for (const { resolve } of served) resolve();
      } catch (err) {
        for (const { reject } of served) reject(err as Error);
      }
    }
    this.reading = false;
  }

  private async reached(revision: number): Promise<void> {
    let timer: NodeJS.Timeout | undefined;
    const late = new Promise<never>((_, reject) => {
      timer = setTimeout(() => {
        reject(new StateFailure("the feed is behind", false));
      }, this.queueTimeoutMs);
    });
    try {
      await Promise.race([this.replica.reach(revision), late]);
    } finally {
      clearTimeout(timer);
    }
  }
}
