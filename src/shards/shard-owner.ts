/** The actor of one shard while this process owns it: dispatches messages to the modules that handle them. */
import { Actor } from "../runtime/actor.js";
import type { SteadyClock } from "../runtime/clock.js";
import type { Logger } from "../runtime/log.js";
import { withoutDemand } from "../placement/shard-summary.js";
import type { ReplicaView } from "../state/replica.js";
import type { StateStoreClient } from "../state/state-store-client.js";
import type { Fleet } from "../workers/fleet.js";
import { CompletionWriter } from "./completion-writer.js";
import { HeartbeatResponder } from "./heartbeat-responder.js";
import { JobMigrator } from "./job-migrator.js";
import { MachineRecorder } from "./machine-recorder.js";
import { MachineRemoval } from "./machine-removal.js";
import { ShardTerm } from "./owner-term.js";
import type { RenewalGuard } from "./renewal-guard.js";
import { RoundThrottle } from "./round-throttle.js";
import type { Shard } from "./shard.js";
import type { ShardOwnerCallbacks, ShardOwnerMessage, ShardOwnerTimings } from "./shard-owner-messages.js";

/** Machine records and finished jobs are written this many times as often as progress and summaries. */
const FREQUENT_WRITE_FACTOR = 4;

/** Dependencies of a shard owner. */
export interface ShardOwnerDependencies {
  readonly shard: Shard;
  readonly timings: ShardOwnerTimings;
  readonly state: StateStoreClient;
  readonly view: ReplicaView;
  readonly fleet: Fleet;
  readonly clock: SteadyClock;
  readonly callbacks: ShardOwnerCallbacks;
  readonly renewalGuard: RenewalGuard;
  readonly log: Logger;
}

/** Acts for one shard from the time this process owns it until the owner is retired. */
export class ShardOwner extends Actor<ShardOwnerMessage> {
  private lastSummaryAt = -Infinity;
  /**
   * Ticks since the last heartbeat from one of the shard's workers. Counted in ticks, not by the clock: a process that
   * was suspended receives no heartbeats meanwhile, and no ticks either.
   */
  private ticksSinceHeartbeat = 0;
  private readonly shard: Shard;
  private readonly timings: ShardOwnerTimings;
  private readonly view: ReplicaView;
  private readonly clock: SteadyClock;
  private readonly callbacks: ShardOwnerCallbacks;
  private readonly term: ShardTerm;
  private readonly rounds: RoundThrottle;
  private readonly machineRecorder: MachineRecorder;
  private readonly completionWriter: CompletionWriter;
  private readonly removal: MachineRemoval;
  private readonly migrator: JobMigrator;
  private readonly responder: HeartbeatResponder;

  constructor(dependencies: ShardOwnerDependencies) {
    const { shard, timings, state, view, fleet, clock, callbacks, renewalGuard, log } = dependencies;
    super(log);
    this.shard = shard;
    this.timings = timings;
    this.view = view;
    this.clock = clock;
    this.callbacks = callbacks;
    const { minIntervalMs } = timings;
    const term = new ShardTerm(shard, callbacks);
    const common = { shard, term, state, fleet, view, clock, callbacks, log };
    this.term = term;
    this.rounds = new RoundThrottle({ ...common, timings });
    this.machineRecorder = new MachineRecorder({
      ...common,
      minWriteIntervalMs: minIntervalMs / FREQUENT_WRITE_FACTOR,
      onWriteEnded: () => void this.tell({ kind: "machines_recorded" }),
    });
    this.completionWriter = new CompletionWriter({
      ...common,
      minWriteIntervalMs: minIntervalMs / FREQUENT_WRITE_FACTOR,
      minProgressIntervalMs: minIntervalMs,
      onWriteEnded: () => void this.tell({ kind: "completions_written" }),
    });
    this.removal = new MachineRemoval({ ...common, retryMs: minIntervalMs });
    this.migrator = new JobMigrator({ ...common, retryMs: minIntervalMs });
    const { rounds, machineRecorder, completionWriter } = this;
    this.responder = new HeartbeatResponder({
      ...common,
      renewalGuard,
      rounds,
      machineRecorder,
      completionWriter,
    });
  }

  /**
   * Ends the term because another owner or node has the shard: operations that this owner began are not retried any
   * more.
   */
  retire(): void {
    this.term.end();
  }

  /** Whether no worker has sent a heartbeat here for longer than the time between two heartbeats of any worker. */
  get isCutOffFromWorkers(): boolean {
    return this.ticksSinceHeartbeat > this.timings.maxTicksWithoutHeartbeat;
  }

  /** Number of machines that are expected to send heartbeats to this owner. */
  get expectedHeartbeatSources(): number {
    return this.shard.expectedHeartbeatSources;
  }

  protected override receive(message: ShardOwnerMessage): void {
    switch (message.kind) {
      case "records_changed":
        this.shard.sync(this.view, message.changes, this.clock(), message.completeAsOf);
        return;
      case "heartbeat":
        this.ticksSinceHeartbeat = 0;
        message.reply(this.responder.respond(message.heartbeat));
        return;
      case "tick":
        this.tick();
        return;
      case "machines_recorded":
        this.machineRecorder.writeEnded();
        return;
      case "completions_written":
        this.completionWriter.writeEnded();
        return;
      case "task_counts":
        message.reply(this.shard.taskCounts(message.job));
        return;
      case "drain_machines":
        this.drainMachines(message.hosts, message.reply);
        return;
      case "job_cancelled":
        this.shard.cancelJob(message.job, this.clock());
        return;
      case "migrate_job":
        void this.migrator.migrate(message.job, message.targetShard);
        return;
      case "cordon_machine":
        this.shard.cordon(message.targetShard, message.demand, this.clock());
        return;
      case "transfer_machines": {
        const { hosts, targetShard, reply } = message;
        void this.removal.remove({ reason: "transfer", hosts, targetShard }, reply);
        return;
      }
    }
  }

  private drainMachines(hosts: string[], reply: (hosts: string[]) => void): void {
    if (!this.callbacks.canRemoveMachines()) reply([]);
    else void this.removal.remove({ reason: "drain", hosts }, reply);
  }

  private tick(): void {
    const now = this.clock();
    const token = this.term.currentToken();
    this.ticksSinceHeartbeat++;
    this.shard.expire(now);
    if (token === null) return;
    if (this.shard.areAttemptsNearlyExhausted) this.callbacks.advanceToken();
    this.machineRecorder.record();
    this.shard.drainInterrupted();
    if (this.callbacks.canPlaceTasks()) {
      this.rounds.place(token);
      this.rounds.preempt(now);
    }
    this.completionWriter.write();
    this.sendSummary(token, now);
  }

  private sendSummary(token: number, now: number): void {
    if (now - this.lastSummaryAt < this.timings.minIntervalMs) return;
    this.lastSummaryAt = now;
    const summary = this.shard.summary(token, now);
    if (this.log.isLevelEnabled("debug")) {
      const { load, demand } = summary;
      this.log.debug(
        { shard: this.shard.id, ...load, ...this.shard.cpusByTaskState(), demand },
        "shard load",
      );
    }
    this.callbacks.sendSummary(this.callbacks.canPlaceTasks() ? summary : withoutDemand(summary));
  }
}
