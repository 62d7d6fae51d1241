/** Machines that send heartbeats although no record names them, until it is certain enough that they exist. */
import { LRUCache } from "lru-cache";
import type { Heartbeat } from "../wire/index.js";

/** The first heartbeat of an unregistered machine. */
interface FirstHeartbeat {
  epoch: number;
  sequence: number;
  receivedAt: number;
}

/**
 * Guards against registering a machine that has been returned: copies of its heartbeats may come late. A machine counts
 * as existing only once a second heartbeat, newer and some time after the first, has come in.
 */
export class UnregisteredMachines {
  private readonly firstHeartbeats: LRUCache<string, FirstHeartbeat>;

  /**
   * @param minGapMs the least time between the first heartbeat and the one that confirms it
   * @param maxMachines how many machines are remembered until their second heartbeat: all that may be rented at a time
   */
  constructor(
    private readonly minGapMs: number,
    maxMachines: number,
  ) {
    this.firstHeartbeats = new LRUCache({ max: maxMachines });
  }

  /** Whether this heartbeat confirms that the machine exists, so that it is to be registered. */
  confirm({ host, epoch, sequence }: Pick<Heartbeat, "host" | "epoch" | "sequence">, now: number): boolean {
    const first = this.firstHeartbeats.get(host);
    if (first === undefined) {
      this.firstHeartbeats.set(host, { epoch, sequence, receivedAt: now });
      return false;
    }
    const isNewer = epoch > first.epoch || (epoch === first.epoch && sequence > first.sequence);
    return isNewer && now - first.receivedAt >= this.minGapMs;
  }

  /** Forgets the heartbeat of a machine that is surely gone. */
  forget(host: string): void {
    this.firstHeartbeats.delete(host);
  }
}
