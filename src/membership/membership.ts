/**
 * The membership actor: joins this process to the cluster, takes part in the election of the leader, acquires shards and
 * hands them over. It answers one question for the rest of the process: may this process act for a shard at present?
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

/** What the membership is made from. */
export interface MembershipDependencies {
  /** This life of this controller. */
  readonly self: ControllerInstance;
  /** How many shards the cluster has. */
  readonly shards: number;
  /** How many controllers the cluster is configured with. */
  readonly controllers: number;
  readonly timings: MembershipTimings;
  readonly state: StateStoreClient;
  readonly view: ReplicaView;
  readonly clock: SteadyClock;
  readonly callbacks: MembershipCallbacks;
  readonly log: Logger;
}

/** Maintains this process's membership and decides what it may act for. At most one transaction is under way at once. */
export class Membership extends Actor<MembershipMessage> {
  private knownCluster: Cluster;
  private readonly lease: MembershipLease;
  private readonly leaderTerm: Leadership;
  private readonly tokenAdvances: TokenAdvances;
  private readonly handOvers: ShardHandOver;
  private readonly actions: MembershipActions;
  private transactionPending = false;
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
    this.leaderTerm = new Leadership({ ...transactions, clock, membershipLeaseMs });
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

  /** This life of this controller. */
  get self(): ControllerInstance {
    return this.dependencies.self;
  }

  /** The cluster as the records show it. */
  get cluster(): Cluster {
    return this.knownCluster;
  }

  /** Whether this process may act for a shard at present, and on what evidence. */
  authority(shard: number): ShardAuthority {
    const record = this.knownCluster.shards[shard];
    const token = record && isSameInstance(record, this.self) ? record.version : null;
    return decideShardAuthority({
      ...this.lease.evidence(),
      token,
      isHandingOver: this.handOvers.isRelinquished(shard),
    });
  }

  /** The token of a shard if this process may act for it at present, otherwise null. */
  token(shard: number): number | null {
    const authority = this.authority(shard);
    return authority.held ? authority.token : null;
  }

  /** Whether what an owner knew of its shard at a version of the shard's record still holds at the present one. */
  continuesTerm(shard: number, knownVersion: number): boolean {
    const record = this.knownCluster.shards[shard];
    if (record === null || record === undefined) return false;
    return this.tokenAdvances.continuesTerm(shard, knownVersion, record);
  }

  /** The version of the leader's record if this process leads at present, otherwise null. */
  leaderVersion(): number | null {
    const { leader } = this.knownCluster;
    if (leader === null || !isSameInstance(leader, this.self)) return null;
    return this.lease.isHeld() ? leader.version : null;
  }

  /** The node of the live owner of a shard, as far as the records show; null if there is none. */
  owner(shard: number): string | null {
    const record = this.knownCluster.shards[shard];
    return record && this.knownCluster.members.has(record.node) ? record.node : null;
  }

  /** The node of the leader, as far as the records show; null if there is none. */
  leader(): string | null {
    return this.knownCluster.leader?.node ?? null;
  }

  protected override receive(message: MembershipMessage): void {
    switch (message.kind) {
      case "tick":
        this.lease.maintain();
        this.takeActions();
        return;
      case "records_changed":
        this.updateCluster();
        this.takeActions();
        return;
      case "lease_ended":
        this.lease.clear();
        this.lease.maintain();
        return;
      case "transaction_ended":
        this.transactionPending = false;
        this.startRequestedHandOver();
        return;
      case "advance_token":
        this.startTokenAdvance(message.shard);
        return;
      case "hand_over":
        // Guards against a leader that owns every shard and never hands one over: it asks itself while it carries out actions.
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
    // Guards against moving a shard straight back to the controller that has just handed it over: the period counts from
    // every hand-over.
    if (hasShardHandOver(this.knownCluster, cluster)) this.lastHandOverAt = clock();
    this.knownCluster = cluster;
    this.leaderTerm.update(cluster.leader);
    this.handOvers.forgetLostShards(cluster);
    this.lease.checkRecord(cluster.members.get(this.self.node));
    callbacks.onOwnershipChanged();
  }

  private takeActions(): void {
    if (this.transactionPending || !this.lease.isHeld()) return;
    const { self, controllers, timings, clock, callbacks } = this.dependencies;
    const now = clock();
    const actions = planMembership({
      self,
      cluster: this.knownCluster,
      controllers,
      leadingForMs: this.leaderTerm.leadingForMs(now),
      bootstrapGraceMs: timings.membershipLeaseMs,
      mayMove: now - this.lastHandOverAt >= timings.shardMovePeriodMs,
      mayLead: this.leaderTerm.mayLead(now),
      isCutOffFromWorkers: (node) => callbacks.isCutOffFromWorkers(node),
    });
    if (actions.length === 0) return;
    this.transactionPending = true;
    void this.actions.performAll(actions);
  }

  /** A worker follows a higher token than this shard's, for example with a machine that was another shard's before. */
  private startTokenAdvance(shard: number): void {
    const record = this.knownCluster.shards[shard];
    if (!record || this.token(shard) === null || this.transactionPending) return;
    this.transactionPending = true;
    void this.tokenAdvances.advance(shard, record.version);
  }

  private startResignation(): void {
    const version = this.leaderVersion();
    if (version === null || this.transactionPending) return;
    this.transactionPending = true;
    void this.leaderTerm.resign(version);
  }

  private startRequestedHandOver(): void {
    if (this.transactionPending) return;
    const request = this.handOvers.takeRequest();
    if (request === null) return;
    const record = this.knownCluster.shards[request.shard];
    const successor = this.knownCluster.members.get(request.successor);
    if (!record || !successor || this.token(request.shard) === null) return;
    this.transactionPending = true;
    void this.handOvers.handOver(request.shard, record, successor);
  }
}
