/** Records which machines of a shard have reported, before anything is placed on them. */
import type { SteadyClock } from "../runtime/clock.js";
import type { Logger } from "../runtime/log.js";
import { keys } from "../state/keys.js";
import type { StateStoreClient } from "../state/state-store-client.js";
import type { Fleet } from "../workers/fleet.js";
import type { OwnerTerm } from "./owner-term.js";
import type { Shard } from "./shard.js";

/** What the recorder of one shard's machines is made from. */
export interface MachineRecorderDependencies {
  readonly shard: Shard;
  readonly term: OwnerTerm;
  readonly fleet: Fleet;
  readonly state: StateStoreClient;
  readonly clock: SteadyClock;
  /** The least time between two writes, in milliseconds. */
  readonly spacingMs: number;
  /** Called when a write has ended, well or not; the owner then calls `writeEnded` in its turn. */
  readonly onWriteEnded: () => void;
  readonly log: Logger;
}

/** Writes the records of machines that have reported, one write at a time. */
export class MachineRecorder {
  private writePending = false;
  private lastAttemptAt = -Infinity;

  constructor(private readonly dependencies: MachineRecorderDependencies) {}

  /** Starts a write if machines have reported that are not recorded as such, and none is under way. */
  record(): void {
    const { shard, term, fleet, state, clock, spacingMs } = this.dependencies;
    const token = term.currentToken();
    const now = clock();
    if (this.writePending || token === null || now - this.lastAttemptAt < spacingMs) return;
    this.lastAttemptAt = now;
    const hosts = shard.unrecordedHosts();
    if (hosts.length === 0) return;
    const { conditions, writes } = fleet.changeStage(hosts, "up", state.maxTransactionWrites);
    if (writes.length === 0) return;
    this.writePending = true;
    state
      .compareAndSwap([{ key: keys.shard(shard.id), version: token }, ...conditions], writes, "background")
      .catch((err: unknown) => {
        this.dependencies.log.debug({ err }, "machine records not written");
      })
      .finally(this.dependencies.onWriteEnded);
  }

  /** The last write has ended. */
  writeEnded(): void {
    this.writePending = false;
  }
}
