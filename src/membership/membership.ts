/**
 * The membership actor: joins this process to the cluster, takes part in leader election, acquires shards and hands
 * them over. The rest of the process asks it whether this process may currently act for a shard.
 */
import { Actor } from "../runtime/actor.js";
import type { SteadyClock } from "../runtime/clock.js";
import type { Logger } from "../runtime/log.js";
import type { ReplicaView } from "../state/replica.js";
import type { StateStoreClient } from "../state/state-store-client.js";
import {
  hasShardHandOver,
  isSameInstance,
  readCluster,
  type Cluster,
  type ControllerInstance,
} from "./cluster-records.js";
import { Leadership } from "./leadership.js";
import { MembershipActions } from "./membership-actions.js";
import { MembershipLease } from "./membership-lease.js";
import type {
  MembershipCallbacks,
  MembershipMessage,
  MembershipTimings,
  TransactionDependencies,
} from "./membership-messages.js";
import { planMembership } from "./membership-planner.js";
import { decideShardAuthority, type ShardAuthority } from "./shard-authority.js";
import { ShardHandOver } from "./shard-hand-over.js";
import { TokenAdvances } from "./token-advances.js";

/** Dependencies of `Membership`. */
export interface MembershipDependencies {
  /** The controller instance that this process runs. */
  readonly self: ControllerInstance;
  /** The number of shards in the cluster. */
  readonly shards: number;
  /** The number of controllers in the cluster's configuration. */
  readonly controllers: number;
  readonly timings: MembershipTimings;
  readonly state: StateStoreClient;
  readonly view: ReplicaView;
  readonly clock: SteadyClock;
  readonly callbacks: MembershipCallbacks;
  readonly log: Logger;
}

/**
 * Maintains this process's membership and decides for which shards it may act. Runs at most one transaction at a time.
 */
export class Membership extends Actor<MembershipMessage> {
  private knownCluster: Cluster;
  private readonly lease: MembershipLease;
  private readonly leadership: Leadership;
  private readonly tokenAdvances: TokenAdvances;
  private readonly handOvers: ShardHandOver;
  private readonly actions: MembershipActions;
  private isTransactionPending = false;
  private lastHandOverAt = -Infinity;

  constructor(private readonly dependencies: MembershipDependencies) {
    super(dependencies.log);
    const { self, shards, timings, state, view, clock, log } = dependencies;
    this.knownCluster = readCluster(view, shards);
    const onEnded = (): void => void this.tell({ kind: "lease_ended" });
    this.lease = new MembershipLease({ self, timings, state, view, clock, log, onEnded });
    const onTransactionEnded = (): void => void this.tell({ kind: "transaction_ended" });
    const transactions: TransactionDependencies = { self, state, log, onTransactionEnded };
    const { membershipLeaseMs, marginMs } = timings;
    this.leadership = new Leadership({ ...transactions, clock, membershipLeaseMs });
    this.tokenAdvances = new TokenAdvances(transactions);
    this.handOvers = new ShardHandOver({ ...transactions, retryMs: marginMs });
    this.actions = new MembershipActions({
      ...transactions,
      currentCluster: () => this.knownCluster,
      currentLeaseId: () => this.lease.id,
      requestHandOver: ({ owner, shard, successor }) => {
        this.lastHandOverAt = clock();
        dependencies.callbacks.requestHandOver(owner, shard, successor);
      },
    });
  }

  /** The controller instance that this process runs. */
  get self(): ControllerInstance {
    return this.dependencies.self;
  }

  /** The cluster as of the last change of records that this actor has processed. */
  get cluster(): Cluster {
    return this.knownCluster;
  }

  /** Whether this process may currently act for a shard, with the evidence for the decision. */
  authority(shard: number): ShardAuthority {
    const record = this.knownCluster.shards[shard];
    const token = record && isSameInstance(record, this.self) ? record.version : null;
    return decideShardAuthority({
      ...this.lease.evidence(),
      token,
      isHandingOver: this.handOvers.isRelinquished(shard),
    });
  }

  /** The fencing token of a shard if this process may currently act for it, otherwise null. */
  token(shard: number): number | null {
    const authority = this.authority(shard);
    return authority.held ? authority.token : null;
  }

  /**
   * Whether state that an owner has kept since `knownVersion` of its shard's record is still valid at the current
   * version.
   */
  continuesTerm(shard: number, knownVersion: number): boolean {
    const record = this.knownCluster.shards[shard];
    if (record === null || record === undefined) return false;
    return this.tokenAdvances.continuesTerm(shard, knownVersion, record);
  }

  /**
   * The version of the leader record if this process is currently the leader and its lease is valid, otherwise null.
   */
  leaderVersion(): number | null {
    const { leader } = this.knownCluster;
    if (leader === null || !isSameInstance(leader, this.self)) return null;
    return this.lease.isHeld() ? leader.version : null;
  }

  /** The node name of the shard's owner according to the known records; null if the owner is not a member. */
  owner(shard: number): string | null {
    const record = this.knownCluster.shards[shard];
    return record && this.knownCluster.members.has(record.node) ? record.node : null;
  }

  /** The node name of the leader according to the known records; null if there is none. */
  leader(): string | null {
    return this.knownCluster.leader?.node ?? null;
  }

  protected override receive(message: MembershipMessage): void {
    switch (message.kind) {
      case "tick":
        this.lease.maintain();
        this.startActions();
        return;
      case "records_changed":
        this.updateCluster();
        this.startActions();
        return;
      case "lease_ended":
        this.lease.clear();
        this.lease.maintain();
        return;
      case "transaction_ended":
        this.isTransactionPending = false;
        this.startRequestedHandOver();
        return;
      case "advance_token":
        this.startTokenAdvance(message.shard);
        return;
      case "hand_over":
        // The request is queued, since a leader that is also the owner sends it to itself while its actions are
        // running. If it were dropped then, a leader that owns every shard would never hand one over.
        this.handOvers.request({ shard: message.shard, successor: message.successor });
        this.startRequestedHandOver();
        return;
      case "resign":
        this.startResignation();
        return;
    }
  }

  private updateCluster(): void {
    const { view, shards, clock, callbacks } = this.dependencies;
    const cluster = readCluster(view, shards);
    // The shard move period restarts at every observed hand-over, so that no shard is moved straight back to the
    // controller that has handed it over.
    if (hasShardHandOver(this.knownCluster, cluster)) this.lastHandOverAt = clock();
    this.knownCluster = cluster;
    this.leadership.update(cluster.leader);
    this.handOvers.forgetLostShards(cluster);
    this.lease.checkRecord(cluster.members.get(this.self.node));
    callbacks.onOwnershipChanged();
  }

  private startActions(): void {
    if (this.isTransactionPending || !this.lease.isHeld()) return;
    const { self, controllers, timings, clock, callbacks } = this.dependencies;
    const now = clock();
    const actions = planMembership({
      self,
      cluster: this.knownCluster,
      controllers,
      leadingForMs: this.leadership.leadingForMs(now),
      bootstrapGraceMs: timings.membershipLeaseMs,
      canRebalance: now - this.lastHandOverAt >= timings.shardMovePeriodMs,
      canLead: this.leadership.canLead(now),
      isCutOffFromWorkers: (node) => callbacks.isCutOffFromWorkers(node),
    });
    if (actions.length === 0) return;
    this.isTransactionPending = true;
    void this.actions.performAll(actions);
  }

  /**
   * Advances the token when a worker has seen a higher one, for example on a machine that belonged to another shard.
   */
  private startTokenAdvance(shard: number): void {
    const record = this.knownCluster.shards[shard];
    if (!record || this.token(shard) === null || this.isTransactionPending) return;
    this.isTransactionPending = true;
    void this.tokenAdvances.advance(shard, record.version);
  }

  private startResignation(): void {
    const version = this.leaderVersion();
    if (version === null || this.isTransactionPending) return;
    this.isTransactionPending = true;
    void this.leadership.resign(version);
  }

  private startRequestedHandOver(): void {
    if (this.isTransactionPending) return;
    const request = this.handOvers.takeRequest();
    if (request === null) return;
    const record = this.knownCluster.shards[request.shard];
    const successor = this.knownCluster.members.get(request.successor);
    if (!record || !successor || this.token(request.shard) === null) return;
    this.isTransactionPending = true;
    void this.handOvers.handOver(request.shard, record, successor);
  }
}
