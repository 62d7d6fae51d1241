/**
 * Hands shards of this process over to other controllers. The owner stops acting first and writes second, so that it has
 * stopped by the time the new owner reads its own name in the record.
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

/** A shard that is to be handed over, and the node of the controller that is to own it. */
export interface HandOverRequest {
  shard: number;
  successor: string;
}

/** What hand-overs are made from. */
export interface ShardHandOverDependencies extends TransactionDependencies {
  /** The pause, in milliseconds, before the outcome of a hand-over is looked up again. */
  readonly retryMs: number;
}

/** Keeps the shards that this process hands over, and carries the hand-overs out. */
export class ShardHandOver {
  /** The latest request: it is carried out as soon as no transaction is under way. */
  private requested: HandOverRequest | null = null;
  /** Shards that this process owns, or may own, and does not act for any more. */
  private readonly relinquishedShards = new Set<number>();

  constructor(private readonly dependencies: ShardHandOverDependencies) {}

  /** Whether this process has stopped acting for a shard in order to hand it over. */
  isRelinquished(shard: number): boolean {
    return this.relinquishedShards.has(shard);
  }

  /** Keeps a request, in place of an earlier one that has not been taken. */
  request(request: HandOverRequest): void {
    this.requested = request;
  }

  /** Returns the request that is kept, and forgets it; null if there is none. */
  takeRequest(): HandOverRequest | null {
    const request = this.requested;
    this.requested = null;
    return request;
  }

  /** Forgets shards that another controller owns by now: should they come back, they are acted for again. */
  forgetLostShards(cluster: Cluster): void {
    for (const shard of this.relinquishedShards)
      if (!isSameInstance(cluster.shards[shard], this.dependencies.self))
        this.relinquishedShards.delete(shard);
  }

  /** Hands a shard over. Until the outcome is known, this process does not act for it. */
  async handOver(shard: number, record: ControllerRecord, successor: ControllerRecord): Promise<void> {
    const { state, log, onTransactionEnded } = this.dependencies;
    this.relinquishedShards.add(shard);
    const { conditions, writes } = handOverTransaction(shard, record, successor);
    try {
      const result = await state.compareAndSwap(conditions, writes, "ownership");
      if (result.ok) log.info({ shard, to: successor.node, token: result.revision }, "shard handed over");
      else this.relinquishedShards.delete(shard);
    } catch {
      // The write may yet be executed. Only a newer version of the record, written by this process, rules that out.
      await this.resolveOutcome(shard);
    }
    onTransactionEnded();
  }

  /** Returns once another controller is known to own the shard, or the hand-over to have failed for good. */
  private async resolveOutcome(shard: number): Promise<void> {
    const { self, state, retryMs } = this.dependencies;
    const key = keys.shard(shard);
    for (let resolved = false; !resolved;) {
      try {
        const entry = await state.read(key);
        if (entry === null || !isSameInstance(decodeController(entry.value), self)) return;
        const conditions = [{ key, version: entry.version }];
        const writes = [{ put: key, value: encodeController(self) }];
        resolved = (await state.compareAndSwap(conditions, writes, "ownership")).ok;
        if (resolved) this.relinquishedShards.delete(shard);
      } catch {
        await sleep(retryMs);
      }
    }
  }
}
