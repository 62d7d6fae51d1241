/** Advances of a shard's fencing token by its owner, and whether an owner may keep its state over a change of token. */
import { keys } from "../state/keys.js";
import { encodeTokenAdvance, type ControllerRecord } from "./cluster-records.js";
import type { TransactionDependencies } from "./membership-messages.js";

/** An advance that an owner has tried: the token rises if it succeeds, and the owner stays. */
export interface TokenAdvance {
  /** The version of the shard's record that the advance is conditional on. */
  fromVersion: number;
  /** Identifies the write: no other has the same id. */
  advanceId: string;
}

/**
 * Whether an owner that knew its shard's record at one version may keep its state now that it is at another. Guards
 * against `ran_twice`: a process that was cut off for a while may find itself the owner again without having seen that
 * another controller was the owner in between. Only an advance of its own, on the version that it knew, leaves no such gap. The
 * advance is recognised by its id, since the watch may show it before the write is answered, or without an answer at all.
 */
export function continuesTerm(
  knownVersion: number,
  record: Pick<ControllerRecord, "version" | "advanceId">,
  advance: TokenAdvance | undefined,
): boolean {
  if (record.version === knownVersion) return true;
  return advance?.fromVersion === knownVersion && advance.advanceId === record.advanceId;
}

/** Advances the tokens of own shards, and remembers the last try for each. */
export class TokenAdvances {
  private readonly lastAdvances = new Map<number, TokenAdvance>();

  constructor(private readonly dependencies: TransactionDependencies) {}

  /** Whether what an owner knew of its shard at a version still holds at the present record. */
  continuesTerm(shard: number, knownVersion: number, record: ControllerRecord): boolean {
    return continuesTerm(knownVersion, record, this.lastAdvances.get(shard));
  }

  /** Advances the token of an own shard, whose record has the given version. */
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
      log.debug({ err, shard }, "fencing token not advanced");
    } finally {
      onTransactionEnded();
    }
  }

  /**
   * A retry on the same version has the same id. Guards against not recognising an earlier try that succeeded: the watch
   * may show it only after the retry has failed.
   */
  private nextAdvance(shard: number, version: number): TokenAdvance {
    const last = this.lastAdvances.get(shard);
    const advanceId = last?.fromVersion === version ? last.advanceId : crypto.randomUUID();
    const advance = { fromVersion: version, advanceId };
    this.lastAdvances.set(shard, advance);
    return advance;
  }
}
