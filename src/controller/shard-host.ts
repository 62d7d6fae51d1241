/**
 * The shards that this process owns, with one owner actor each for as long as the records assign it to this process.
 */
import type { Settings } from "../config/settings.js";
import type { LinkPolicy } from "../links/link-policy.js";
import type { OwnedShardStatus } from "../links/remediation.js";
import type { ControllerRecord } from "../membership/cluster-records.js";
import type { ShardAuthority } from "../membership/shard-authority.js";
import type { Membership } from "../membership/membership.js";
import type { ShardSummary } from "../peers/peer-messages.js";
import { RenewalGuard, type RenewalGuardTimings } from "../shards/renewal-guard.js";
import type { DecisionMetrics } from "../shards/decision-metrics.js";
import { Shard } from "../shards/shard.js";
import { ShardOwner } from "../shards/shard-owner.js";
import type { ShardOwnerCallbacks, ShardOwnerTimings } from "../shards/shard-owner-messages.js";
import type { SteadyClock } from "../runtime/clock.js";
import type { Logger } from "../runtime/log.js";
import type { StateStoreClient } from "../state/state-store-client.js";
import type { Replica } from "../state/replica.js";
import type { RecordChange, MachineType } from "../wire/index.js";
import type { Fleet } from "../workers/fleet.js";

/** Dependencies of the shard host. */
export interface ShardHostDependencies {
  readonly settings: Settings;
  readonly timings: ShardOwnerTimings & RenewalGuardTimings;
  readonly metrics: DecisionMetrics;
  readonly state: StateStoreClient;
  readonly replica: Replica;
  readonly fleet: Fleet;
  readonly membership: Membership;
  readonly linkPolicy: LinkPolicy;
  /** The machine types in the records, by name. */
  readonly machineTypes: () => Map<string, MachineType>;
  /** Sends the summary of a shard to the leader. */
  readonly sendSummary: (summary: ShardSummary) => void;
  readonly clock: SteadyClock;
  readonly log: Logger;
}

/** A shard that this process owns. */
interface OwnedShard {
  owner: ShardOwner;
  /** The latest version of the shard's record that is known to belong to the owner's term. */
  token: number;
}

/** Creates and retires the owner actors of this process's shards. */
export class ShardHost {
  private readonly shards = new Map<number, OwnedShard>();

  constructor(private readonly dependencies: ShardHostDependencies) {}

  /** The owner of a shard; undefined if this process does not own it. */
  ownerOf(shard: number): ShardOwner | undefined {
    return this.shards.get(shard)?.owner;
  }

  /** Lets all owners handle timeouts and periodic work. */
  tick(): void {
    for (const { owner } of this.shards.values()) owner.tell({ kind: "tick" });
  }

  /** Passes changed records to all owners; null means that any record may have changed. */
  applyChanges(changes: RecordChange[] | null): void {
    const { completeAsOf } = this.dependencies.replica;
    for (const { owner } of this.shards.values())
      owner.tell({ kind: "records_changed", changes, completeAsOf });
  }

  /** The state of each owned shard, with the number of workers that heartbeats are expected from. */
  statuses(): OwnedShardStatus[] {
    return Array.from(this.shards, ([shard, { owner, token }]) => ({
      shard,
      term: token,
      machines: owner.expectedHeartbeatSources,
    }));
  }

  /**
   * Starts owners for shards that the records now assign to this process, and retires the owners of all other shards.
   */
  reconcileOwnership(): void {
    const { cluster } = this.dependencies.membership;
    cluster.shards.forEach((record, shard) => {
      this.reconcileShard(shard, record);
    });
  }

  private reconcileShard(shard: number, record: ControllerRecord | null): void {
    const { membership } = this.dependencies;
    const { self } = membership;
    const isOurs = record !== null && record.node === self.node && record.incarnation === self.incarnation;
    const owned = this.shards.get(shard);
    const continuesTerm = isOurs && owned !== undefined && membership.continuesTerm(shard, owned.token);
    if (owned !== undefined && !continuesTerm) this.retireOwner(shard, owned, record?.node);
    if (!isOurs) return;
    if (continuesTerm) owned.token = record.version;
    else this.startOwner(shard, record.version);
  }

  private retireOwner(shard: number, owned: OwnedShard, nextOwner: string | undefined): void {
    this.shards.delete(shard);
    owned.owner.retire();
    this.dependencies.log.info({ shard, owner: nextOwner }, "shard lost");
  }

  private startOwner(shard: number, token: number): void {
    const { replica, clock, log } = this.dependencies;
    this.shards.set(shard, this.makeOwnedShard(shard, token));
    const viewAgeMs = Math.round(clock() - replica.completeAsOf);
    log.info({ shard, token, revision: replica.revision, viewAgeMs }, "shard owned");
  }

  private makeOwnedShard(id: number, token: number): OwnedShard {
    const { settings, timings, state, replica, fleet, machineTypes, metrics, clock, log } = this.dependencies;
    const shard = new Shard({
      shard: id,
      termToken: token,
      termStartedAt: clock(),
      settings,
      types: machineTypes,
      view: replica,
      log,
      metrics,
    });
    const owner = new ShardOwner({
      shard,
      timings,
      state,
      view: replica,
      fleet,
      clock,
      callbacks: this.ownerCallbacks(id, () => owned),
      renewalGuard: new RenewalGuard(id, timings, metrics, clock, log),
      log,
    });
    const owned: OwnedShard = { owner, token };
    return owned;
  }

  private ownerCallbacks(shard: number, ownedShard: () => OwnedShard): ShardOwnerCallbacks {
    const { membership, linkPolicy, sendSummary } = this.dependencies;
    return {
      authority: () => this.authorityOf(shard, ownedShard()),
      advanceToken: () => {
        membership.tell({ kind: "advance_token", shard });
      },
      sendSummary,
      canPlaceTasks: () => linkPolicy.allows("start"),
      canRemoveMachines: () => linkPolicy.allows("return"),
    };
  }

  /** The authority over a shard, which is valid only for the owner whose term the current token belongs to. */
  private authorityOf(shard: number, owned: OwnedShard): ShardAuthority {
    const current = this.dependencies.membership.authority(shard);
    if (!current.held) return current;
    if (current.token === owned.token && this.shards.get(shard) === owned) return current;
    const { leaseLeftMs, viewAgeMs } = current;
    return { held: false, reason: "other_term", leaseLeftMs, viewAgeMs };
  }
}
