/** Machines that report although no record names them, until it is sure enough that they are there. */
import { LRUCache } from "lru-cache";
import type { Heartbeat } from "../wire/index.js";

/**
 * Guards against registering a machine that has been returned: copies of its reports may come late. A machine is
 * believed to be there only once a second report, newer and some time after the first, has come in.
 */
export class UnregisteredMachines {
  private readonly first: LRUCache<string, { session: number; seq: number; at: number }>;

  constructor(
    private readonly gapMs: number,
    /** How many unknown machines are remembered until their second report: all that may be rented at a time. */
    mostMachines: number,
  ) {
    this.first = new LRUCache({ max: mostMachines });
  }

  /** Whether the machine is to be registered. */
  confirm(report: Pick<Heartbeat, "host" | "epoch" | "sequence">, now: number): boolean {
    const { host, epoch: session, sequence: seq } = report;
    const first = this.first.get(host);
    if (first === undefined) {
      this.first.set(host, { session, seq, at: now });
      return false;
    }
    const newer = session > first.session || (session === first.session && seq > first.seq);
    return newer && now - first.at >= this.gapMs;
  }

  /** What was heard of a machine that is gone for sure says nothing any more. */
  forget(host: string): void {
    this.first.delete(host);
  }
}
