/**
 * The read barrier: ensures that this controller's replica is at least as new as any response that any controller has
 * given before. One small read serves all callers that are waiting when it is sent, so that the cost does not grow with
 * the number of users.
 */
import type { StateStoreClient } from "./state-store-client.js";
import { StateStoreError } from "./state-store-error.js";
import type { Replica } from "./replica.js";

interface Waiter {
  resolve: () => void;
  reject: (err: Error) => void;
}

/** Delays reads until the replica has reached the revision that the state store had at the time of the call. */
export class ReadBarrier {
  private waiters: Waiter[] = [];
  private isReading = false;

  constructor(
    private readonly state: Pick<StateStoreClient, "currentRevision">,
    private readonly replica: Pick<Replica, "waitForRevision">,
    /** How long the replica may take to reach the revision that was read, in milliseconds. */
    private readonly catchUpTimeoutMs: number,
  ) {}

  /**
   * Resolves once the replica contains everything that was durable at the time of the call.
   * @throws StateStoreError if the state store does not respond or the replica does not catch up in time.
   */
  waitUntilCurrent(): Promise<void> {
    return new Promise((resolve, reject) => {
      this.waiters.push({ resolve, reject });
      if (!this.isReading) void this.serveWaiters();
    });
  }

  private async serveWaiters(): Promise<void> {
    this.isReading = true;
    while (this.waiters.length > 0) {
      // A read serves only the callers that were waiting before it was sent: a later one may need a newer revision.
      const served = this.waiters;
      this.waiters = [];
      try {
        await this.waitForRevision(await this.state.currentRevision());
        for (const { resolve } of served) resolve();
      } catch (err) {
        for (const { reject } of served) reject(err as Error);
      }
    }
    this.isReading = false;
  }

  private async waitForRevision(revision: number): Promise<void> {
    let timer: NodeJS.Timeout | undefined;
    const timeout = new Promise<never>((_, reject) => {
      timer = setTimeout(() => {
        reject(
          new StateStoreError("timed out waiting for the replica to catch up with the state store", {
            outcome: "rejected",
          }),
        );
      }, this.catchUpTimeoutMs);
    });
    try {
      await Promise.race([this.replica.waitForRevision(revision), timeout]);
    } finally {
      clearTimeout(timer);
    }
  }
}
