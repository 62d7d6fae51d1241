/** Brings machines that several records name, as earlier versions could write them, back to one record. */
import type { SteadyClock } from "../runtime/clock.js";
import type { Logger } from "../runtime/log.js";
import { keys } from "../state/keys.js";
import type { StateStoreClient } from "../state/state-store-client.js";
import type { Fleet } from "../workers/fleet.js";
import type { OwnerTerm } from "./owner-term.js";
import type { Shard } from "./shard.js";

/** Dependencies of the removal of duplicate records. */
export interface DuplicateRecordsDependencies {
  readonly shard: Shard;
  readonly term: OwnerTerm;
  readonly fleet: Fleet;
  readonly state: StateStoreClient;
  readonly clock: SteadyClock;
  /** Minimum time between two writes, in milliseconds. */
  readonly minWriteIntervalMs: number;
  readonly log: Logger;
}

/** Removes a shard's duplicate records of machines, one write at a time. */
export class DuplicateRecords {
  private isWritePending = false;
  private lastAttemptAt = -Infinity;

  constructor(private readonly dependencies: DuplicateRecordsDependencies) {}

  /**
   * Starts a write if this shard's records name machines for which another record counts, and no write is in progress.
   * Where that one belongs to another shard, it waits for proof that nothing started by this shard runs on the machine.
   *
   * A write that is applied late does no harm: it requires that the record that counts is unchanged, and as long as it
   * is, heartbeats of the machine go to the owner that it names.
   */
  remove(): void {
    const { shard, term, fleet, state, clock, minWriteIntervalMs } = this.dependencies;
    const token = term.currentToken();
    const now = clock();
    if (this.isWritePending || token === null || now - this.lastAttemptAt < minWriteIntervalMs) return;
    this.lastAttemptAt = now;
    const removable = fleet
      .duplicatesIn(shard.id)
      .filter(({ host, countingShard }) => countingShard === shard.id || shard.isProvenUnused(host))
      .map(({ host }) => host);
    const { conditions, writes, hosts } = fleet.removeDuplicates(
      shard.id,
      removable,
      state.maxTransactionWrites,
    );
    if (writes.length === 0) return;
    const ownership = { key: keys.shard(shard.id), version: token };
    this.isWritePending = true;
    state
      .compareAndSwap([ownership, ...conditions], writes, "background")
      .then(({ ok }) => {
        if (ok) this.dependencies.log.info({ shard: shard.id, hosts }, "duplicate machine records removed");
      })
      .catch((err: unknown) => {
        this.dependencies.log.debug({ err, hosts }, "removal of duplicate machine records not confirmed");
      })
      .finally(() => {
        this.isWritePending = false;
      });
  }
}
