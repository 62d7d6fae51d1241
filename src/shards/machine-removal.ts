/** Removes machines from a shard, to return or transfer them, and resolves removals whose outcome is unknown. */
import { StateStoreError } from "../state/state-store-error.js";
import type { Logger } from "../runtime/log.js";
import { jittered, sleep } from "../runtime/sleep.js";
import { keys } from "../state/keys.js";
import type { StateStoreClient } from "../state/state-store-client.js";
import type { Condition } from "../wire/index.js";
import type { Fleet, FleetChange } from "../workers/fleet.js";
import { decodeMachineGroup, type MachineGroup } from "../workers/machine-records.js";
import type { OwnerTerm } from "./owner-term.js";
import type { Shard } from "./shard.js";

/** A request to remove machines from a shard: to return them to the cloud, or to transfer them to another shard. */
export type RemovalRequest =
  { reason: "drain"; hosts: string[] } | { reason: "transfer"; hosts: string[]; targetShard: number };

/** The shard, stores and settings that machine removal depends on. */
export interface MachineRemovalDependencies {
  readonly shard: Shard;
  readonly term: OwnerTerm;
  readonly fleet: Fleet;
  readonly state: StateStoreClient;
  /** The approximate time between two attempts to resolve an unknown outcome, in milliseconds. */
  readonly retryMs: number;
  readonly log: Logger;
}

/** Whether a transaction that failed with this error may have been applied, or may still be. */
const mayBeApplied = (err: unknown): boolean =>
  !(err instanceof StateStoreError) || err.outcome === "unknown";

/** Changes the records of machines that leave one shard. */
export class MachineRemoval {
  constructor(private readonly dependencies: MachineRemovalDependencies) {}

  /**
   * Records the removal of the requested machines that may be removed, and replies with the hosts whose records have
   * certainly changed. The removal is durable before anyone acts on it, because a later owner of the shard must not
   * place tasks on these machines either.
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
    const { shard, fleet, state } = this.dependencies;
    switch (request.reason) {
      case "drain":
        return fleet.changeStage(shard.id, hosts, "leaving", state.maxTransactionWrites);
      case "transfer":
        return fleet.transferToShard(
          hosts,
          request.targetShard,
          () => crypto.randomUUID(),
          state.maxTransactionWrites,
        );
    }
  }

  /** Commits the change; returns whether it is certainly durable. An unknown outcome is resolved in the background. */
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
   * Retries until the outcome of a removal is known. Guards against `ran_twice`: as long as the write may still be
   * applied, no task may be placed on its machines. A newer version of the machine group's record, written by this
   * owner, rules that out.
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

  /** Returns whether nothing is left to resolve: the outcome is known, or the owner's term has ended. */
  private async tryResolve(key: string, hosts: string[]): Promise<boolean> {
    const { shard, term, state } = this.dependencies;
    const token = term.currentToken();
    const entry = await state.read(key);
    const group = decodeMachineGroup(entry?.value);
    // The group was removed or transferred; the shard applies that when the watch delivers it.
    if (entry === null || group?.shard !== shard.id) return true;
    // After the end of the term, the shard's next owner goes by the records alone.
    if (token === null) return term.hasEnded();
    if (!(await this.rewriteGroup(token, { key, version: entry.version }, group))) return false;
    // Where the removal was applied, the machine's record keeps tasks away from it.
    shard.cancelRemoval(hosts.filter((host) => host in group.machines));
    return true;
  }

  /** Rewrites the group unchanged: its new version makes the earlier write fail if that has not been applied yet. */
  private async rewriteGroup(token: number, unchanged: Condition, group: MachineGroup): Promise<boolean> {
    const { shard, state } = this.dependencies;
    const conditions = [{ key: keys.shard(shard.id), version: token }, unchanged];
    const writes = [{ put: unchanged.key, value: group }];
    const result = await state.compareAndSwap(conditions, writes, "background");
    return result.ok;
  }
}
