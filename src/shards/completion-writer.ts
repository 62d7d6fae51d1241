/** Writes the completed tasks of one shard to the state store. */
import type { WritePriority } from "../state/shared-write-rate.js";
import type { SteadyClock } from "../runtime/clock.js";
import type { Logger } from "../runtime/log.js";
import { keys } from "../state/keys.js";
import type { StateStoreClient } from "../state/state-store-client.js";
import type { Completion } from "./completion-log.js";
import type { OwnerTerm } from "./owner-term.js";
import type { Shard } from "./shard.js";

/** What the writer of one shard's completed tasks is made from. */
export interface CompletionWriterDependencies {
  readonly shard: Shard;
  readonly term: OwnerTerm;
  readonly state: StateStoreClient;
  readonly clock: SteadyClock;
  /** The least time between two writes, in milliseconds. */
  readonly spacingMs: number;
  /** The least time between two writes of the progress of jobs that go on, in milliseconds. */
  readonly progressSpacingMs: number;
  /** Called when a write has ended, well or not; the owner then calls `writeEnded` in its turn. */
  readonly onWriteEnded: () => void;
  readonly log: Logger;
}

/**
 * One transaction at a time, each on the condition that the shard's record is unchanged. Finished jobs come first, since
 * users wait for them; progress is written now and then, and workers keep results until it is.
 */
export class CompletionWriter {
  private writePending = false;
  private lastWriteAt = -Infinity;
  private lastProgressAt = -Infinity;

  constructor(private readonly dependencies: CompletionWriterDependencies) {}

  /** Starts a write if one is due and none is under way. */
  write(): void {
    const { shard, term, state, clock, spacingMs, progressSpacingMs } = this.dependencies;
    const token = term.currentToken();
    const now = clock();
    if (this.writePending || token === null || now - this.lastWriteAt < spacingMs) return;
    const finished = shard.finishedJobs(state.maxTransactionWrites);
    if (finished.length > 0) {
      this.startWrite(token, finished, "result", now);
      return;
    }
    if (now - this.lastProgressAt < progressSpacingMs) return;
    const progress = shard.taskProgress(state.maxTransactionWrites);
    if (progress.length === 0) return;
    this.lastProgressAt = now;
    this.startWrite(token, progress, "background", now);
  }

  /** The last write has ended: starts the next one if it is due. */
  writeEnded(): void {
    this.writePending = false;
    this.write();
  }

  private startWrite(token: number, completions: Completion[], priority: WritePriority, now: number): void {
    this.writePending = true;
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
        await this.resolveFailed(completions, result.failedKeys);
    } catch (err) {
      log.debug({ err }, "completions not written");
    }
    onWriteEnded();
  }

  /** Guards against a completion racing with a cancellation: whoever changed the job's record first has won. */
  private async resolveFailed(completions: Completion[], failedKeys: string[]): Promise<void> {
    for (const completion of completions)
      if (completion.conditions.some(({ key }) => failedKeys.includes(key)))
        await this.resolveCompletion(completion);
  }

  /** The job's record is not as it was known: it was ended by another controller, or by an earlier try of this owner. */
  private async resolveCompletion(completion: Completion): Promise<void> {
    const { job } = completion;
    if (job === null) return;
    if ((await this.dependencies.state.read(keys.job(job))) === null) completion.onJobGone();
  }
}
