/**
 * Makes sure that this node's copy of the records is as new as any answer that any node has given. One small read
 * serves all who ask before it is sent, so that what it costs does not grow with the number of users.
 */
import { StateStoreError, type StateStoreClient } from "./state-store-client.js";
import type { Replica } from "./replica.js";

interface Waiter {
  resolve: () => void;
  reject: (err: Error) => void;
}

/** Waits until the replica is as new as the service was when somebody asked. */
export class ReadBarrier {
  private waiters: Waiter[] = [];
  private reading = false;

  constructor(
    private readonly state: Pick<StateStoreClient, "currentRevision">,
    private readonly replica: Pick<Replica, "waitForRevision">,
    private readonly queueTimeoutMs: number,
  ) {}

  /** Resolves once the copy holds all that was durable when this was called; fails if that takes too long. */
  waitUntilCurrent(): Promise<void> {
    return new Promise((resolve, reject) => {
      this.waiters.push({ resolve, reject });
      if (!this.reading) void this.drainWaiters();
    });
  }

  private async drainWaiters(): Promise<void> {
    this.reading = true;
    while (this.waiters.length > 0) {
      // Only those who asked before the read is sent are answered by it.
      const served = this.waiters;
      this.waiters = [];
      try {
        await this.waitForRevision(await this.state.currentRevision());
        for (const { resolve } of served) resolve();
      } catch (err) {
        for (const { reject } of served) reject(err as Error);
      }
    }
    this.reading = false;
  }

  private async waitForRevision(revision: number): Promise<void> {
    let timer: NodeJS.Timeout | undefined;
    const late = new Promise<never>((_, reject) => {
      timer = setTimeout(() => {
        reject(new StateStoreError("the feed is behind", false));
      }, this.queueTimeoutMs);
    });
    try {
      await Promise.race([this.replica.waitForRevision(revision), late]);
    } finally {
      clearTimeout(timer);
    }
  }
}
