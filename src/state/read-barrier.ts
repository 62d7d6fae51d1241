/**
 * The read barrier: makes sure that this controller's replica is at least as new as any answer that any controller has
 * given. One small read serves all callers that have come before it is sent, so that its cost does not grow with the
 * number of users.
 */
import type { StateStoreClient } from "./state-store-client.js";
import { StateStoreError } from "./state-store-error.js";
import type { Replica } from "./replica.js";

interface Waiter {
  resolve: () => void;
  reject: (err: Error) => void;
}

/** Waits until the replica has reached the state store's revision at the time of the call. */
export class ReadBarrier {
  private waiters: Waiter[] = [];
  private reading = false;

  constructor(
    private readonly state: Pick<StateStoreClient, "currentRevision">,
    private readonly replica: Pick<Replica, "waitForRevision">,
    /** How long the replica may take to reach the revision that was read, in milliseconds. */
    private readonly queueTimeoutMs: number,
  ) {}

  /**
   * Resolves once the replica holds all that was durable when this was called.
   * @throws StateStoreError if the state store does not answer or the replica does not catch up in time.
   */
  waitUntilCurrent(): Promise<void> {
    return new Promise((resolve, reject) => {
      this.waiters.push({ resolve, reject });
      if (!this.reading) void this.serveWaiters();
    });
  }

  private async serveWaiters(): Promise<void> {
    this.reading = true;
    while (this.waiters.length > 0) {
      // A read serves only those who have come before it is sent.
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
    const timeout = new Promise<never>((_, reject) => {
      timer = setTimeout(() => {
        reject(new StateStoreError("replica is behind the state store", { outcome: "rejected" }));
      }, this.queueTimeoutMs);
    });
    try {
      await Promise.race([this.replica.waitForRevision(revision), timeout]);
    } finally {
      clearTimeout(timer);
    }
  }
}
