/** Records which machines of a shard have sent a heartbeat, before any task is placed on them. */
import type { SteadyClock } from "../runtime/clock.js";
import type { Logger } from "../runtime/log.js";
import { keys } from "../state/keys.js";
import type { StateStoreClient } from "../state/state-store-client.js";
import type { Fleet } from "../workers/fleet.js";
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

/** Updates the records of machines that have sent a heartbeat, one write at a time. */
export class MachineRecorder {
  private isWritePending = false;
  private lastAttemptAt = -Infinity;

  constructor(private readonly dependencies: MachineRecorderDependencies) {}

  /** Starts a write if machines whose records do not show it yet have sent a heartbeat, and no write is in progress. */
  record(): void {
    const { shard, term, fleet, state, clock, minWriteIntervalMs } = this.dependencies;
    const token = term.currentToken();
    const now = clock();
    if (this.isWritePending || token === null || now - this.lastAttemptAt < minWriteIntervalMs) return;
    this.lastAttemptAt = now;
    const hosts = shard.unrecordedHosts();
    if (hosts.length === 0) return;
    const { conditions, writes } = fleet.changeStage(shard.id, hosts, "up", state.maxTransactionWrites);
    if (writes.length === 0) return;
    this.isWritePending = true;
    state
      .compareAndSwap([{ key: keys.shard(shard.id), version: token }, ...conditions], writes, "background")
      .catch((err: unknown) => {
        this.dependencies.log.debug({ err }, "failed to write machine records");
      })
      .finally(this.dependencies.onWriteEnded);
  }

  /** Marks the last write as ended, so that the next one can start. */
  writeEnded(): void {
    this.isWritePending = false;
  }
}
