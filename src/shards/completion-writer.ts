/** Writes the completed tasks of one shard to the state store. */
import type { WritePriority } from "../state/shared-write-rate.js";
import type { SteadyClock } from "../runtime/clock.js";
import type { Logger } from "../runtime/log.js";
import { keys } from "../state/keys.js";
import type { StateStoreClient } from "../state/state-store-client.js";
import type { Completion } from "./completion-log.js";
import type { OwnerTerm } from "./owner-term.js";
import type { Shard } from "./shard.js";

/** Dependencies of a shard's completion writer. */
export interface CompletionWriterDependencies {
  readonly shard: Shard;
  readonly term: OwnerTerm;
  readonly state: StateStoreClient;
  readonly clock: SteadyClock;
  /** Minimum time between two writes, in milliseconds. */
  readonly minWriteIntervalMs: number;
  /** Minimum time between two writes of the progress of unfinished jobs, in milliseconds. */
  readonly minProgressIntervalMs: number;
  /** Called when a write has succeeded or failed; the owner must then call `writeEnded` from its message queue. */
  readonly onWriteEnded: () => void;
  readonly log: Logger;
}

/**
 * Runs one transaction at a time, each conditional on the shard's record being unchanged. Finished jobs have priority,
 * since users wait for them. Progress is written at longer intervals; workers keep the results until it is durable.
 */
export class CompletionWriter {
  private isWritePending = false;
  private lastWriteAt = -Infinity;
  private lastProgressAt = -Infinity;

  constructor(private readonly dependencies: CompletionWriterDependencies) {}

  /** Starts a write if one is due and none is in progress. */
  write(): void {
    const { shard, term, state, clock, minWriteIntervalMs, minProgressIntervalMs } = this.dependencies;
    const token = term.currentToken();
    const now = clock();
    if (this.isWritePending || token === null || now - this.lastWriteAt < minWriteIntervalMs) return;
    const finished = shard.finishedJobs(state.maxTransactionWrites);
    if (finished.length > 0) {
      this.startWrite(token, finished, "result", now);
      return;
    }
    if (now - this.lastProgressAt < minProgressIntervalMs) return;
    const progress = shard.taskProgress(state.maxTransactionWrites);
    if (progress.length === 0) return;
    this.lastProgressAt = now;
    this.startWrite(token, progress, "background", now);
  }

  /** Handles the end of the last write: starts the next one if it is due. */
  writeEnded(): void {
    this.isWritePending = false;
    this.write();
  }

  private startWrite(token: number, completions: Completion[], priority: WritePriority, now: number): void {
    this.isWritePending = true;
    this.lastWriteAt = now;
    void this.commit(token, completions, priority);
  }

  private async commit(token: number, completions: Completion[], priority: WritePriority): Promise<void> {
    const { shard, state, log, onWriteEnded } = this.dependencies;
    const shardKey = keys.shard(shard.id);
    try {
      const result = await state.compareAndSwap(
        [{ key: shardKey, version: token }, ...completions.flatMap(({ conditions }) => conditions)],
        completions.flatMap(({ writes }) => writes),
        priority,
      );
      if (result.ok) for (const completion of completions) completion.onDurable();
      else if (!result.failedKeys.includes(shardKey))
        await this.resolveFailedConditions(completions, result.failedKeys);
    } catch (err) {
      log.debug({ err }, "failed to write completed tasks");
    }
    onWriteEnded();
  }

  /**
   * Resolves the completions whose conditions failed, for instance because a cancellation changed the job's record
   * first.
   */
  private async resolveFailedConditions(completions: Completion[], failedKeys: string[]): Promise<void> {
    for (const completion of completions)
      if (completion.conditions.some(({ key }) => failedKeys.includes(key)))
        await this.resolveCompletion(completion);
  }

  /**
   * The job's record differs from the expected version: the job was ended by another controller, or by an earlier
   * attempt of this owner.
   */
  private async resolveCompletion(completion: Completion): Promise<void> {
    const { job } = completion;
    if (job === null) return;
    if ((await this.dependencies.state.read(keys.job(job))) === null) completion.onJobRecordMissing();
  }
}
