/** Removes machines from a shard, for the cloud or for another shard, and resolves removals with an unknown outcome. */
import { StateStoreError } from "../state/state-store-error.js";
import type { Logger } from "../runtime/log.js";
import { jittered, sleep } from "../runtime/sleep.js";
import { keys } from "../state/keys.js";
import type { StateStoreClient } from "../state/state-store-client.js";
import type { Condition } from "../wire/index.js";
import type { Fleet, FleetChange } from "../workers/fleet.js";
import { readMachineGroup, type MachineGroup } from "../workers/machine-records.js";
import type { OwnerTerm } from "./owner-term.js";
import type { Shard } from "./shard.js";

/** Machines that are to be removed from a shard if they may be, and what for. */
export type RemovalRequest =
  { reason: "drain"; hosts: string[] } | { reason: "transfer"; hosts: string[]; targetShard: number };

/** What the removal of machines from one shard is made from. */
export interface MachineRemovalDependencies {
  readonly shard: Shard;
  readonly term: OwnerTerm;
  readonly fleet: Fleet;
  readonly state: StateStoreClient;
  /** About the time between two tries to resolve an unknown outcome, in milliseconds. */
  readonly retryMs: number;
  readonly log: Logger;
}

/** Whether a transaction that failed so may have been applied, or may yet be. */
const mayBeApplied = (err: unknown): boolean =>
  !(err instanceof StateStoreError) || err.outcome === "unknown";

/** Removes machines from one shard. */
export class MachineRemoval {
  constructor(private readonly dependencies: MachineRemovalDependencies) {}

  /**
   * Marks machines in the records before anyone acts on their removal: a later owner must not place on them either.
   * Replies with the hosts whose records are changed for sure.
   */
  async remove(request: RemovalRequest, reply: (hosts: string[]) => void): Promise<void> {
    const { shard, term } = this.dependencies;
    const token = term.currentToken();
    if (token === null) {
      reply([]);
      return;
    }
    const marked = shard.beginRemoval(request.hosts, request.reason);
    const change = this.planChange(request, marked);
    shard.cancelRemoval(marked.filter((host) => !change.hosts.includes(host)));
    const removed = change.hosts.length > 0 && (await this.commit(token, change));
    reply(removed ? change.hosts : []);
  }

  private planChange(request: RemovalRequest, hosts: string[]): FleetChange {
    const { fleet, state } = this.dependencies;
    switch (request.reason) {
      case "drain":
        return fleet.changeStage(hosts, "leaving", state.maxTransactionWrites);
      case "transfer":
        return fleet.transferToShard(
          hosts,
          request.targetShard,
          () => crypto.randomUUID(),
          state.maxTransactionWrites,
        );
    }
  }

  /** Whether the change is durable for sure; where that is unknown, it is resolved later. */
  private async commit(token: number, { conditions, writes, hosts }: FleetChange): Promise<boolean> {
    const { shard, state, log } = this.dependencies;
    const ownership = { key: keys.shard(shard.id), version: token };
    try {
      const result = await state.compareAndSwap([ownership, ...conditions], writes, "background");
      if (result.ok) {
        log.info({ shard: shard.id, hosts }, "machines removed from shard");
        return true;
      }
      shard.cancelRemoval(hosts);
    } catch (err) {
      log.debug({ err, hosts }, "machine removal not confirmed");
      if (mayBeApplied(err)) for (const { key } of conditions) void this.resolve(key, hosts);
      else shard.cancelRemoval(hosts);
    }
    return false;
  }

  /**
   * Guards against `ran_twice`: the write may yet be applied, and tasks must not be placed on a machine again before
   * that is ruled out. A newer version of its group's record, written by this owner, rules it out.
   */
  private async resolve(key: string, hosts: string[]): Promise<void> {
    const { retryMs, log } = this.dependencies;
    for (;;) {
      await sleep(jittered(retryMs));
      try {
        if (await this.tryResolve(key, hosts)) return;
      } catch (err) {
        log.debug({ err, key }, "machine removal not resolved");
      }
    }
  }

  /** Whether the outcome is known, or left to the records. */
  private async tryResolve(key: string, hosts: string[]): Promise<boolean> {
    const { shard, term, state } = this.dependencies;
    const token = term.currentToken();
    const entry = await state.read(key);
    const group = readMachineGroup(entry?.value);
    // Removed or transferred: the watch shows that, and it is followed.
    if (entry === null || group?.shard !== shard.id) return true;
    // Once the term has ended, the removal is of no concern to whoever owns the shard now.
    if (token === null) return term.hasEnded();
    if (!(await this.rewriteGroup(token, { key, version: entry.version }, group))) return false;
    // A machine that was marked for removal after all stays so by its record.
    shard.cancelRemoval(hosts.filter((host) => host in group.machines));
    return true;
  }

  /** Writes the group as it is: the new version fails the earlier write if it is yet to be applied. */
  private async rewriteGroup(token: number, unchanged: Condition, group: MachineGroup): Promise<boolean> {
    const { shard, state } = this.dependencies;
    const conditions = [{ key: keys.shard(shard.id), version: token }, unchanged];
    const writes = [{ put: unchanged.key, value: group }];
    const result = await state.compareAndSwap(conditions, writes, "background");
    return result.ok;
  }
}
