/** The shards in this process's hands: an owner actor for each, from when the records name this process until they do not. */
import type { Settings } from "../config/settings.js";
import type { LinkPolicy } from "../links/access.js";
import type { OwnedShardStatus } from "../links/remedies.js";
import type { ShardAuthority } from "../membership/shard-authority.js";
import type { Membership } from "../membership/membership.js";
import type { ShardSummary } from "../peers/messages.js";
import { RenewalGuard, type RenewalGuardTimings } from "../shards/renewal-guard.js";
import type { DecisionMetrics } from "../shards/decision-metrics.js";
import { Shard } from "../shards/shard.js";
import { ShardOwner } from "../shards/shard-owner.js";
import type { ShardOwnerTimings } from "../shards/shard-owner-messages.js";
import type { SteadyClock } from "../runtime/clock.js";
import type { Logger } from "../runtime/log.js";
import type { StateStoreClient } from "../state/state-store-client.js";
import type { Replica } from "../state/replica.js";
import type { RecordChange, MachineType } from "../wire/index.js";
import type { Fleet } from "../workers/fleet.js";

/** What the host needs of the rest of the process. */
export interface ShardHostDependencies {
  settings: Settings;
  timings: ShardOwnerTimings & RenewalGuardTimings;
  metrics: DecisionMetrics;
  state: StateStoreClient;
  replica: Replica;
  fleet: Fleet;
  membership: Membership;
  links: LinkPolicy;
  types: () => Map<string, MachineType>;
  sendSummary: (summary: ShardSummary) => void;
  clock: SteadyClock;
  log: Logger;
}

/** A shard in this process's hands, and the version of its record that was last found to continue its term. */
interface OwnedShard {
  owner: ShardOwner;
  token: number;
}

/** Makes and retires the owners of this process's shards. */
export class ShardHost {
  private readonly shards = new Map<number, OwnedShard>();

  constructor(private readonly parts: ShardHostDependencies) {}

  /** The owner of a shard, if it is in this process. */
  ownerOf(shard: number): ShardOwner | undefined {
    return this.shards.get(shard)?.owner;
  }

  tick(): void {
    for (const { owner } of this.shards.values()) owner.tell({ kind: "tick" });
  }

  /** Passes on changed records; null: everything may be different. */
  applyChanges(changes: RecordChange[] | null): void {
    for (const { owner } of this.shards.values())
      owner.tell({ kind: "records_changed", changes, completeAsOf: this.parts.replica.completeAsOf });
  }

  /** Which workers are expected to report here. */
  statuses(): OwnedShardStatus[] {
    return Array.from(this.shards, ([shard, { owner, token }]) => ({
      shard,
      term: token,
      machines: owner.expectedHeartbeatSources,
    }));
  }

  /** Starts owners for shards that have become ours and drops those of shards that have not stayed so. */
  reconcileOwnership(): void {
    const { membership, log } = this.parts;
    const { cluster, self: me } = membership;
    cluster.shards.forEach((record, shard) => {
      const ours = record !== null && record.node === me.node && record.incarnation === me.incarnation;
      let owned = this.shards.get(shard);
      if (owned && (!ours || !membership.continuesTerm(shard, owned.token))) {
        this.shards.delete(shard);
        owned.owner.retire();
        owned = undefined;
        log.info({ shard, owner: record?.node }, "shard lost");
      }
      if (!ours) return;
      if (owned) owned.token = record.version;
      else {
        this.shards.set(shard, this.startOwner(shard, record.version));
        const viewAgeMs = Math.round(this.parts.clock() - this.parts.replica.completeAsOf);
        const { revision } = this.parts.replica;
        log.info({ shard, token: record.version, revision, viewAgeMs }, "shard owned");
      }
    });
  }

  private startOwner(n: number, token: number): OwnedShard {
    const { settings, timings, state, replica, fleet, membership, links, types, metrics, clock, log } =
      this.parts;
    const shard = new Shard({
      shard: n,
      termToken: token,
      termStartedAt: clock(),
      settings,
      types,
      view: replica,
      log,
      metrics,
    });
    const hooks = {
      // The token counts only for the owner whose term it belongs to.
      authority: (): ShardAuthority => {
        const current = membership.authority(n);
        const sameTerm = current.held && current.token === owned.token && this.shards.get(n) === owned;
        if (sameTerm || !current.held) return current;
        const { leaseLeftMs, viewAgeMs } = current;
        return { held: false, reason: "other_term", leaseLeftMs, viewAgeMs };
      },
      advanceToken: () => void membership.tell({ kind: "advance_token", shard: n }),
      sendSummary: this.parts.sendSummary,
      mayPlace: () => links.allows("start"),
      mayRemoveMachines: () => links.allows("return"),
    };
    const gate = new RenewalGuard(n, timings, metrics, clock, log);
    const owner = new ShardOwner({
      shard,
      timings,
      state,
      view: replica,
      fleet,
      clock,
      callbacks: hooks,
      renewalGuard: gate,
      log,
    });
    const owned: OwnedShard = { owner, token };
    return owned;
  }
}
