/**
 * Hands shards of this process over to other controllers. The owner stops acting for a shard before it writes the new
 * owner, so that it has stopped before the new owner sees the record.
 */
import { sleep } from "../runtime/sleep.js";
import { keys } from "../state/keys.js";
import {
  decodeController,
  encodeController,
  isSameInstance,
  type Cluster,
  type ControllerRecord,
} from "./cluster-records.js";
import type { TransactionDependencies } from "./membership-messages.js";
import { handOverTransaction } from "./membership-transactions.js";

/** A request to hand a shard over to the controller on the node `successor`. */
export interface HandOverRequest {
  shard: number;
  successor: string;
}

/** Dependencies of `ShardHandOver`. */
export interface ShardHandOverDependencies extends TransactionDependencies {
  /** The delay before another attempt to determine the outcome of a hand-over, in milliseconds. */
  readonly retryMs: number;
}

/** Executes hand-overs, and tracks the shards for which this process has stopped acting. */
export class ShardHandOver {
  /** The latest request; it is executed as soon as no transaction is in progress. */
  private pendingRequest: HandOverRequest | null = null;
  /** Shards that this process owns, or may still own, but no longer acts for. */
  private readonly relinquishedShards = new Set<number>();

  constructor(private readonly dependencies: ShardHandOverDependencies) {}

  /** Whether this process has stopped acting for a shard in order to hand it over. */
  isRelinquished(shard: number): boolean {
    return this.relinquishedShards.has(shard);
  }

  /** Stores a request; it replaces an earlier one that has not been taken. */
  request(request: HandOverRequest): void {
    this.pendingRequest = request;
  }

  /** Returns and removes the pending request; null if there is none. */
  takeRequest(): HandOverRequest | null {
    const request = this.pendingRequest;
    this.pendingRequest = null;
    return request;
  }

  /**
   * Stops tracking shards that another controller owns now, so that this process acts for them again if it gets them
   * back.
   */
  forgetLostShards(cluster: Cluster): void {
    for (const shard of this.relinquishedShards)
      if (!isSameInstance(cluster.shards[shard], this.dependencies.self))
        this.relinquishedShards.delete(shard);
  }

  /**
   * Hands a shard over. From the call on, this process does not act for the shard unless the hand-over is known to have
   * failed.
   */
  async handOver(shard: number, record: ControllerRecord, successor: ControllerRecord): Promise<void> {
    const { state, log, onTransactionEnded } = this.dependencies;
    this.relinquishedShards.add(shard);
    const { conditions, writes } = handOverTransaction(shard, record, successor);
    try {
      const result = await state.compareAndSwap(conditions, writes, "ownership");
      if (result.ok) log.info({ shard, to: successor.node, token: result.revision }, "shard handed over");
      else this.relinquishedShards.delete(shard);
    } catch {
      // The write may still be executed. A newer version of the record, written by this process, prevents that.
      await this.resolveOutcome(shard);
    }
    onTransactionEnded();
  }

  /** Returns once another controller is known to own the shard, or the hand-over can no longer be executed. */
  private async resolveOutcome(shard: number): Promise<void> {
    const { self, state, retryMs } = this.dependencies;
    const key = keys.shard(shard);
    for (let isResolved = false; !isResolved;) {
      try {
        const entry = await state.read(key);
        if (entry === null || !isSameInstance(decodeController(entry.value), self)) return;
        const conditions = [{ key, version: entry.version }];
        const writes = [{ put: key, value: encodeController(self) }];
        isResolved = (await state.compareAndSwap(conditions, writes, "ownership")).ok;
        if (isResolved) this.relinquishedShards.delete(shard);
      } catch {
        await sleep(retryMs);
      }
    }
  }
}
