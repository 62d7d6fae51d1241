/** Tracks machines that send heartbeats but have no record, until a second heartbeat confirms that they exist. */
import { LRUCache } from "lru-cache";
import type { Heartbeat } from "../wire/index.js";

/** The first heartbeat received from an unregistered machine. */
interface FirstHeartbeat {
  epoch: number;
  sequence: number;
  receivedAt: number;
}

/**
 * Prevents registration of a machine that has been returned, of whose heartbeats delayed copies may still arrive. A
 * machine is confirmed only by a second heartbeat that is newer than the first and received some time after it.
 */
export class UnregisteredMachines {
  private readonly firstHeartbeats: LRUCache<string, FirstHeartbeat>;

  /**
   * @param minGapMs the minimum time between the first heartbeat and the one that confirms it
   * @param maxMachines the maximum number of unconfirmed machines tracked: as many as can be rented at a time
   */
  constructor(
    private readonly minGapMs: number,
    maxMachines: number,
  ) {
    this.firstHeartbeats = new LRUCache({ max: maxMachines });
  }

  /** Whether this heartbeat confirms that the machine exists and can be registered; remembers a first heartbeat. */
  confirm({ host, epoch, sequence }: Pick<Heartbeat, "host" | "epoch" | "sequence">, now: number): boolean {
    const first = this.firstHeartbeats.get(host);
    if (first === undefined) {
      this.firstHeartbeats.set(host, { epoch, sequence, receivedAt: now });
      return false;
    }
    const isNewer = epoch > first.epoch || (epoch === first.epoch && sequence > first.sequence);
    return isNewer && now - first.receivedAt >= this.minGapMs;
  }

  /** Removes the heartbeat of a machine that has been returned. */
  forget(host: string): void {
    this.firstHeartbeats.delete(host);
  }
}
