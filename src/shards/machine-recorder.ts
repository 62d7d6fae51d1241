/**
 * Records which machines of a shard have sent a heartbeat, before any task is placed on them, and brings machines that
 * several records name, as earlier versions could write them, back to one record.
 */
import type { SteadyClock } from "../runtime/clock.js";
import type { Logger } from "../runtime/log.js";
import { keys } from "../state/keys.js";
import type { StateStoreClient } from "../state/state-store-client.js";
import type { Fleet, FleetChange } from "../workers/fleet.js";
import type { OwnerTerm } from "./owner-term.js";
import type { Shard } from "./shard.js";

/** Dependencies of a shard's machine recorder. */
export interface MachineRecorderDependencies {
  readonly shard: Shard;
  readonly term: OwnerTerm;
  readonly fleet: Fleet;
  readonly state: StateStoreClient;
  readonly clock: SteadyClock;
  /** Minimum time between two writes, in milliseconds. */
  readonly minWriteIntervalMs: number;
  /** Called when a write has succeeded or failed; the owner must then call `writeEnded` from its message queue. */
  readonly onWriteEnded: () => void;
  readonly log: Logger;
}

/** Updates the machine records of a shard, one write at a time. */
export class MachineRecorder {
  private isWritePending = false;
  private lastAttemptAt = -Infinity;

  constructor(private readonly dependencies: MachineRecorderDependencies) {}

  /**
   * Starts a write if machines whose records do not show it yet have sent a heartbeat, or else if the shard has duplicate
   * records. Does nothing while a write is in progress.
   */
  record(): void {
    const { shard, term, clock, minWriteIntervalMs, log } = this.dependencies;
    const token = term.currentToken();
    const now = clock();
    if (this.isWritePending || token === null || now - this.lastAttemptAt < minWriteIntervalMs) return;
    this.lastAttemptAt = now;
    const reported = this.planReported();
    if (reported.writes.length > 0) {
      void this.write(token, reported);
      return;
    }
    const duplicates = this.planDuplicateRemoval();
    if (duplicates.writes.length === 0) return;
    log.info({ shard: shard.id, hosts: duplicates.hosts }, "removing duplicate machine records");
    void this.write(token, duplicates);
  }

  /** Marks the last write as ended, so that the next one can start. */
  writeEnded(): void {
    this.isWritePending = false;
  }

  private planReported(): FleetChange {
    const { shard, fleet, state } = this.dependencies;
    return fleet.changeStage(shard.id, shard.unrecordedHosts(), "up", state.maxTransactionWrites);
  }

  /**
   * Removes the shard's records of machines for which another record counts. If that one belongs to another shard, this
   * waits for proof that nothing started by this shard runs on the machine.
   *
   * A write that is applied late does no harm: it requires that the record that counts is unchanged, and as long as it
   * is, heartbeats of the machine go to the owner that it names.
   */
  private planDuplicateRemoval(): FleetChange {
    const { shard, fleet, state } = this.dependencies;
    const removable = fleet
      .duplicatesIn(shard.id)
      .filter(({ host, countingShard }) => countingShard === shard.id || shard.isProvenUnused(host))
      .map(({ host }) => host);
    return fleet.removeDuplicates(shard.id, removable, state.maxTransactionWrites);
  }

  private async write(token: number, { conditions, writes }: FleetChange): Promise<void> {
    const { shard, state, onWriteEnded, log } = this.dependencies;
    const ownership = { key: keys.shard(shard.id), version: token };
    this.isWritePending = true;
    try {
      await state.compareAndSwap([ownership, ...conditions], writes, "background");
    } catch (err) {
      log.debug({ err }, "failed to write machine records");
    }
    onWriteEnded();
  }
}
