/** Advances a shard's fencing token for its owner, and decides whether the owner's state survives a change of token. */
import { keys } from "../state/keys.js";
import { encodeTokenAdvance, type ControllerRecord } from "./cluster-records.js";
import type { TransactionDependencies } from "./membership-messages.js";

/** An attempt of an owner to raise its shard's fencing token while it remains the owner. */
export interface TokenAdvance {
  /** The version of the shard's record that the advance is conditional on. */
  fromVersion: number;
  /** Identifies the write; unique to this advance and its retries. */
  advanceId: string;
}

/**
 * Whether an owner whose state dates from `knownVersion` of its shard's record may keep that state at the current
 * version. A process that was disconnected for a while may own the shard again without having seen that another
 * controller owned it in between; keeping its state could then run a task twice (the violation `ran_twice`). The state
 * is kept only if the version is unchanged, or if the current one was written by the owner's own advance on
 * `knownVersion`. The advance is recognised by its id, since the watch may show it before the response arrives, or the
 * response may be lost.
 */
export function continuesTerm(
  knownVersion: number,
  record: Pick<ControllerRecord, "version" | "advanceId">,
  advance: TokenAdvance | undefined,
): boolean {
  if (record.version === knownVersion) return true;
  return advance?.fromVersion === knownVersion && advance.advanceId === record.advanceId;
}

/** Advances the fencing tokens of shards that this process owns, and remembers the last attempt for each shard. */
export class TokenAdvances {
  private readonly lastAdvances = new Map<number, TokenAdvance>();

  constructor(private readonly dependencies: TransactionDependencies) {}

  /** Whether state that an owner has kept since `knownVersion` is still valid at the current record. */
  continuesTerm(shard: number, knownVersion: number, record: ControllerRecord): boolean {
    return continuesTerm(knownVersion, record, this.lastAdvances.get(shard));
  }

  /** Advances the fencing token of a shard that this process owns, whose record has the given version. */
  async advance(shard: number, version: number): Promise<void> {
    const { self, state, log, onTransactionEnded } = this.dependencies;
    const { advanceId } = this.nextAdvance(shard, version);
    const key = keys.shard(shard);
    try {
      const result = await state.compareAndSwap(
        [{ key, version }],
        [{ put: key, value: encodeTokenAdvance(self, advanceId) }],
        "ownership",
      );
      if (!result.ok) return;
      log.info({ shard, token: result.revision }, "fencing token advanced");
    } catch (err) {
      log.debug({ err, shard }, "fencing token advance failed or its outcome is unknown");
    } finally {
      onTransactionEnded();
    }
  }

  /**
   * Returns the next attempt. A retry on the same version reuses the id, so that an earlier attempt that succeeded is
   * still recognised: the watch may show it only after the retry has failed.
   */
  private nextAdvance(shard: number, version: number): TokenAdvance {
    const last = this.lastAdvances.get(shard);
    const advanceId = last?.fromVersion === version ? last.advanceId : crypto.randomUUID();
    const advance = { fromVersion: version, advanceId };
    this.lastAdvances.set(shard, advance);
    return advance;
  }
}
